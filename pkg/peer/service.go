// Package peer exchanges state between entry nodes: heartbeats, condition
// reports of instances that leave or are gone, suspects, load reports, demand and
// the configuration in force.
// Within a data centre each node pulls missing state from a random peer at short
// intervals and pushes new facts immediately. Between data centres a few gateway
// nodes exchange summaries. Every node limits the bytes that it sends.
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
	// HeartbeatInterval is the interval at which a node advances its heartbeat.
	HeartbeatInterval = time.Second
	// PullInterval is the mean time between two pulls from peers of the same
	// data centre.
	PullInterval = 500 * time.Millisecond
	// SummaryInterval is the interval at which a gateway exchanges summaries with
	// another data centre.
	SummaryInterval = 2 * time.Second
	// relayInterval is the interval at which a gateway relays another data
	// centre's summary within its data centre.
	relayInterval = 5 * time.Second
	// DeadTimeout is the minimum time without a heartbeat after which a node is
	// considered dead. Heartbeats take longer to spread in a large data centre,
	// where deadTimeoutPerNode raises it.
	DeadTimeout = 8 * time.Second
	// deadTimeoutPerNode is multiplied by the number of nodes of the data centre.
	// The product applies if it exceeds DeadTimeout.
	deadTimeoutPerNode = 600 * time.Millisecond
	// RemoteDeadTimeout is how long newer summaries of another data centre may
	// omit a node before it is considered dead. SilentDataCentres uses it too, as
	// the maximum age of the newest summary.
	RemoteDeadTimeout = 20 * time.Second
	// SilentTimeout is the time without any summary after which the nodes of
	// another data centre are considered dead. Until then they may be alive behind
	// a network partition.
	SilentTimeout = time.Minute
	// startupGrace is how long after its start a node considers every node alive
	// of which it has received nothing.
	startupGrace = 10 * time.Second
	// expiryTimeout is how long a dead node's reports are kept.
	expiryTimeout = 10 * time.Minute
	// configRequestDelay is how long a node with a lower revision than a peer
	// waits for the log before it requests the configuration from that peer.
	configRequestDelay = 500 * time.Millisecond
	// demandInterval is the interval at which an unchanged demand is reported.
	demandInterval = 10 * time.Second
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = time.Second
	// minLoadInterval is the minimum time between two load reports on an endpoint.
	minLoadInterval = 2 * time.Second
	// pushFanout is the number of peers to which new facts are pushed immediately.
	pushFanout = 3
	// gatewayCount is the number of nodes of a data centre that exchange
	// summaries with another data centre.
	gatewayCount = 2
	// pollerCount is the number of nodes that poll one endpoint.
	pollerCount = 2
	// maxExchanges is the maximum number of outgoing exchanges in flight.
	maxExchanges = 8
	// maxMessageFacts is the maximum number of facts in one message.
	maxMessageFacts = 64
	// deadPeerShare is the share of exchanges that go to peers considered dead.
	deadPeerShare = 0.1
)

// The byte budget. A node receives as much as it sends on average, so both
// together stay below 13 KB/s.
const (
	// BudgetBytesPerSecond is the rate at which a node may send.
	BudgetBytesPerSecond = 6500
	// BudgetBurstBytes is how many bytes a node may send in one burst.
	BudgetBurstBytes = 13000
	// deltaFramingBytes is the size of the framing of a delta in a message.
	deltaFramingBytes = 4
	// messageOverheadBytes is the size of the framing and headers of a message.
	messageOverheadBytes = 150
)

// Version is the version of the peer protocol. Messages of later versions are
// accepted, because versions only add fields.
const Version = 1

// Peer is another node, as listed in the settings.
type Peer struct {
	Name       fleet.NodeName
	DataCentre fleet.DataCentreName
	Address    string
}

