package placement

import (
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// Backlogs returns for each endpoint the number of prompt tokens that are yet to be
// prefilled there, as known to this node.
func (t *Tracker) Backlogs(endpoints []serving.Endpoint) []fleet.Tokens {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := make([]fleet.Tokens, len(endpoints))
	for i, e := range endpoints {
		if s := t.endpoints[e.ID]; s != nil {
			tokens[i] = s.localWork.Backlog + s.peerWork.Backlog
		}
	}
	return tokens
}
