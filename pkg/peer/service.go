// Package peer runs the exchange of news between entry nodes: heartbeats, marks
// of instances, suspects, loads, demand and the configuration in force. Inside
// a data centre each node asks a random peer at short intervals for what it
// does not hold and pushes new facts at once; between data centres a few nodes
// carry summaries. Every node bounds the bytes that it sends.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/skylarkloom/skylarkloom/pkg/api/peer/v1"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/member"
	"github.com/skylarkloom/skylarkloom/pkg/roster"
)

// Intervals, delays and limits of the exchange.
const (
	// BeatEvery is how often a node advances its heartbeat.
	HeartbeatInterval = time.Second
	// PullEvery is the mean time between two questions to peers of the same
	// data centre.
	PullInterval = 500 * time.Millisecond
	// SummaryEvery is how often a gateway exchanges with another data centre.
	SummaryInterval = 2 * time.Second
	// relayEvery is how often a gateway passes another data centre's summary on
	// to its own.
	relayEvery = 5 * time.Second
	// DeadAfter is after how long without a heartbeat a node counts as dead, at
	// least: heartbeats take longer to go round in a large data centre.
	DeadTimeout = 8 * time.Second
	// deadAfterNode is how much of that each node of the data centre takes.
	deadAfterNode = 600 * time.Millisecond
	// RemoteDeadAfter is the same for a node that fresh summaries of its data
	// centre no longer name.
	RemoteDeadTimeout = 20 * time.Second
	// SilentAfter is after how long without any summary the nodes of another
	// data centre count as dead. Until then it may be only cut off.
	SilentTimeout = time.Minute
	// startGrace is how long after its start a node takes the nodes that it
	// has not heard of for alive.
	startGrace = 10 * time.Second
	// forgetAfter is how long a dead node's reports are kept.
	forgetAfter = 10 * time.Minute
	// learnAfter is how long a node that is behind waits for the log before it
	// asks a peer for the configuration.
	learnAfter = 500 * time.Millisecond
	// demandEvery is after how long an unchanged demand is reported again.
	demandEvery = 10 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// loadEvery is the least time between two load reports on an endpoint.
	loadEvery = 2 * time.Second
	// pushFanout is to how many peers new facts are pushed at once.
	pushFanout = 3
	// gateways is how many nodes of a data centre exchange with another one.
	gateways = 2
	// pollers is how many nodes poll one endpoint.
	pollers = 2
	// maxExchanges bounds the exchanges that a node has begun and not ended.
	maxExchanges = 8
	// maxFacts is how many facts one message carries.
	maxFacts = 64
	// deadPeerShare is the share of questions that go to peers that seem dead.
	deadPeerShare = 0.1
)

// The byte budget. A node receives on average what it sends, so the two
// together stay below 13 KB/s.
const (
	// BudgetRate is how many bytes a second a node sends.
	BudgetBytesPerSecond = 6500
	// BudgetBurst is how many bytes it may send at once.
	BudgetBurstBytes = 13000
	// partFraming is the size of a part's framing in a message, in bytes.
	partFraming = 4
	// messageOverhead is the size of a message's framing and headers, in bytes.
	messageOverhead = 150
)

// Version is the version of the protocol that this program speaks. Peers of a
// later version are understood, because fields are only added.
const Version = 1

// Peer is another node, as the settings name it.
type Peer struct {
	Name       fleet.NodeName
	DataCentre fleet.DataCentreName
	Address    string
}

