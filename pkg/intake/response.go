package intake

// ResponseLimitsOf returns the limits of the responses of endpoints, and of those of the
// platform and of other nodes.
func ResponseLimitsOf(memory Bytes) Limits { return Limits{Memory: memory / responsePart} }

// Attach opens the account of a response. It takes no place among the connections, counts
// only once it holds more than is free, and has no time of its own: the context of its
// exchange ends it.
func (b *Budget) Attach(s *Sender) { s.budget, s.response, s.phase = b, true, phaseHead }

// Relaying records that the body, which takes n bytes, is passed on from now on. stop makes
// its receiver give way if it reads slowly while others wait. Nil is a valid sender.
func (s *Sender) Relaying(n Bytes, stop func()) { s.turn(phaseRelay, n, stop) }

// BodyGoesOn records that what has arrived of a body was passed on, and that more may arrive.
// stop makes its source give way. Nil is a valid sender.
func (s *Sender) BodyGoesOn(stop func()) { s.turn(phaseBody, 0, stop) }

// turn enters a phase in which the body takes n bytes at most and stop makes the sender give
// way.
func (s *Sender) turn(p phase, n Bytes, stop func()) {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.keep(n)
	s.Stop = func(bool) { stop() }
	s.enter(p)
}
