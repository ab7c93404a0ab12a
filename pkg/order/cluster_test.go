package order_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// mode is how the connection of a node to the log behaves.
type mode string

const (
	modeUp          mode = "up"
	modeDown        mode = "down"
	modeLost        mode = "lost"
	modeDelayed     mode = "delayed"
	modeSlow        mode = "slow"
	modePartitioned mode = "partitioned"
)

// endpointMode is how the endpoint behaves.
type endpointMode string

const (
	endpointRuns         endpointMode = "runs"
	endpointRefuses      endpointMode = "refuses"
	endpointResponseLost endpointMode = "answer-lost"
	endpointSilent       endpointMode = "silent"
	endpointSlow         endpointMode = "slow"
)

// crashPoint is a point at which a node can be made to crash.
type crashPoint string

const (
	crashBeforeAppend crashPoint = "crash before an append"
	crashAfterAppend  crashPoint = "crash after an append"
	crashBeforeSend   crashPoint = "crash before the send"
	crashAfterSend    crashPoint = "crash after the send"
)

// sendDelay is the network delay of a request to the endpoint.
const sendDelay = 300 * time.Millisecond

var (
	errInjected   = errors.New("fault")
	errNotStarted = errors.New("not started")
)

// cluster is a set of nodes with one log and one endpoint, in virtual time.
type cluster struct {
	log   *standin.Log
	group errgroup.Group
	nodes []*node

	mu              sync.Mutex
	endpoint        endpointMode
	runs            map[record.ID]int
	coverage        tally
	violations      []string
	calls           []call
	published       []published
	chargedRequests map[fleet.RequestID]int
	lastIncarnation fleet.Incarnation
	fullLog         map[platform.StreamName][]platform.Entry
}

// call is one request and the result that its caller got.
type call struct {
	ref   fleet.KeyRef
	async bool
	body  []byte
	order order.Order
	err   error
}

// tally counts how often each state and fault occurred.
type tally map[string]int

func (c *cluster) count(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coverage[event]++
}

// violation records a broken rule.
func (c *cluster) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// node is one node of the cluster; a restart replaces its process.
type node struct {
	cluster *cluster
	name    fleet.NodeName

	mu        sync.Mutex
	mode      mode
	resumed   chan struct{}
	suspected bool
	crashAt   crashPoint
	*process
}

// process is one incarnation of a node.
type process struct {
	ref             fleet.NodeRef
	executor        *order.Executor
	worker          *order.Worker
	partition       *order.Partition
	configStore     *config.Store
	writer          *ledger.Writer
	cancel          context.CancelFunc
	dead            bool
	highestRevision fleet.Revision
	requests        int
}

