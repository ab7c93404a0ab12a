package intake

// Holding accounts for what is kept of several responses, or while one is decoded. The zero
// value has no limits.
type Holding struct {
	// Budget accounts for what is held, if set.
	Budget *Budget

	sender *Sender
}

// Add holds n more bytes until Release. The error is ErrNoRoom if there is no room for them.
func (h *Holding) Add(n Bytes) error {
	if h.Budget == nil || n <= 0 {
		return nil
	}
	if h.sender == nil {
		h.sender = &Sender{}
		h.Budget.Attach(h.sender)
	}
	return h.Budget.hold(h.sender, n)
}

// Release returns all that is held.
func (h *Holding) Release() {
	if h.sender != nil {
		h.Budget.Leave(h.sender)
		h.sender = nil
	}
}

// hold charges n more bytes that are in use, so that their sender does not give way. Unlike a
// large body, they don't wait for room.
func (b *Budget) hold(s *Sender, n Bytes) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.enter(phaseServed)
	if !b.register(s) || !b.ensure(n) {
		b.refused(CauseMemory)
		return ErrNoRoom
	}
	b.held += n
	s.body += n
	return nil
}
