package intake

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

// phase is what a caller does on its connection.
type phase string

const (
	// phaseHead means that the head of a request is due, also before its first byte.
	phaseHead phase = "head"
	// phaseBody means that the body of a request may arrive.
	phaseBody phase = "body"
	// phaseWaiting means that the body is not read until there is room for it.
	phaseWaiting phase = "waiting"
	// phaseServed means that the request was read.
	phaseServed phase = "served"
	// phaseRelay means that a body is passed on, at the pace of its receiver.
	phaseRelay phase = "relay"
	// phaseIdle means that the response was sent, and the next request has not begun.
	phaseIdle phase = "idle"
)

// Budget accounts for what callers make a node hold, or those that it calls. The zero value
// has no limits.
type Budget struct {
	Limits Limits
	// IdleGivesWay lets idle connections give way to new ones.
	IdleGivesWay bool
	// OnRefused is called for each caller that is refused or gives way, if set.
	OnRefused func(Cause)

	mu      sync.Mutex
	senders map[*Sender]struct{}
	// leaving counts the senders that gave way and have not left yet.
	leaving int
	// held is what all senders hold, large the part of it of bodies over SmallBody.
	held, large Bytes
	waiting     []*waiter
	// now is the instant of the latest Sweep.
	now clock.Instant
}

// Sender is the account of one connection of a caller, or of one response to the node. The
// zero value belongs to no budget and has no limits; so does nil.
type Sender struct {
	// Stop makes the sender give way. With answer, the handler of its request still answers;
	// otherwise the connection closes. Stop must not use the budget.
	Stop func(answer bool)

	budget *Budget
	// response reports whether the account is that of a response.
	response bool
	arrived  atomic.Int64
	stopped  atomic.Bool

	// phase is written by the goroutine that serves the connection, under Budget.mu.
	phase phase
	// headBytes is what has arrived since the current head began, headCost the memory that the
	// head takes once it is parsed.
	headBytes, headCost Bytes
	// bodyStart is how many bytes had arrived when the current body began.
	bodyStart int64

	// Budget.mu guards the following.
	head, body Bytes
	large      bool
	// left reports whether the account is closed.
	left bool
	// due is the end of the time of the current body, 0 if none is set.
	due    clock.Instant
	sample sample
}

// Admit opens the account of a new connection. It returns false if there are too many and
// none gives way.
func (b *Budget) Admit(s *Sender) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Limits.Connections > 0 && len(b.senders)-b.leaving >= b.Limits.Connections {
		if !b.makePlace() {
			b.refused(CauseConnections)
			return false
		}
	}
	s.budget, s.phase = b, phaseHead
	b.register(s)
	return true
}

// register adds a sender to those that may give way. It reports false if the sender has left.
func (b *Budget) register(s *Sender) bool {
	if s.left {
		return false
	}
	if b.senders == nil {
		b.senders = make(map[*Sender]struct{})
	}
	b.senders[s] = struct{}{}
	return true
}

// Leave closes the account of a connection.
func (b *Budget) Leave(s *Sender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.left = true
	if _, ok := b.senders[s]; !ok {
		return
	}
	delete(b.senders, s)
	if s.stopped.Load() {
		b.leaving--
	}
	b.release(s)
}

// Held returns what all callers hold and how many connections they have.
func (b *Budget) Held() (held Bytes, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, len(b.senders)
}

// refused counts a refusal.
func (b *Budget) refused(c Cause) {
	if b.OnRefused != nil {
		b.OnRefused(c)
	}
}

// release returns what a sender holds, and gives it to those that wait.
func (b *Budget) release(s *Sender) {
	b.held -= s.head + s.body
	if s.large {
		b.large -= s.body
	}
	s.head, s.body, s.large = 0, 0, false
	b.admitWaiting()
}

