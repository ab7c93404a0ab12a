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

// mode is how a node's way to the log behaves.
type mode string

const (
	modeUp      mode = "up"
	modeDown    mode = "down"
	modeLost    mode = "lost"
	modeDelayed mode = "delayed"
	modeSlow    mode = "slow"
	modeCut     mode = "partitioned"
)

// service is how the endpoint behaves.
type service string

const (
	serviceRuns    service = "runs"
	serviceRefuses service = "refuses"
	serviceLost    service = "answer-lost"
	serviceSilent  service = "silent"
	serviceSlow    service = "slow"
)

// point is where a node can be made to die.
type point string

const (
	pointBeforeAppend point = "death before an append"
	pointAfterAppend  point = "death after an append"
	pointBeforeSend   point = "death before the send"
	pointAfterSend    point = "death after the send"
)

// sendTime is how long a request is on its way to the endpoint.
const sendTime = 300 * time.Millisecond

var (
	errFault      = errors.New("fault")
	errNotStarted = errors.New("not started")
)

// cluster is several nodes over one log and one endpoint, in virtual time.
type cluster struct {
	log   *standin.Log
	group errgroup.Group
	nodes []*node

	mu        sync.Mutex
	service   service
	runs      map[record.ID]int
	seen      tally
	faults    []string
	calls     []call
	published []published
	told      map[fleet.RequestID]int
	lives     fleet.Incarnation
	copies    map[platform.StreamName][]platform.Entry
}

// call is what one caller was told.
type call struct {
	ref   fleet.KeyRef
	async bool
	body  []byte
	order order.Order
	err   error
}

// tally counts how often each state and fault was reached.
type tally map[string]int

func (c *cluster) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[what]++
}

// fault records a broken rule.
func (c *cluster) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// node is one place for a node; its life is replaced by a restart.
type node struct {
	cluster *cluster
	name    fleet.NodeName

	mu      sync.Mutex
	mode    mode
	gate    chan struct{}
	suspect bool
	crash   point
	*life
}

// life is one run of a node's process.
type life struct {
	ref      fleet.NodeRef
	desk     *order.Executor
	server   *order.Worker
	part     *order.Partition
	keeper   *config.Keeper
	writer   *ledger.Writer
	cancel   context.CancelFunc
	dead     bool
	highest  fleet.Revision
	requests int
}

