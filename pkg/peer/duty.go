package peer

import "github.com/skylarkloom/skylarkloom/pkg/member"

// Chosen reports whether this node is the one of the living nodes that a duty
// falls to. While the nodes do not hear each other, each part chooses its own.
func (s *Service) Chosen(duty string) bool {
	s.init()
	s.mu.Lock()
	live := s.live
	s.mu.Unlock()
	chosen := member.Choose(live, duty, 1)
	return chosen[0] == s.Self.Ref.Name
}