// fits reports whether n more bytes fit, as part of a large body or not.
func (b *Budget) fits(n Bytes, large bool) bool {
	if b.Limits.Memory <= 0 {
		return true
	}
	// A single body may exceed the share of the large ones.
	if large && b.large > 0 && b.large+n > Bytes(largeShare*float64(b.Limits.Memory)) {
		return false
	}
	return b.held+n <= b.Limits.Memory || large && b.large == 0
}

// admitWaiting grants room to large bodies in the order of their arrival.
func (b *Budget) admitWaiting() {
	for len(b.waiting) > 0 {
		w := b.waiting[0]
		if !b.fits(w.total-w.sender.body, true) {
			return
		}
		b.waiting = b.waiting[1:]
		b.grant(w.sender, w.total)
		w.sender.enter(phaseBody)
		close(w.ready)
	}
}

// grant raises what the body of a sender holds to a total.
func (b *Budget) grant(s *Sender, total Bytes) {
	b.held += total - s.body
	if total > SmallBody {
		b.large += total
		if s.large {
			b.large -= s.body
		}
		s.large = true
	}
	s.body = total
}

// Sweep samples the progress of all senders. Bodies whose time is over give way, and slow
// ones while others wait for room. It answers crowds that stop short of the end of their
// bodies or trickle; it must be called a few times a second.
func (b *Budget) Sweep(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// After a freeze of the process, what has arrived was not read yet.
	frozen := b.now > 0 && now.Sub(b.now) >= freezeTime
	b.now = now
	for s := range b.senders {
		if frozen {
			s.sample = sample{}
		}
		s.observe(now)
		if s.phase == phaseBody && s.overdue(now) {
			b.stop(s, CauseTimeout)
		}
	}
	var wanted Bytes
	for _, w := range b.waiting {
		wanted += w.total - w.sender.body
	}
	if wanted > 0 {
		b.makeRoom(wanted, b.delaysOthers)
	}
}

// makePlace lets the slowest connection without a complete head give way to a new one, or
// one whose body stalls. It answers crowds of connections that stay silent.
func (b *Budget) makePlace() bool {
	var slowest *Sender
	for s := range b.senders {
		if !s.stopped.Load() && b.givesPlace(s) && (slowest == nil || s.rate(b.now) < slowest.rate(b.now)) {
			slowest = s
		}
	}
	if slowest == nil {
		return false
	}
	b.stop(slowest, CauseConnections)
	return true
}

// givesPlace reports whether the connection of a sender may give way to a new one.
func (b *Budget) givesPlace(s *Sender) bool {
	switch s.phase {
	case phaseHead:
		return s.sample.since > 0 && b.now.Sub(s.sample.since) >= stallTime
	case phaseBody:
		return s.stalled(b.now)
	case phaseIdle:
		return b.IdleGivesWay
	case phaseWaiting, phaseServed, phaseRelay:
	}
	return false
}

// makeRoom lets the slowest of the senders that may give way do so, until they have held n
// bytes.
func (b *Budget) makeRoom(n Bytes, may func(*Sender) bool) {
	for _, s := range b.slowest(may) {
		if n <= 0 {
			return
		}
		n -= s.head + s.body
		b.stop(s, CauseStalled)
	}
}

// slowest returns the senders that may give way, the slowest first.
func (b *Budget) slowest(may func(*Sender) bool) (found []*Sender) {
	for s := range b.senders {
		if !s.stopped.Load() && may(s) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(x, y *Sender) int { return cmp.Compare(x.rate(b.now), y.rate(b.now)) })
	return found
}

// stop makes a sender give way.
func (b *Budget) stop(s *Sender, c Cause) {
	if b.markStopped(s, c) && s.Stop != nil {
		s.Stop(s.phase == phaseBody)
	}
}

// markStopped records that a sender gives way, and reports whether this was not known. What
// it holds is released, unless a handler still uses it.
func (b *Budget) markStopped(s *Sender, c Cause) bool {
	if s.stopped.Swap(true) {
		return false
	}
	b.leaving++
	if s.phase != phaseBody && s.phase != phaseRelay {
		b.release(s)
	}
	b.refused(c)
	return true
}

