package member

import "time"

// Budget limits the bytes that a node sends. It is a token bucket that may be
// overdrawn: urgent messages are sent immediately, and the others wait longer.
type Budget struct {
	// Rate is in bytes per second, Burst in bytes.
	Rate  float64
	Burst float64

	consumed  float64
	updatedAt time.Time
}

// Available returns how many bytes may be sent now; 0 if the budget is
// overdrawn.
func (b *Budget) Available(now time.Time) int {
	b.refill(now)
	return int(max(0, b.Burst-b.consumed))
}

// Consume takes bytes from the budget. It may overdraw it.
func (b *Budget) Consume(bytes int, now time.Time) {
	b.refill(now)
	b.consumed += float64(bytes)
}

func (b *Budget) refill(now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.consumed = max(0, b.consumed-b.Rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}
