package gossip

import (
	"maps"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
)

const (
	// paceRounds is the number of rounds of which one carries evidence for speeds. It
	// changes slowly, and to add it up and to send it takes processor time and bandwidth.
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

// paceRound returns the round at an instant.
func paceRound(now clock.Instant) clock.Instant { return now / clock.Instant(RoundInterval) }

// carriesPace reports whether digests that are sent now carry evidence.
func carriesPace(now clock.Instant) bool { return paceRound(now)%paceRounds == 0 }

// paceTotal is the evidence of this node and all others in a round, and what each other
// node reported of it. A relay replies to each node of its data centre without adding
// up the evidence of the others again.
type paceTotal struct {
	round clock.Instant
	total pace.Evidence
	parts map[fleet.NodeName]pace.Evidence
}

// summarisePace returns the evidence for an aggregate, or nil in the rounds without it. The
// caller holds the lock.
func (t *Table) summarisePace(local pace.Evidence, scope Scope, recipient fleet.NodeName, now clock.Instant) pace.Evidence {
	if !carriesPace(now) {
		return nil
	}
	if scope != ScopeFleet {
		sum := make(pace.Evidence, len(local))
		sum.Add(local)
		for _, p := range t.peers {
			if t.inRelayGroup(p) {
				sum.Add(p.digest.Pace)
			}
		}
		return sum
	}
	round := paceRound(now)
	if t.pace.total == nil || t.pace.round != round {
		t.pace = paceTotal{round, make(pace.Evidence, len(local)), make(map[fleet.NodeName]pace.Evidence, len(t.peers))}
		t.pace.total.Add(local)
		for name, p := range t.peers {
			t.pace.total.Add(p.digest.Pace)
			t.pace.parts[name] = p.digest.Pace
		}
	}
	sum := maps.Clone(t.pace.total)
	sum.Remove(t.pace.parts[recipient])
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