// enter begins a phase.
func (s *Sender) enter(p phase) { s.phase, s.sample = p, sample{} }

// Stopped reports whether the caller gave way.
func (s *Sender) Stopped() bool { return s != nil && s.stopped.Load() }

// Arrived records bytes of a body that arrived, or were passed on. Nil is a valid sender.
func (s *Sender) Arrived(n int) {
	if s != nil {
		s.arrived.Add(int64(n))
	}
}

// ArrivedInHead charges bytes of a head. It returns the cause if the head is refused; the
// caller then closes the connection.
func (s *Sender) ArrivedInHead(data []byte, limit Bytes) (refusal Cause) {
	if s.budget == nil {
		return ""
	}
	s.Arrived(len(data))
	if s.phase == phaseIdle {
		s.budget.mu.Lock()
		s.enter(phaseHead)
		s.budget.mu.Unlock()
	}
	s.headBytes += Bytes(len(data))
	// What follows an empty line is no part of the head.
	head, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	s.headCost += Bytes(len(head) + bytes.Count(head, []byte{'\n'})*lineBytes)
	need := s.headCost - freeHead
	switch {
	case s.headBytes > limit:
		refusal = CauseLongHead
	case need > s.head && !s.chargeHead(need):
		refusal = CauseMemory
	default:
		return ""
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.markStopped(s, refusal)
	return refusal
}

// chargeHead charges the head of a request up to a total, rounded up.
func (s *Sender) chargeHead(total Bytes) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	total = (total + headStep - 1) / headStep * headStep
	if !b.register(s) || !b.ensure(total-s.head) {
		return false
	}
	b.held += total - s.head
	s.head = total
	return true
}

// ensure reports whether n more bytes fit. If not, what stalls gives way to those that come
// next. It answers crowds of heads and of small bodies that stop short of their end.
func (b *Budget) ensure(n Bytes) bool {
	if b.fits(n, false) {
		return true
	}
	b.makeRoom(max(n, b.Limits.Memory/8), b.delaysOthers)
	return b.fits(n, false)
}

// delaysOthers reports whether a sender holds room that it makes no use of.
func (b *Budget) delaysOthers(s *Sender) bool {
	switch s.phase {
	case phaseHead:
		return s.head > 0 && s.stalled(b.now)
	case phaseBody, phaseRelay:
		return s.body > 0 && s.slow(b.now)
	case phaseWaiting, phaseServed, phaseIdle:
	}
	return false
}

// HeadComplete records that a head has arrived. Nil is a valid sender.
func (s *Sender) HeadComplete() {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.headBytes, s.headCost, s.bodyStart, s.due = 0, 0, s.arrived.Load(), 0
	s.enter(phaseBody)
}

// BodyComplete records that the request was read, and that its body takes n bytes. Nil is
// a valid sender.
func (s *Sender) BodyComplete(n Bytes) {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.keep(n)
	s.enter(phaseServed)
}

// keep returns what a body holds beyond n bytes.
func (s *Sender) keep(n Bytes) {
	if n >= s.body {
		return
	}
	b := s.budget
	b.held -= s.body - n
	if s.large {
		b.large -= s.body - n
	}
	s.body = n
	b.admitWaiting()
}

// RequestDone returns what the request held. Nil is a valid sender.
func (s *Sender) RequestDone() {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.release(s)
	s.enter(phaseIdle)
}

// SetDue sets when the current body must have arrived, also if it waits for room meanwhile.
func (s *Sender) SetDue(at clock.Instant) {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.due = at
}

// BodyArrived returns what has arrived of the current body, as it was sent: with the framing
// of its chunks.
func (s *Sender) BodyArrived() Bytes {
	if s == nil {
		return 0
	}
	return Bytes(s.arrived.Load() - s.bodyStart)
}