func newCluster(size int) *cluster {
	c := &cluster{
		log:             &standin.Log{},
		endpoint:        endpointRuns,
		runs:            make(map[record.ID]int),
		coverage:        make(tally),
		chargedRequests: make(map[fleet.RequestID]int),
		fullLog:         make(map[platform.StreamName][]platform.Entry),
	}
	for i := range size {
		n := &node{cluster: c, name: fleet.NodeName(fmt.Sprintf("entry-%d", i+1)), mode: modeUp}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

// appendEntry appends to the log and keeps a copy that does not expire.
func (c *cluster) appendEntry(name platform.StreamName, data []byte) fleet.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := c.log.Put(name, data)
	c.fullLog[name] = append(c.fullLog[name], platform.Entry{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

// start starts a new incarnation of the node.
func (n *node) start() {
	c := n.cluster
	c.mu.Lock()
	c.lastIncarnation++
	ref := fleet.NodeRef{Name: n.name, Incarnation: c.lastIncarnation}
	c.mu.Unlock()
	proc := &process{ref: ref}
	client := n.client(proc)
	proc.partition = &order.Partition{Stream: n.stream(client, platform.OrderStream(0))}
	p := proc.partition
	p.Stream.Apply, p.Stream.Applied, p.Stream.Save, p.Stream.Load = p.Apply, p.Applied, p.Save, p.Load
	proc.configStore = &config.Store{Stream: n.stream(client, platform.StreamConfig)}
	cs := proc.configStore
	cs.Stream.Apply, cs.Stream.Save, cs.Stream.Load = cs.Apply, cs.Save, cs.Load
	cs.OnChange = func(ch config.Change) {
		if ch.Revision <= proc.highestRevision {
			c.violation("%s went from revision %d to %d", n.name, proc.highestRevision, ch.Revision)
		}
		proc.highestRevision = ch.Revision
	}
	proc.writer = &ledger.Writer{Log: client, Node: ref, FlushInterval: time.Second}
	proc.executor = &order.Executor{
		Node:       ref,
		Partitions: []*order.Partition{p},
		NotStarted: func(err error) bool { return errors.Is(err, errNotStarted) },
		Send:       func(ctx context.Context, o order.Order) (order.Response, error) { return n.send(ctx, proc, o) },
	}
	proc.worker = &order.Worker{
		Executor:  proc.executor,
		Alive:     c.alive,
		Candidate: func(fleet.KeyRef) bool { return true },
	}
	n.mu.Lock()
	n.process = proc
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	proc.cancel = cancel
	for _, run := range []func(context.Context) error{p.Stream.Run, cs.Stream.Run, proc.writer.Run, proc.worker.Run} {
		c.group.Go(func() error { return run(ctx) })
	}
}

func (n *node) stream(client *platform.Log, name platform.StreamName) *journal.Stream {
	return &journal.Stream{
		Log:              client,
		Name:             name,
		SnapshotInterval: 20 * time.Second,
		Recovered:        func(fleet.Offset, fleet.Offset) { n.cluster.count("recovered from a snapshot") },
	}
}

// alive reports whether the nodes believe that a node is alive; it is wrong for a
// suspected node.
func (c *cluster) alive(ref fleet.NodeRef) bool {
	for _, n := range c.nodes {
		n.mu.Lock()
		same, up := n.ref == ref, !n.dead && !n.suspected
		n.mu.Unlock()
		if same {
			return up
		}
	}
	return false
}

// kill ends the node's process. Nothing that it sends reaches the log or the
// endpoint afterwards.
func (n *node) kill() {
	n.mu.Lock()
	proc := n.process
	proc.dead = true
	n.mu.Unlock()
	proc.cancel()
}

// maybeCrash ends the node's process if it was made to crash at this point.
func (n *node) maybeCrash(p crashPoint, proc *process) {
	n.mu.Lock()
	hit := n.crashAt == p && n.process == proc && !proc.dead
	if hit {
		n.crashAt = ""
	}
	n.mu.Unlock()
	if hit {
		n.cluster.count(string(p))
		n.kill()
	}
}

// pause blocks the node's process at its next append, read or send until resume.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

func (n *node) setMode(m mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = m
}

// waitResumed blocks while the node is paused. It returns the mode of the node and
// whether the process is alive.
func (n *node) waitResumed(proc *process) (m mode, alive bool) {
	for {
		n.mu.Lock()
		resumed, m, dead := n.resumed, n.mode, proc.dead
		n.mu.Unlock()
		if resumed == nil || dead {
			return m, !dead
		}
		<-resumed
	}
}

func (n *node) client(proc *process) *platform.Log {
	base := n.cluster.log.Client()
	return &platform.Log{
		AppendFunc: func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
			return n.append(ctx, proc, name, data)
		},
		ReadFunc: func(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, wait time.Duration) (platform.Page, error) {
			if m, alive := n.waitResumed(proc); !alive || m == modePartitioned || m == modeDown {
				return platform.Page{}, errInjected
			}
			page, err := base.Read(ctx, name, from, limit, wait)
			if _, alive := n.waitResumed(proc); !alive {
				return platform.Page{}, errInjected
			}
			return page, err
		},
	}
}

// append appends to the log as the node's mode requires.
func (n *node) append(ctx context.Context, proc *process, name platform.StreamName, data []byte) (fleet.Offset, error) {
	c := n.cluster
	n.maybeCrash(crashBeforeAppend, proc)
	m, alive := n.waitResumed(proc)
	if !alive || ctx.Err() != nil {
		return 0, &platform.NotExecutedError{Service: "log", Cause: errInjected}
	}
	if m != modeUp {
		c.count("append " + string(m))
	}
	switch m {
	case modeDown, modePartitioned:
		return 0, &platform.NotExecutedError{Service: "log", Cause: errInjected}
	case modeLost:
		c.appendEntry(name, data)
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errInjected}
	case modeDelayed:
		c.group.Go(func() error {
			time.Sleep(7 * time.Second)
			c.appendEntry(name, data)
			return nil
		})
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errInjected}
	case modeSlow:
		time.Sleep(time.Second)
	}
	offset := c.appendEntry(name, data)
	n.maybeCrash(crashAfterAppend, proc)
	if _, alive := n.waitResumed(proc); !alive {
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errInjected}
	}
	return offset, nil
}

// send simulates the endpoint and the network to it. A dead process sends nothing.
func (n *node) send(ctx context.Context, proc *process, o order.Order) (order.Response, error) {
	c := n.cluster
	time.Sleep(sendDelay)
	n.maybeCrash(crashBeforeSend, proc)
	if _, alive := n.waitResumed(proc); !alive {
		return order.Response{}, errInjected
	}
	c.mu.Lock()
	s := c.endpoint
	c.mu.Unlock()
	if s != endpointRuns {
		c.count("endpoint " + string(s))
	}
	switch s {
	case endpointRefuses:
		return order.Response{}, errNotStarted
	case endpointSilent:
		return order.Response{}, errInjected
	}
	c.mu.Lock()
	c.runs[o.Accept]++
	c.mu.Unlock()
	if s == endpointResponseLost {
		return order.Response{}, errInjected
	}
	if s == endpointSlow {
		time.Sleep(3 * time.Second)
	}
	n.maybeCrash(crashAfterSend, proc)
	if _, alive := n.waitResumed(proc); !alive {
		return order.Response{}, errInjected
	}
	return order.Response{Status: 200, Type: "text/plain", Body: o.Request.Body, Cost: 1}, ctx.Err()
}

// stop ends all nodes and waits for all goroutines.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
		n.resume()
	}
	_ = c.group.Wait()
}