// Service exchanges state with the peers. Self, Peers and Exchange must be set;
// the other functions may be nil.
type Service struct {
	Self  member.Node
	Peers []Peer
	// Seed makes the choice of peers repeatable.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// Exchange sends a request to a peer.
	Exchange func(ctx context.Context, p Peer, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	// Revision returns the revision of the configuration in force at this node.
	Revision func() fleet.Revision
	// CurrentConfig returns the configuration in force, if there is one.
	CurrentConfig func() (config.Change, bool)
	// ApplyConfig applies a configuration received from a peer.
	ApplyConfig func(c config.Change) error
	// Demand returns the requests per second of each account at this node.
	Demand func() map[fleet.AccountName]float64
	// OnCondition is called for a new condition report from a peer.
	OnCondition func(rep roster.ConditionReport)
	// OnSuspect is called for a new or changed suspect from a peer.
	OnSuspect func(s Suspect)
	// OnLoad is called for a load report from a peer.
	OnLoad func(l Load)
	// OnLivenessChange is called when a peer becomes alive or dead.
	OnLivenessChange func(n member.Node, alive bool)
	// LogWriter appends to the log for other nodes. If it is nil, their appends
	// are refused.
	LogWriter *LogWriter
	// OnExchangeError is called when an exchange fails.
	OnExchangeError func(p Peer, err error)

	once    sync.Once
	done    chan struct{}
	started time.Time
	wake    chan struct{}

	mu              sync.Mutex
	random          *rand.Rand
	reports         member.Reports
	facts           member.Facts
	budget          member.Budget
	states          map[fleet.NodeName]*peerState
	pendingLoads    map[member.Subject]member.Report
	loads           map[member.Subject]member.Report
	remote          map[fleet.DataCentreName]*remoteState
	reportedDemand  map[member.Subject]reportedRate
	loadSentAt      map[member.Subject]time.Time
	liveNodes       []fleet.NodeName
	dataCentreNodes []fleet.NodeName
	isAlive         map[fleet.NodeName]bool
	// pullOrder holds the live peers that pullTarget has still to choose in this turn.
	pullOrder []fleet.NodeName
	ahead     aheadPeer
	// deadTimeout is DeadTimeout or more, depending on the size of the data centre.
	deadTimeout time.Duration
	// pushedRevision is the highest revision that was pushed to peers.
	pushedRevision fleet.Revision
	stats          Stats
}

// peerState is the state of the exchanges with one peer.
type peerState struct {
	incarnationID member.IncarnationID
	// pushed is the position up to which the peer has this node's facts, read
	// the position up to which this node has the peer's facts.
	pushed, read uint64
	// checksum is the checksum of the peer's facts after the last exchange.
	checksum uint64
}

// aheadPeer is a peer with a higher revision than this node.
type aheadPeer struct {
	peer     fleet.NodeName
	revision fleet.Revision
	// since is the start of configRequestDelay: when a higher revision was first
	// recorded, or when the configuration was last requested.
	since time.Time
}

type reportedRate struct {
	rate float64
	at   time.Time
}

// Stats counts the exchanges of a node.
type Stats struct {
	Exchanges int
	Failures  int
	// SentBytes counts the bytes of message bodies, without framing.
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
		s.states = make(map[fleet.NodeName]*peerState)
		s.pendingLoads = make(map[member.Subject]member.Report)
		s.loads = make(map[member.Subject]member.Report)
		s.remote = make(map[fleet.DataCentreName]*remoteState)
		s.reportedDemand = make(map[member.Subject]reportedRate)
		s.loadSentAt = make(map[member.Subject]time.Time)
		s.isAlive = make(map[fleet.NodeName]bool)
		s.reports.Publish(s.Self, s.revision(), s.started)
		s.refreshLiveness(s.started)
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

// Stats returns the current counts.
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

// Run exchanges state with the peers until the context ends.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	var calls errgroup.Group
	calls.SetLimit(maxExchanges)
	s.exchangeAtStart(ctx, &calls)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.runEvery(ctx, HeartbeatInterval, s.heartbeat) })
	g.Go(func() error { return s.runEvery(ctx, PullInterval, func() { s.pull(ctx, &calls) }) })
	g.Go(func() error { return s.runEvery(ctx, SummaryInterval, func() { s.exchangeSummaries(ctx, &calls) }) })
	g.Go(func() error { return s.push(ctx, &calls) })
	err := g.Wait()
	_ = calls.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// runEvery runs a step at an interval with jitter, which keeps nodes from acting
// in lockstep.
func (s *Service) runEvery(ctx context.Context, interval time.Duration, step func()) error {
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

// heartbeat advances the heartbeat, publishes the reports that are due and
// updates the liveness of the peers.
func (s *Service) heartbeat() {
	now := s.now()
	revision := s.revision()
	var demand map[fleet.AccountName]float64
	if s.Demand != nil {
		demand = s.Demand()
	}
	s.mu.Lock()
	changed := s.dueDemandReports(demand, now)
	changed = append(changed, s.dueLoadReports(now)...)
	changed = append(changed, s.dueRelayReports(now)...)
	s.reports.Publish(s.Self, revision, now, changed...)
	s.reports.Expire(now.Add(-expiryTimeout), s.Self.Ref.Name)
	s.facts.Expire(now)
	changes := s.refreshLiveness(now)
	if revision > s.pushedRevision {
		s.wakePush()
	}
	s.mu.Unlock()
	for _, c := range changes {
		if s.OnLivenessChange != nil {
			s.OnLivenessChange(c.node, c.alive)
		}
	}
}
