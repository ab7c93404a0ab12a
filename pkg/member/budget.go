package member

import "time"

// Budget bounds the bytes that a node sends, as a token bucket that may be
// overdrawn: what is urgent is sent at once and the rest waits longer.
type Budget struct {
	// Rate is in bytes a second, Burst in bytes.
	Rate  float64
	Burst float64

	spent float64
	at    time.Time
}

// Room returns how many bytes may be sent now; 0 if the budget is overdrawn.
func (b *Budget) Available(now time.Time) int {
	b.refill(now)
	return int(max(0, b.Burst-b.spent))
}

// Spend takes bytes from the budget.
func (b *Budget) Consume(bytes int, now time.Time) {
	b.refill(now)
	b.spent += float64(bytes)
}

func (b *Budget) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.spent = max(0, b.spent-b.Rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}
