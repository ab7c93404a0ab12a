package placement

import (
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Backlog returns the number of prompt tokens that are yet to be prefilled at endpoints,
// as known to this node.
func (t *Tracker) Backlog(endpoints []serving.Endpoint) (tokens fleet.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range endpoints {
		if s := t.endpoints[e.ID]; s != nil {
			tokens += s.localWork.Backlog + s.peerWork.Backlog
		}
	}
	return tokens
}
