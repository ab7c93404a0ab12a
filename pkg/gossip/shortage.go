package gossip

import "github.com/skylarkloom/skylarkloom/pkg/waiting"

// Shortage describes too little room at the engines of pools, at one node or several.
type Shortage struct {
	Waiting waiting.Report `cbor:"1,keyasint,omitempty"`
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
	return &Shortage{Waiting: s.Waiting.Add(other.Waiting)}
}

// Shortage returns what the other nodes report together. It leaves out silent nodes.
func (t *Table) Shortage() (sum Shortage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := &sum
	for _, p := range t.peers {
		if !p.silent {
			total = total.add(p.digest.Shortage)
		}
	}
	return *total
}