// Service exchanges news with the peers. Self, Peers and Exchange must be set;
// the other functions may be nil.
type Service struct {
	Self  member.Node
	Peers []Peer
	// Seed makes the choice of peers repeatable.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// Exchange calls a peer.
	Exchange func(ctx context.Context, p Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	// Revision returns the revision that this node works by.
	Revision func() fleet.Revision
	// Change returns the configuration in force, if there is one.
	CurrentConfig func() (config.Change, bool)
	// Learn takes a configuration that a peer reports as in force.
	ApplyConfig func(c config.Change) error
	// Demand returns the requests a second of each account at this node.
	Demand func() map[fleet.AccountName]float64
	// Marked is called for news of an instance from a peer.
	OnMark func(m roster.Report)
	// Suspected is called for news of a suspect from a peer.
	OnSuspect func(s Suspect)
	// Loaded is called for a load report from a peer.
	OnLoad func(l Load)
	// Changed is called when a peer comes to be seen as alive or dead.
	OnLivenessChange func(n member.Node, alive bool)
	// Gather appends to the log for other nodes; nil refuses to.
	LogWriter *LogWriter
	// Failed is called when an exchange failed.
	OnExchangeError func(p Peer, err error)

	once    sync.Once
	done    chan struct{}
	started time.Time
	wake    chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	reports member.Reports
	facts   member.Facts
	budget  member.Budget
	peers   map[fleet.NodeName]*peerState
	pending map[member.Subject]member.Report
	loads   map[member.Subject]member.Report
	remote  map[fleet.DataCentreName]*remoteState
	demand  map[member.Subject]reported
	told    map[member.Subject]time.Time
	live    []fleet.NodeName
	centre  []fleet.NodeName
	seen    map[fleet.NodeName]bool
	behind  behind
	// deadAfter is DeadAfter or more, by the size of the data centre.
	deadAfter time.Duration
	// announced is the highest revision that was pushed to peers.
	announced fleet.Revision
	stats     Stats
}

// peerState is what a node remembers of its exchanges with one peer.
type peerState struct {
	life member.IncarnationID
	// pushed is up to where the peer has this node's facts, read up to where
	// this node has the peer's.
	pushed, read uint64
	// sum identifies the facts that the peer held after the last exchange.
	sum uint64
}

// behind notes a peer that works by a higher revision.
type behind struct {
	peer     fleet.NodeName
	revision fleet.Revision
	since    time.Time
}

type reported struct {
	rate float64
	at   time.Time
}

// Stats counts what a node has exchanged.
type Stats struct {
	Exchanges int
	Failures  int
	// SentBytes counts message bodies without the transport's framing.
	SentBytes       int
	ConfigsReceived int
}

func (s *Service) init() {
	s.once.Do(func() {
		s.done = make(chan struct{})
		s.wake = make(chan struct{}, 1)
		s.started = s.now()
		s.random = rand.New(rand.NewPCG(s.Seed, uint64(member.IncarnationIDOf(s.Self.Ref)))) //nolint:gosec // choice of peers
		s.budget = member.Budget{Rate: BudgetBytesPerSecond, Burst: BudgetBurstBytes}
		s.peers = make(map[fleet.NodeName]*peerState)
		s.pending = make(map[member.Subject]member.Report)
		s.loads = make(map[member.Subject]member.Report)
		s.remote = make(map[fleet.DataCentreName]*remoteState)
		s.demand = make(map[member.Subject]reported)
		s.told = make(map[member.Subject]time.Time)
		s.seen = make(map[fleet.NodeName]bool)
		s.reports.Publish(s.Self, s.revision(), s.started)
		s.refresh(s.started)
	})
}

func (s *Service) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Service) revision() fleet.Revision {
	if s.Revision != nil {
		return s.Revision()
	}
	return 0
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Done is closed when Run has returned.
func (s *Service) Done() <-chan struct{} {
	s.init()
	return s.done
}

// Run exchanges until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	var calls errgroup.Group
	calls.SetLimit(maxExchanges)
	s.greet(ctx, &calls)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.every(ctx, HeartbeatInterval, s.beat) })
	g.Go(func() error { return s.every(ctx, PullInterval, func() { s.pull(ctx, &calls) }) })
	g.Go(func() error { return s.every(ctx, SummaryInterval, func() { s.carry(ctx, &calls) }) })
	g.Go(func() error { return s.push(ctx, &calls) })
	err := g.Wait()
	_ = calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// every runs a step at an interval with jitter, so that nodes do not act in
// time with each other.
func (s *Service) every(ctx context.Context, interval time.Duration, step func()) error {
	for {
		s.mu.Lock()
		wait := time.Duration(float64(interval) * (0.75 + s.random.Float64()/2))
		s.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-t.C:
			step()
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// beat advances the heartbeat with the reports that have changed, and looks
// through the peers.
func (s *Service) beat() {
	now := s.now()
	revision := s.revision()
	var demand map[fleet.AccountName]float64
	if s.Demand != nil {
		demand = s.Demand()
	}
	s.mu.Lock()
	changed := s.demandItems(demand, now)
	changed = append(changed, s.loadItems(now)...)
	changed = append(changed, s.relayItems(now)...)
	s.reports.Publish(s.Self, revision, now, changed...)
	s.reports.Expire(now.Add(-forgetAfter), s.Self.Ref.Name)
	s.facts.Expire(now)
	changes := s.refresh(now)
	if revision > s.announced {
		s.alert()
	}
	s.mu.Unlock()
	for _, c := range changes {
		if s.OnLivenessChange != nil {
			s.OnLivenessChange(c.node, c.alive)
		}
	}
}
