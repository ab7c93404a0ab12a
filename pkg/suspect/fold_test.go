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

// world runs contents on endpoints as the guard does and counts what they cost.
// The contents below poisons crash whatever runs them.
type world struct {
	fold    suspect.State
	now     time.Time
	offset  fleet.Offset
	lost    map[fleet.Digest]int
	entries []record.Envelope
}

const (
	contents = 4
	poisons  = 2
	hosts    = 5
)

func content(n int) fleet.Digest { return fleet.Digest{byte(n)} }

func (w *world) apply(e record.Envelope) {
	w.offset++
	Expect(w.fold.Apply(record.Position{Offset: w.offset, Time: w.now}, e)).To(Succeed())
}

func (w *world) append(kind record.Kind, body any) record.ID {
	e, err := record.New(kind, w.now, body)
	Expect(err).NotTo(HaveOccurred())
	w.entries = append(w.entries, e)
	w.apply(e)
	return e.ID
}

// pass lets time go by. A suspicion without news lapses, as the pages say; the
// count of what a content cost starts again then.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.append(record.KindClear, record.Clear{Content: content(contents)})
	for c := range w.lost {
		if w.fold.Case(c).Verdict == suspect.VerdictClear {
			delete(w.lost, c)
		}
	}
}

// instance returns the n-th life of a host; a crash starts the next life.
func (w *world) instance(host, life int) fleet.InstanceRef {
	return fleet.InstanceRef{ID: fleet.InstanceID(fmt.Sprint("host-", host)), Incarnation: fleet.Incarnation(life)}
}

var _ = Describe("The fold of the suspect stream", func() {
	It("loses two endpoints at most to one content, whatever comes twice or late", func() {
		granted := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &world{now: time.Unix(1_800_000_000, 0), lost: map[fleet.Digest]int{}}
			lives := make([]int, hosts)
			t.Repeat(map[string]func(*rapid.T){
				"run": func(t *rapid.T) {
					n, host := rapid.IntRange(0, contents-1).Draw(t, "content"), rapid.IntRange(0, hosts-1).Draw(t, "host")
					c, i := content(n), w.instance(host, lives[host])
					switch w.fold.Case(c).Verdict {
					case suspect.VerdictQuarantined:
						return
					case suspect.VerdictSuspect:
						w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "wait")) * time.Second)
						early := w.now.Sub(w.fold.Case(c).LastReport) < suspect.TrialDelay
						id := w.append(record.KindTrial, record.Trial{Content: c, Instance: i, Window: time.Minute, Limit: 2})
						trial := w.fold.Case(c).Trial
						if trial == nil || trial.ID != id {
							return
						}
						Expect(early).To(BeFalse())
						granted++
						Expect(w.fold.Reserved(i)).To(BeTrue())
					}
					if n >= poisons {
						w.append(record.KindClear, record.Clear{Content: c, Reason: record.ClearFinished})
						return
					}
					w.lost[c]++
					lives[host]++
					w.append(record.KindSuspect, record.Suspect{Content: c, Pool: "p", Instance: i})
				},
				"again": func(t *rapid.T) {
					if len(w.entries) > 0 {
						w.apply(rapid.SampledFrom(w.entries).Draw(t, "entry"))
					}
				},
				"pass": func(t *rapid.T) {
					w.pass(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				},
				"restart": func(*rapid.T) {
					data, err := w.fold.Save()
					Expect(err).NotTo(HaveOccurred())
					var loaded suspect.State
					Expect(loaded.Load(data)).To(Succeed())
					again, err := loaded.Save()
					Expect(err).NotTo(HaveOccurred())
					Expect(again).To(Equal(data))
					w.fold = loaded
				},
				"": func(*rapid.T) {
					for n := range poisons {
						Expect(w.lost[content(n)]).To(BeNumerically("<=", suspect.MaxCrashes))
					}
				},
			})
		})
		Expect(granted).To(BeNumerically(">", 0))
	})

	It("lifts a conviction only at an operator's word", func() {
		w := &world{now: time.Unix(1_800_000_000, 0)}
		for host := range 2 {
			w.append(record.KindSuspect, record.Suspect{Content: content(0), Instance: w.instance(host, 0)})
		}
		w.append(record.KindClear, record.Clear{Content: content(0), Reason: record.ClearFinished})
		Expect(w.fold.Case(content(0)).Verdict).To(Equal(suspect.VerdictQuarantined))
		w.append(record.KindClear, record.Clear{Content: content(0), Reason: record.ClearOperator})
		Expect(w.fold.Case(content(0)).Verdict).To(Equal(suspect.VerdictClear))
	})
})
