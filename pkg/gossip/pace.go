package gossip

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
)

const (
	// paceRounds is the number of rounds of which one carries evidence for speeds in
	// aggregates. The evidence changes slowly, and to add it up takes processor time.
	paceRounds = 3
	// paceLifetime is how long the evidence of a peer counts that sends none.
	paceLifetime = 5 * time.Second
)

// Pace returns the evidence of the other nodes for the speeds of endpoints. A silent
// node counts with its last report, because speeds outlast its silence.
func (t *Table) Pace() pace.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(pace.Evidence)
	for _, p := range t.peers {
		sum.Add(p.digest.Pace)
	}
	return sum
}

// summarisePace returns the evidence of this node and of the included peers, or nil in
// the rounds without it.
func summarisePace(local pace.Evidence, peers map[fleet.NodeName]*peer, include func(*peer) bool, now clock.Instant) pace.Evidence {
	if now/clock.Instant(RoundInterval)%paceRounds != 0 {
		return nil
	}
	sum := make(pace.Evidence, len(local))
	sum.Add(local)
	for _, p := range peers {
		if include(p) {
			sum.Add(p.digest.Pace)
		}
	}
	return sum
}

// keepPace lets a digest without evidence keep that of the peer's previous one.
func (p *peer) keepPace(d *Digest, scope Scope, now clock.Instant) {
	if len(d.Pace) == 0 && p.scope == scope && p.digest.Node.Incarnation == d.Node.Incarnation && now.Sub(p.paceAt) <= paceLifetime {
		d.Pace = p.digest.Pace
		return
	}
	p.paceAt = now
}
