package intake

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// attach opens the account of a response whose body has room for n bytes, or waits for it.
func attach(b *Budget, n Bytes) (s *Sender, w *waiter) {
	s = &Sender{}
	b.Attach(s)
	s.HeadComplete()
	w, err := s.request(n)
	Expect(err).NotTo(HaveOccurred())
	return s, w
}

var _ = Describe("The account of a response", func() {
	It("has room for the longest response on the smallest machine, and counts only once it holds much", func() {
		b := &Budget{Limits: ResponseLimitsOf(144 * mib)}
		Expect(b.Limits).To(Equal(Limits{Memory: 18 * mib}))
		var s Sender
		b.Attach(&s)
		Expect(s.ArrivedInHead([]byte("HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n"), mib)).To(BeEmpty())
		s.HeadComplete()
		Expect(s.Reserve(context.Background(), 800)).To(Succeed())
		held, senders := b.Held()
		Expect([]int{int(held), senders}).To(Equal([]int{0, 0}))
		Expect(s.Reserve(context.Background(), 8*mib)).To(Succeed())
		held, senders = b.Held()
		Expect([]int{int(held), senders}).To(Equal([]int{int(8 * mib), 1}))
		b.Leave(&s)
		held, senders = b.Held()
		Expect([]int{int(held), senders}).To(Equal([]int{0, 0}))
	})

	It("charges the lines of a head beside their text", func() {
		b := &Budget{Limits: Limits{Memory: 256 << 10}}
		var s Sender
		b.Attach(&s)
		Expect(s.ArrivedInHead([]byte(strings.Repeat("a:\r\n", 1000)), mib)).To(BeEmpty())
		held, _ := b.Held()
		Expect(held).To(BeNumerically(">", 100<<10))
		Expect(s.ArrivedInHead([]byte(strings.Repeat("a:\r\n", 2000)), mib)).To(Equal(CauseMemory))
	})

	It("holds its room until the response was passed on, and gives way if that is slow while another waits", func() {
		b := &Budget{Limits: Limits{Memory: 16 * mib}}
		stopped := make(map[string]bool)
		relay := func(name string) *Sender {
			s, _ := attach(b, longest)
			s.Relaying(longest, func() { stopped[name] = true })
			return s
		}
		quick, slow, last := relay("quick"), relay("slow"), relay("last")
		sweep(b, 0, 3*time.Second, func() {
			quick.Arrived(64 << 10)
			last.Arrived(48 << 10)
		})
		Expect(stopped).To(BeEmpty(), "nobody waits")
		_, waiting := attach(b, longest)
		sweep(b, 3*time.Second, 4*time.Second, func() {
			quick.Arrived(64 << 10)
			last.Arrived(48 << 10)
		})
		Expect(stopped).To(Equal(map[string]bool{"slow": true}))
		Expect(waiting.ready).NotTo(BeClosed(), "the memory is still in use")
		b.Leave(slow)
		Expect(waiting.ready).To(BeClosed())
	})

	It("takes no room once it is closed", func() {
		b := &Budget{Limits: Limits{Memory: 4 * mib}}
		s, _ := attach(b, mib)
		b.Leave(s)
		Expect(s.Reserve(context.Background(), 2*mib)).To(MatchError(ErrNoRoom))
		held, senders := b.Held()
		Expect([]int{int(held), senders}).To(Equal([]int{0, 0}))
	})

	It("holds in its copies no more than is charged", func() {
		for _, limit := range []Bytes{mib, 4 * mib, 8 * mib, 16 * mib} {
			var s Sender
			b := &Budget{}
			b.Attach(&s)
			s.HeadComplete()
			r := &BodyReader{Sender: &s, Limit: limit}
			for size, next := Bytes(0), Bytes(0); size <= limit; size = next {
				next = r.nextSize(size)
				if next > SmallBody {
					Expect(size+next).To(BeNumerically("<=", limit+limit/bodyGrowth+1), "from %d to %d of %d", size, next, limit)
				}
			}
		}
	})

	DescribeTable("reads a body unchanged", func(length int) {
		body := strings.Repeat("0123456789abcdef", length/16+1)[:length]
		for _, announced := range []int64{int64(length), -1} {
			r := BodyReader{Sender: &Sender{}, Source: iotest.HalfReader(strings.NewReader(body)), Length: announced, Limit: longest}
			got, err := r.ReadAll(context.Background())
			if Bytes(length) > longest {
				Expect(err).To(MatchError(ErrTooLong))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got) == body).To(BeTrue())
			r.Source = io.MultiReader(strings.NewReader(body[:length/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, err = r.ReadAll(context.Background()); length > 0 {
				Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
			}
		}
	},
		Entry("empty", 0), Entry("short", 800), Entry("small", int(SmallBody)), Entry("large", 5*int(SmallBody)),
		Entry("the longest", int(longest)), Entry("too long", int(longest)+1),
	)
})

var _ = Describe("A holding", func() {
	It("needs no room for nothing, has none beyond the budget, and returns all that it held", func() {
		budget := &Budget{Limits: Limits{Memory: 100 << 10}}
		held := Holding{Budget: budget}
		Expect(held.Add(60 << 10)).To(Succeed())
		Expect(held.Add(50 << 10)).To(MatchError(ErrNoRoom))
		Expect(held.Add(40 << 10)).To(Succeed())
		Expect(held.Add(0)).To(Succeed())
		held.Release()
		total, _ := budget.Held()
		Expect(total).To(BeZero())
		Expect(held.Add(100 << 10)).To(Succeed())
	})
})
