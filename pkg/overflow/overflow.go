// Package overflow decides which share of a pool's work leaves its data centre, and to
// which others. The decisions are pure functions of what nodes know of each data centre;
// they perform no I/O.
package overflow

import (
	"math"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// maxChange is the largest change of the share that goes from one data centre to
	// another in one renewal.
	maxChange = 0.05
	// minRise and minFall are how far the sum of the aims lies above or below that of the
	// shares when these follow them. A little too much that leaves delays callers less than
	// an overload here.
	minRise, minFall = 0.02, 0.06
	// aimWeight is the weight of one renewal in the moving average of the wanted shares.
	aimWeight = 0.2
	// maxReceiving is the utilisation up to which a data centre receives work.
	maxReceiving = 0.85
	// fullUtilisation is the utilisation from which waiting grows by overloadWait for each
	// multiple of the capacity.
	fullUtilisation = 0.98
	overloadWait    = 10 * time.Second
	// hiddenWeight is the weight of one renewal in the moving average of hidden load.
	hiddenWeight = 0.1
	// moves is the number of parts in which the free work of a data centre is moved.
	moves = 50
)

// Site is what a node knows of a pool in one data centre. Work is measured in busy
// engines of usual speed or, in plain services, in busy slots.
type Site struct {
	DataCentre fleet.DataCentreName
	// Free is the work from callers of this data centre that can run anywhere. Bound is the
	// work that runs here because its prefix is cached here.
	Free, Bound float64
	// Capacity is the number of engines or slots that accept requests, times their speed.
	Capacity float64
	// Queue is the number of engines or slots that share a queue; 0 stands for all. Nodes that
	// see the load late can't pick the free engine, so that requests queue at each engine.
	Queue float64
	// Queued is the number of requests that wait or run for each of them.
	Queued float64
	// Unreachable reports whether the data centre is silent.
	Unreachable bool
}

// Costs are the usual costs of a request.
type Costs struct {
	// Work is the time for which a request keeps an engine or a slot busy.
	Work time.Duration
	// Transfer is the cost of serving it in another data centre.
	Transfer time.Duration
}

// Plan holds the shares of free work that leave each data centre. The zero value keeps
// all work where it arrives.
type Plan struct {
	shares map[route]float64
	// aims are the moving averages of the shares that were wanted.
	aims map[route]float64
	// hidden is the load of each data centre that its queues show beyond the reported work.
	hidden map[fleet.DataCentreName]float64
}

// route is a pair of data centres.
type route struct{ from, to fleet.DataCentreName }

// Share returns the share of the free work of one data centre that goes to another.
func (p Plan) Share(from, to fleet.DataCentreName) float64 { return p.shares[route{from, to}] }

// Leaving returns the share of the free work of a data centre that leaves it.
func (p Plan) Leaving(from fleet.DataCentreName) (sum float64) {
	for r, share := range p.shares {
		if r.from == from {
			sum += share
		}
	}
	return sum
}

// Renew returns the plan that follows from the present state of all data centres. It
// answers demand that exceeds the engines of one data centre for longer than its queues
// last, while others have room: work leaves as long as the wait saved exceeds the cost of
// the transfer. What leaves counts as load where it goes at once, a data centre that sends
// receives nothing, and shares change by degrees, except that an unreachable data centre
// or one that sends receives nothing from now on.
func (p Plan) Renew(sites []Site, c Costs) Plan {
	next := Plan{shares: make(map[route]float64), aims: make(map[route]float64), hidden: make(map[fleet.DataCentreName]float64, len(sites))}
	loads := make([]float64, len(sites))
	for i, s := range sites {
		loads[i] = s.Free + s.Bound
		expected := loads[i] + p.received(s, sites)
		queued := s.Queued / (1 + s.Queued) * s.Capacity
		hidden := p.hidden[s.DataCentre]
		hidden += hiddenWeight * (max(0, queued-expected) - hidden)
		next.hidden[s.DataCentre] = hidden
		loads[i] += hidden
	}
	wanted := p.wanted(sites, loads, c)
	for i, from := range sites {
		for j, to := range sites {
			if to.Unreachable || from.Unreachable || sum(wanted[j]) > 0 {
				continue
			}
			r := route{from.DataCentre, to.DataCentre}
			aim := p.aims[r] + aimWeight*(wanted[i][j]-p.aims[r])
			if wanted[i][j] == 0 && aim < minRise {
				aim = 0
			}
			if aim > 0 {
				next.aims[r] = aim
			}
			if share := follow(p.shares[r], aim, float64(len(sites)-1)); share > 0 {
				next.shares[r] = share
			}
		}
	}
	for r := range next.shares {
		if next.Leaving(r.to) > 0 {
			delete(next.shares, r)
		}
	}
	for _, s := range sites {
		if leaving := next.Leaving(s.DataCentre); leaving > 1 {
			for r := range next.shares {
				if r.from == s.DataCentre {
					next.shares[r] /= leaving
				}
			}
		}
	}
	return next
}

