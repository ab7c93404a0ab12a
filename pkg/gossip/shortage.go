package gossip

import (
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
)

// Shortage describes too little room at the engines of pools, at one node or several.
type Shortage struct {
	Waiting waiting.Report `cbor:"1,keyasint,omitempty"`
	// Promises is the engine time of the callers that were told to come back, and Visitors
	// recognises them.
	Promises map[fleet.PoolName]returning.Promises `cbor:"2,keyasint,omitempty"`
	Visitors returning.Filters                     `cbor:"3,keyasint,omitempty"`
}

// add returns the sum of two shortages, of which each may be nil, and leaves both as they
// are.
func (s *Shortage) add(other *Shortage) *Shortage {
	if s == nil || other == nil {
		if s == nil {
			return other
		}
		return s
	}
	return &Shortage{
		Waiting:  s.Waiting.Add(other.Waiting),
		Promises: returning.Add(s.Promises, other.Promises),
		Visitors: s.Visitors.Or(other.Visitors),
	}
}

// Shortage returns what the other nodes report together. It leaves out silent nodes.
func (t *Table) Shortage() Shortage {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := &Shortage{}
	for _, p := range t.peers {
		if !p.silent {
			sum = sum.add(p.digest.Shortage)
		}
	}
	return *sum
}
