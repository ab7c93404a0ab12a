package suspect_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/suspect"
)

// simulation runs contents on endpoints as Guard does and counts the endpoints that
// each content crashes. The contents with a number below crashingContents crash every
// endpoint that runs them.
type simulation struct {
	state   suspect.State
	now     time.Time
	offset  fleet.Offset
	crashes map[fleet.Digest]int
	entries []record.Envelope
}

const (
	contents         = 4
	crashingContents = 2
	hosts            = 5
)

func content(n int) fleet.Digest { return fleet.Digest{byte(n)} }

func (s *simulation) apply(e record.Envelope) {
	s.offset++
	Expect(s.state.Apply(record.Position{Offset: s.offset, Time: s.now}, e)).To(Succeed())
}

func (s *simulation) append(kind record.Kind, body any) record.ID {
	e, err := record.New(kind, s.now, body)
	Expect(err).NotTo(HaveOccurred())
	s.entries = append(s.entries, e)
	s.apply(e)
	return e.ID
}

// advance advances the log time by a record that changes no case. A suspicion expires
// if there is no further report; the crash count of the content then starts again from
// zero.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.append(record.KindClear, record.Clear{Content: content(contents)})
	for c := range s.crashes {
		if s.state.Case(c).Verdict == suspect.VerdictClear {
			delete(s.crashes, c)
		}
	}
}

// instance returns an incarnation of a host; each crash starts the next incarnation.
func (s *simulation) instance(host, incarnation int) fleet.InstanceRef {
	return fleet.InstanceRef{ID: fleet.InstanceID(fmt.Sprint("host-", host)), Incarnation: fleet.Incarnation(incarnation)}
}

var _ = Describe("The state of the suspect stream", func() {
	It("limits the crashes of one content to two endpoints with duplicate and late records", func() {
		granted := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &simulation{now: time.Unix(1_800_000_000, 0), crashes: map[fleet.Digest]int{}}
			incarnations := make([]int, hosts)
			t.Repeat(map[string]func(*rapid.T){
				"run": func(t *rapid.T) {
					n, host := rapid.IntRange(0, contents-1).Draw(t, "content"), rapid.IntRange(0, hosts-1).Draw(t, "host")
					c, i := content(n), s.instance(host, incarnations[host])
					switch s.state.Case(c).Verdict {
					case suspect.VerdictQuarantined:
						return
					case suspect.VerdictSuspect:
						s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "wait")) * time.Second)
						early := s.now.Sub(s.state.Case(c).LastReport) < suspect.TrialDelay
						id := s.append(record.KindTrial, record.Trial{Content: c, Instance: i, Window: time.Minute, Limit: 2})
						trial := s.state.Case(c).Trial
						if trial == nil || trial.ID != id {
							return
						}
						Expect(early).To(BeFalse())
						granted++
						Expect(s.state.Reserved(i)).To(BeTrue())
					}
					if n >= crashingContents {
						s.append(record.KindClear, record.Clear{Content: c, Reason: record.ClearFinished})
						return
					}
					s.crashes[c]++
					incarnations[host]++
					s.append(record.KindSuspect, record.Suspect{Content: c, Pool: "p", Instance: i})
				},
				"again": func(t *rapid.T) {
					if len(s.entries) > 0 {
						s.apply(rapid.SampledFrom(s.entries).Draw(t, "entry"))
					}
				},
				"pass": func(t *rapid.T) {
					s.advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				},
				"restart": func(*rapid.T) {
					data, err := s.state.Save()
					Expect(err).NotTo(HaveOccurred())
					var loaded suspect.State
					Expect(loaded.Load(data)).To(Succeed())
					again, err := loaded.Save()
					Expect(err).NotTo(HaveOccurred())
					Expect(again).To(Equal(data))
					s.state = loaded
				},
				"": func(*rapid.T) {
					for n := range crashingContents {
						Expect(s.crashes[content(n)]).To(BeNumerically("<=", suspect.MaxCrashes))
					}
				},
			})
		})
		Expect(granted).To(BeNumerically(">", 0))
	})

	It("ends a quarantine early only when an operator releases the content", func() {
		s := &simulation{now: time.Unix(1_800_000_000, 0)}
		for host := range 2 {
			s.append(record.KindSuspect, record.Suspect{Content: content(0), Instance: s.instance(host, 0)})
		}
		s.append(record.KindClear, record.Clear{Content: content(0), Reason: record.ClearFinished})
		Expect(s.state.Case(content(0)).Verdict).To(Equal(suspect.VerdictQuarantined))
		s.append(record.KindClear, record.Clear{Content: content(0), Reason: record.ClearOperator})
		Expect(s.state.Case(content(0)).Verdict).To(Equal(suspect.VerdictClear))
	})
})