func newCluster(size int) *cluster {
	c := &cluster{
		log:     &standin.Log{},
		service: serviceRuns,
		runs:    make(map[record.ID]int),
		seen:    make(tally),
		told:    make(map[fleet.RequestID]int),
		copies:  make(map[platform.StreamName][]platform.Entry),
	}
	for i := range size {
		n := &node{cluster: c, name: fleet.NodeName(fmt.Sprintf("entry-%d", i+1)), mode: modeUp}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

// put appends to the log and keeps a copy that never lapses.
func (c *cluster) put(name platform.StreamName, data []byte) fleet.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := c.log.Put(name, data)
	c.copies[name] = append(c.copies[name], platform.Entry{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

// start begins a new life of the node.
func (n *node) start() {
	c := n.cluster
	c.mu.Lock()
	c.lives++
	ref := fleet.NodeRef{Name: n.name, Incarnation: c.lives}
	c.mu.Unlock()
	l := &life{ref: ref}
	client := n.client(l)
	l.part = &order.Partition{Stream: n.stream(client, platform.OrderStream(0))}
	p := l.part
	p.Stream.Apply, p.Stream.Applied, p.Stream.Save, p.Stream.Load = p.Apply, p.Applied, p.Save, p.Load
	l.keeper = &config.Keeper{Stream: n.stream(client, platform.StreamConfig)}
	k := l.keeper
	k.Stream.Apply, k.Stream.Save, k.Stream.Load = k.Apply, k.Save, k.Load
	k.Changed = func(ch config.Change) {
		if ch.Revision <= l.highest {
			c.fault("%s went from revision %d to %d", n.name, l.highest, ch.Revision)
		}
		l.highest = ch.Revision
	}
	l.writer = &ledger.Writer{Log: client, Node: ref, Every: time.Second}
	l.desk = &order.Executor{
		Node:       ref,
		Partitions: []*order.Partition{p},
		NotStarted: func(err error) bool { return errors.Is(err, errNotStarted) },
		Send:       func(ctx context.Context, o order.Order) (order.Reply, error) { return n.send(ctx, l, o) },
	}
	l.server = &order.Worker{
		Executor:  l.desk,
		Alive:     c.alive,
		Candidate: func(fleet.KeyRef) bool { return true },
	}
	n.mu.Lock()
	n.life = l
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for _, run := range []func(context.Context) error{p.Stream.Run, k.Stream.Run, l.writer.Run, l.server.Run} {
		c.group.Go(func() error { return run(ctx) })
	}
}

func (n *node) stream(client *platform.Log, name platform.StreamName) *journal.Stream {
	return &journal.Stream{
		Log:           client,
		Name:          name,
		SnapshotEvery: 20 * time.Second,
		Lapsed:        func(fleet.Offset, fleet.Offset) { n.cluster.note("recovered from a snapshot") },
	}
}

// alive is what the nodes believe; it is wrong for a suspected node.
func (c *cluster) alive(ref fleet.NodeRef) bool {
	for _, n := range c.nodes {
		n.mu.Lock()
		same, up := n.ref == ref, !n.dead && !n.suspect
		n.mu.Unlock()
		if same {
			return up
		}
	}
	return false
}

// kill ends the node's process: nothing of it reaches the log or the endpoint
// any more.
func (n *node) kill() {
	n.mu.Lock()
	l := n.life
	l.dead = true
	n.mu.Unlock()
	l.cancel()
}

// at ends the node's process if it was made to die at this point.
func (n *node) at(p point, l *life) {
	n.mu.Lock()
	hit := n.crash == p && n.life == l && !l.dead
	if hit {
		n.crash = ""
	}
	n.mu.Unlock()
	if hit {
		n.cluster.note(string(p))
		n.kill()
	}
}

// pause stops the node's process at its next step; resume lets it go on.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate == nil {
		n.gate = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gate != nil {
		close(n.gate)
		n.gate = nil
	}
}

func (n *node) set(m mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = m
}

// pass blocks while the node is paused and reports whether that life goes on.
func (n *node) pass(l *life) (m mode, alive bool) {
	for {
		n.mu.Lock()
		gate, m, dead := n.gate, n.mode, l.dead
		n.mu.Unlock()
		if gate == nil || dead {
			return m, !dead
		}
		<-gate
	}
}

func (n *node) client(l *life) *platform.Log {
	base := n.cluster.log.Client()
	return &platform.Log{
		AppendFunc: func(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
			return n.append(ctx, l, name, data)
		},
		ReadFunc: func(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, wait time.Duration) (platform.Page, error) {
			if m, alive := n.pass(l); !alive || m == modeCut || m == modeDown {
				return platform.Page{}, errFault
			}
			page, err := base.Read(ctx, name, from, limit, wait)
			if _, alive := n.pass(l); !alive {
				return platform.Page{}, errFault
			}
			return page, err
		},
	}
}

// append brings an append to the log as the node's mode has it.
func (n *node) append(ctx context.Context, l *life, name platform.StreamName, data []byte) (fleet.Offset, error) {
	c := n.cluster
	n.at(pointBeforeAppend, l)
	m, alive := n.pass(l)
	if !alive || ctx.Err() != nil {
		return 0, &platform.NotExecutedError{Service: "log", Cause: errFault}
	}
	if m != modeUp {
		c.note("append " + string(m))
	}
	switch m {
	case modeDown, modeCut:
		return 0, &platform.NotExecutedError{Service: "log", Cause: errFault}
	case modeLost:
		c.put(name, data)
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errFault}
	case modeDelayed:
		c.group.Go(func() error {
			time.Sleep(7 * time.Second)
			c.put(name, data)
			return nil
		})
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errFault}
	case modeSlow:
		time.Sleep(time.Second)
	}
	offset := c.put(name, data)
	n.at(pointAfterAppend, l)
	if _, alive := n.pass(l); !alive {
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errFault}
	}
	return offset, nil
}

// send is the endpoint and the way to it. A dead process sends nothing.
func (n *node) send(ctx context.Context, l *life, o order.Order) (order.Reply, error) {
	c := n.cluster
	time.Sleep(sendTime)
	n.at(pointBeforeSend, l)
	if _, alive := n.pass(l); !alive {
		return order.Reply{}, errFault
	}
	c.mu.Lock()
	s := c.service
	c.mu.Unlock()
	if s != serviceRuns {
		c.note("endpoint " + string(s))
	}
	switch s {
	case serviceRefuses:
		return order.Reply{}, errNotStarted
	case serviceSilent:
		return order.Reply{}, errFault
	}
	c.mu.Lock()
	c.runs[o.Accept]++
	c.mu.Unlock()
	if s == serviceLost {
		return order.Reply{}, errFault
	}
	if s == serviceSlow {
		time.Sleep(3 * time.Second)
	}
	n.at(pointAfterSend, l)
	if _, alive := n.pass(l); !alive {
		return order.Reply{}, errFault
	}
	return order.Reply{Status: 200, Type: "text/plain", Body: o.Request.Body, Cost: 1}, ctx.Err()
}

// stop ends every node and waits for all goroutines.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.kill()
		n.resume()
	}
	_ = c.group.Wait()
}
