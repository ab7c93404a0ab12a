package gossip

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// The bounds of a deployment on the usage of an account in a window.
const (
	quotaTick      = 10 * time.Millisecond
	quotaWindow    = 8 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 72000.0
)

// quotaFleet simulates nodes that exchange digests through their tables, with a round
// at a random phase, and that admit requests of one account by a QuotaLimiter.
type quotaFleet struct {
	*testFleet
	random   *rand.Rand
	accounts []serving.Account
	limiters []*allotment.QuotaLimiter
	phases   []int
	weights  []float64
	// admitted and refused are the amounts in each tick, by account.
	admitted, refused map[fleet.AccountName][]float64
}

func newQuotaFleet(dataCentres, nodesEach int, seed uint64, accounts ...serving.Account) *quotaFleet {
	f := &quotaFleet{
		testFleet: newFleet(dataCentres, nodesEach), random: rand.New(rand.NewPCG(seed, 36)), accounts: accounts,
		admitted: make(map[fleet.AccountName][]float64), refused: make(map[fleet.AccountName][]float64),
	}
	for i := range f.nodes {
		f.limiters = append(f.limiters, nil)
		f.phases = append(f.phases, f.random.IntN(int(RoundInterval/quotaTick)))
		f.weights = append(f.weights, 0.3+f.random.ExpFloat64())
		f.start(i, 0)
	}
	return f
}

// start starts node i, with an empty state. started is 0 for the first start of a
// deployment.
func (f *quotaFleet) start(i int, started clock.Instant) {
	n := f.nodes[i]
	q := &allotment.QuotaLimiter{Slack: quotaSlack, Started: started}
	f.limiters[i] = q
	n.down = false
	n.incarnation++
	n.table = Table{Self: n.table.Self, DataCentre: n.dataCentre, OnConsumed: q.AddPeerUsage, OnFirstReport: q.Adopt}
	describe := n.Describe
	n.Describe = func() Digest {
		d := describe()
		d.Node.Incarnation, d.Consumed, d.Quotas = n.incarnation, q.LocalTotals(), q.Report(f.now)
		return d
	}
	for _, o := range f.nodes {
		n.table.AddAnnounced(o.name(), Announcement{Address: o.address.String(), DataCentre: o.dataCentre, Incarnation: o.incarnation, Cores: o.cores}, f.now)
		if o != n && !o.down {
			o.table.AddAnnounced(n.name(), Announcement{Address: n.address.String(), DataCentre: n.dataCentre, Incarnation: n.incarnation, Cores: n.cores}, f.now)
		}
	}
	q.Track(f.accounts, f.counts(i), f.now)
}

func (f *quotaFleet) counts(i int) allotment.Nodes {
	counts := f.nodes[i].table.Count()
	counts.Lag = f.nodes[i].table.Lag()
	return counts
}

// tick sends the requests of a tick to the nodes that are up, whose callers of an
// account demand load times its rate, and runs the rounds that are due.
func (f *quotaFleet) tick(load float64) {
	const size = 3000.0
	total := 0.0
	for i, n := range f.nodes {
		if !n.down {
			total += f.weights[i]
		}
	}
	for a := range f.accounts {
		account := &f.accounts[a]
		admitted, refused := 0.0, 0.0
		for i, n := range f.nodes {
			if n.down {
				continue
			}
			mean := load * account.Quota.Rate * quotaTick.Seconds() * f.weights[i] / total / size
			for due := f.random.ExpFloat64(); due < mean; due += f.random.ExpFloat64() {
				amount := size * (0.3 + 1.4*f.random.Float64())
				if ok, _ := f.limiters[i].Take(account, amount, f.counts(i), f.now); ok {
					admitted += amount
				} else {
					refused += amount
				}
			}
		}
		f.admitted[account.Name] = append(f.admitted[account.Name], admitted)
		f.refused[account.Name] = append(f.refused[account.Name], refused)
	}
	tick := int(f.now.Sub(0) / quotaTick)
	for i, n := range f.nodes {
		if !n.down && tick%int(RoundInterval/quotaTick) == f.phases[i] {
			n.table.Expire(f.now)
			n.QueryPeers()
		}
	}
	f.now = f.now.Add(quotaTick)
}

// excess returns the largest usage of an account in any window, as a part of what is
// allowed.
func (f *quotaFleet) excess(a serving.Account) float64 {
	allowed := (a.Quota.Rate*quotaWindow.Seconds()+a.Quota.Burst)*(1+quotaTolerance) + quotaSlack
	peak, used := 0.0, 0.0
	for i, amount := range f.admitted[a.Name] {
		used += amount
		if length := int(quotaWindow / quotaTick); i >= length {
			used -= f.admitted[a.Name][i-length]
		}
		peak = max(peak, used)
	}
	return peak / allowed
}

func tokenAccount(name fleet.AccountName, rate float64) serving.Account {
	return serving.Account{Name: name, Quota: serving.Quota{Rate: rate, Burst: rate, ByTokens: true}}
}

var _ = Describe("A quota while nodes are replaced", func() {
	// Seen with review/quota-rolls.toml: rolling restarts beside an account that demands
	// many times its quota.
	DescribeTable("is not exceeded by an account whose load is many times its quota",
		func(dataCentres, nodesEach, seeds int, planned bool) {
			for seed := range uint64(seeds) {
				account := tokenAccount("acc", []float64{60_000, 225_000, 350_000}[seed%3])
				f := newQuotaFleet(dataCentres, nodesEach, seed, account)
				const roundTicks, downTicks = 600, 100
				for tick := range 4000 {
					if step := (tick - 1000) % downTicks; tick >= 1000 && tick < 3400 {
						i := (tick - 1000) / downTicks % len(f.nodes)
						switch {
						case step == 0 && planned:
							f.nodes[i].Leave()
							fallthrough
						case step == 0:
							f.nodes[i].down = true
						case step == downTicks/2:
							f.start(i, f.now)
						}
					}
					load := 0.55
					if tick%roundTicks > 30 {
						load = 4
					}
					f.tick(load)
				}
				Expect(f.excess(account)).To(BeNumerically("<=", 1), "seed %d: the part of the allowed usage", seed)
			}
		},
		Entry("when each stops as planned, in a small fleet", 3, 2, 12, true),
		Entry("when each is killed, in a small fleet", 3, 2, 12, false),
		Entry("when each stops as planned, in a large fleet", 3, 6, 3, true),
	)
})