// follow returns the share of one of several routes after one renewal. It doesn't follow
// small changes of its aim.
func follow(share, aim, routes float64) float64 {
	if aim > 1-minRise {
		aim = 1
	}
	if aim > 0 && aim < 1 && aim-share < minRise/routes && share-aim < minFall/routes {
		return share
	}
	return min(max(aim, share-maxChange), share+maxChange)
}

// received returns the work that a data centre receives by the plan, less what it sends.
func (p Plan) received(s Site, sites []Site) float64 {
	balance := -p.Leaving(s.DataCentre) * s.Free
	for _, o := range sites {
		balance += p.Share(o.DataCentre, s.DataCentre) * o.Free
	}
	return balance
}

// wanted returns the shares at which no further transfer pays. It moves small parts of the
// free work, each along the route that saves most, and adds them to the loads. A route in
// use is kept until it saves less than half of its cost, so that it isn't given up and
// resumed all the time.
func (p Plan) wanted(sites []Site, loads []float64, c Costs) [][]float64 {
	shares := make([][]float64, len(sites))
	waits := make([]time.Duration, len(sites))
	for i := range sites {
		shares[i] = make([]float64, len(sites))
		waits[i] = sites[i].wait(loads[i], c.Work)
	}
	receives := make([]bool, len(sites))
	for range moves * len(sites) {
		from, to, most := -1, -1, time.Duration(0)
		for i, s := range sites {
			if receives[i] || s.Free <= 0 || sum(shares[i]) > 1-1.0/moves/2 {
				continue
			}
			for j, t := range sites {
				if i == j || t.Unreachable || s.Unreachable || sum(shares[j]) > 0 || loads[j]+s.Free/moves > maxReceiving*t.Capacity {
					continue
				}
				cost := c.Transfer
				if p.Share(s.DataCentre, t.DataCentre) > 0 {
					cost /= 2
				}
				if saved := waits[i] - waits[j] - cost; saved > most {
					from, to, most = i, j, saved
				}
			}
		}
		if from < 0 {
			break
		}
		part := sites[from].Free / moves
		shares[from][to] += 1.0 / moves
		receives[to] = true
		loads[from] -= part
		loads[to] += part
		for _, i := range []int{from, to} {
			waits[i] = sites[i].wait(loads[i], c.Work)
		}
	}
	return shares
}

// wait returns the mean time that requests wait for an engine or slot (Sakasegawa's
// approximation). Beyond the capacity it grows with the excess.
func (s Site) wait(load float64, work time.Duration) time.Duration {
	if s.Capacity <= 0 {
		return overloadWait * time.Duration(1+min(1000, load))
	}
	servers := s.Queue
	if servers <= 0 {
		servers = s.Capacity
	}
	utilisation := load / s.Capacity
	u := min(utilisation, fullUtilisation)
	if u <= 0 {
		return 0
	}
	wait := math.Pow(u, math.Sqrt(2*(servers+1))-1) / (servers * (1 - u)) * float64(work)
	return time.Duration(wait + min(1000, max(0, utilisation-fullUtilisation))*float64(overloadWait))
}

func sum(shares []float64) (total float64) {
	for _, s := range shares {
		total += s
	}
	return total
}

// Names returns the data centres that receive work from one, sorted by name.
func (p Plan) Names(from fleet.DataCentreName) (names []fleet.DataCentreName) {
	for r := range p.shares {
		if r.from == from {
			names = append(names, r.to)
		}
	}
	slices.Sort(names)
	return names
}
