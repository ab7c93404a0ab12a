package intake

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

const (
	mib     Bytes = 1 << 20
	longest       = 4 * mib
)

// start is an instant at which a budget is swept first.
const start = clock.Instant(time.Hour)

// join opens an account and counts in stops how often it is stopped.
func join(b *Budget, stops *int) *Sender {
	s := &Sender{Stop: func(bool) { *stops++ }}
	if !b.Admit(s) {
		return nil
	}
	return s
}

// body opens an account whose body has room for n bytes, or waits for it.
func body(b *Budget, n Bytes) (s *Sender, w *waiter) {
	s = join(b, new(int))
	s.HeadComplete()
	w, err := s.request(n)
	Expect(err).NotTo(HaveOccurred())
	return s, w
}

// sweep sweeps a budget four times a second from one time after the start to another.
func sweep(b *Budget, from, to time.Duration, between func()) {
	for at := from; at <= to; at += 250 * time.Millisecond {
		between()
		b.Sweep(start.Add(at))
	}
}

var _ = Describe("The budget of a node", func() {
	It("has six bodies of the longest length on the smallest machine and leaves sockets for the rest", func() {
		l := LimitsOf(144*mib, 2875)
		Expect(l).To(Equal(Limits{Memory: 36 * mib, Connections: 1150}))
		Expect(LimitsOf(144*mib, 0).Connections).To(Equal(1536))
		Expect(LimitsOf(0, 0)).To(BeZero())
		Expect(OtherLimitsOf(144*mib, 2875)).To(Equal(Limits{Memory: 2304 << 10, Connections: 143}))
		b := &Budget{Limits: l}
		for range 6 {
			_, w := body(b, longest)
			Expect(w).To(BeNil())
		}
		_, w := body(b, longest)
		Expect(w).NotTo(BeNil())
		_, w = body(b, SmallBody)
		Expect(w).To(BeNil(), "small bodies have room beside the large ones")
	})

	It("grants room in the order of arrival", func() {
		b := &Budget{Limits: Limits{Memory: 8 * mib}}
		first, _ := body(b, longest)
		_, second := body(b, longest)
		_, third := body(b, 2*mib)
		Expect(third.ready).NotTo(BeClosed(), "it would fit, but came later")
		b.Leave(first)
		Expect(second.ready).To(BeClosed())
		Expect(third.ready).To(BeClosed())
	})

	It("serves a single body that exceeds the share of large ones", func() {
		b := &Budget{Limits: Limits{Memory: mib}}
		_, w := body(b, longest)
		Expect(w).To(BeNil())
	})

	It("lets no caller give way in calm, however slow", func() {
		b := &Budget{Limits: Limits{Memory: 8 * mib, Connections: 10}}
		s, _ := body(b, longest)
		s.SetDue(start.Add(time.Minute))
		sweep(b, 0, 30*time.Second, func() {})
		Expect(s.Stopped()).To(BeFalse())
	})

	It("lets the slowest body give way while another waits", func() {
		b := &Budget{Limits: Limits{Memory: 12 * mib}}
		stalled, _ := body(b, longest)
		quick, _ := body(b, longest)
		_, waiting := body(b, longest)
		sweep(b, 0, 2*time.Second, func() { quick.Arrived(100 << 10) })
		Expect([]bool{stalled.Stopped(), quick.Stopped()}).To(Equal([]bool{true, false}))
		b.Leave(stalled)
		Expect(waiting.ready).To(BeClosed())
	})

	It("takes a freeze of the process for no stall", func() {
		b := &Budget{Limits: Limits{Memory: 6 * mib}}
		s, _ := body(b, longest)
		_, waiting := body(b, longest)
		b.Sweep(start)
		b.Sweep(start.Add(5 * time.Second))
		Expect(s.Stopped()).To(BeFalse())
		Expect(waiting.ready).NotTo(BeClosed())
	})

	It("ends a body that outlasts its request", func() {
		var causes []Cause
		b := &Budget{OnRefused: func(c Cause) { causes = append(causes, c) }}
		s, _ := body(b, longest)
		s.SetDue(start.Add(2 * time.Second))
		sweep(b, 0, 3*time.Second, func() { s.Arrived(100 << 10) })
		Expect(causes).To(Equal([]Cause{CauseTimeout}))
	})

	It("counts the wait for room as time of a body", func(ctx SpecContext) {
		b := &Budget{Limits: Limits{Memory: 6 * mib}}
		first, _ := body(b, longest)
		s, _ := body(b, longest)
		s.SetDue(start.Add(2 * time.Second))
		sweep(b, 0, 1750*time.Millisecond, func() { first.Arrived(100 << 10) })
		b.Leave(first)
		sweep(b, 2*time.Second, 2250*time.Millisecond, func() { s.Arrived(100 << 10) })
		Expect(s.Stopped()).To(BeTrue())

		b = &Budget{Limits: Limits{Memory: 6 * mib}}
		body(b, longest)
		s = join(b, new(int))
		s.HeadComplete()
		s.SetDue(clock.Now().Add(time.Millisecond))
		begun := time.Now()
		Expect(s.Reserve(ctx, longest)).To(MatchError(ErrNoRoom))
		Expect(time.Since(begun)).To(BeNumerically("<", MaxWait))
	})

	It("refuses heads over the limit, and those of short lines by what they take once parsed", func() {
		b := &Budget{Limits: Limits{Memory: 64 << 10}}
		long, short := join(b, new(int)), join(b, new(int))
		Expect(long.ArrivedInHead(make([]byte, 16<<10), 16<<10)).To(BeEmpty())
		Expect(long.ArrivedInHead(make([]byte, 1), 16<<10)).To(Equal(CauseLongHead))
		Expect(short.ArrivedInHead([]byte(strings.Repeat("a:\n", 1000)), 16<<10)).To(Equal(CauseMemory))
	})

	It("charges a body that arrives with its head for no head", func() {
		b := &Budget{}
		s := join(b, new(int))
		text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("{\n", 1500)
		Expect(s.ArrivedInHead([]byte(text), 16<<10)).To(BeEmpty())
		held, _ := b.Held()
		Expect(held).To(BeZero())
	})

	It("lets a connection without a head give way to a new one, never one between requests", func() {
		b := &Budget{Limits: Limits{Connections: 2}}
		stops := 0
		idle := join(b, &stops)
		idle.HeadComplete()
		idle.RequestDone()
		silent := join(b, &stops)
		b.Sweep(start)
		Expect(join(b, &stops)).To(BeNil(), "the other connections are new or idle")
		b.Sweep(start.Add(stallTime))
		Expect(join(b, &stops)).NotTo(BeNil())
		Expect([]bool{idle.Stopped(), silent.Stopped()}).To(Equal([]bool{false, true}))
		Expect(stops).To(Equal(1))
	})

	It("keeps its accounts whatever callers do", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := &Budget{Limits: Limits{Memory: 16 * mib, Connections: 20}}
			now := start
			var senders []*Sender
			t.Repeat(map[string]func(*rapid.T){
				"join": func(*rapid.T) {
					if s := join(b, new(int)); s != nil {
						senders = append(senders, s)
					}
				},
				"act": func(t *rapid.T) {
					if len(senders) == 0 {
						t.Skip("no senders")
					}
					i := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
					act(t, b, senders[i])
					if _, ok := b.senders[senders[i]]; !ok {
						senders = append(senders[:i], senders[i+1:]...)
					}
				},
				"sweep": func(t *rapid.T) {
					now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
					b.Sweep(now)
				},
				"": func(t *rapid.T) { checkAccounts(t, b) },
			})
			for _, s := range senders {
				b.Leave(s)
			}
			if held, connections := b.Held(); held != 0 || connections != 0 || b.large != 0 || b.leaving != 0 {
				t.Fatalf("after all left: %d bytes, %d connections, %d large, %d leaving", held, connections, b.large, b.leaving)
			}
		})
	})
})

