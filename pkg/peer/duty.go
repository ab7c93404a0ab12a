package peer

import "github.com/skylarkloom/skylarkloom/pkg/member"

// Chosen reports whether this node is the live node that is responsible for a
// duty. During a network partition each side chooses a node.
func (s *Service) Chosen(duty string) bool {
	s.init()
	s.mu.Lock()
	nodes := s.liveNodes
	s.mu.Unlock()
	chosen := member.Choose(nodes, duty, 1)
	return chosen[0] == s.Self.Ref.Name
}