// act lets a sender do what it may do next on its connection.
func act(t *rapid.T, b *Budget, s *Sender) {
	switch {
	case s.Stopped() || rapid.IntRange(0, 9).Draw(t, "leaves") == 0:
		if s.phase == phaseWaiting {
			// The handler of the request returns first.
			_ = b.withdraw(b.waiterOf(s))
		}
		b.Leave(s)
	case s.phase == phaseHead || s.phase == phaseIdle:
		s.ArrivedInHead(make([]byte, rapid.IntRange(1, 8<<10).Draw(t, "head")), 16<<10)
		if !s.Stopped() && rapid.Bool().Draw(t, "complete") {
			s.HeadComplete()
		}
	case s.phase == phaseBody:
		if _, err := s.request(Bytes(rapid.IntRange(1, int(longest)).Draw(t, "body"))); err != nil || rapid.Bool().Draw(t, "read") {
			if s.phase == phaseBody {
				s.BodyComplete(s.body)
			}
		}
	case s.phase == phaseServed:
		s.RequestDone()
	}
}

// waiterOf returns the waiter of a sender.
func (b *Budget) waiterOf(s *Sender) *waiter {
	for _, w := range b.waiting {
		if w.sender == s {
			return w
		}
	}
	return nil
}

func checkAccounts(t *rapid.T, b *Budget) {
	var held, large Bytes
	for s := range b.senders {
		held += s.head + s.body
		if s.large {
			large += s.body
		}
	}
	if b.held != held || b.large != large {
		t.Fatalf("held %d of %d, large %d of %d", b.held, held, b.large, large)
	}
	if held > b.Limits.Memory+longest {
		t.Fatalf("held %d", held)
	}
	if len(b.senders)-b.leaving > b.Limits.Connections {
		t.Fatalf("%d connections", len(b.senders))
	}
	if len(b.waiting) > 0 && b.large == 0 {
		t.Fatal("a body waits while no other has room")
	}
}
