package order_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/order"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// action is one kind of step of a case.
type action string

const (
	actRun      action = "run"
	actEnqueue  action = "enqueue"
	actRepeat   action = "enqueue repeatable"
	actMode     action = "mode"
	actAllModes action = "log mode"
	actService  action = "service"
	actPause    action = "pause"
	actResume   action = "resume"
	actKill     action = "kill"
	actRestart  action = "restart"
	actSuspect  action = "suspect"
	actTrust    action = "trust"
	actLapse    action = "lapse"
	actPublish  action = "publish"
	actCharge   action = "charge"
	actHeal     action = "heal"
	actCrash    action = "crash"

	// The actions below stand for several steps, so that cases reach what single
	// steps seldom meet.
	actPausedSend action = "pause past a takeover"
	actLateAppend action = "accept that takes effect late"
	actHandOver   action = "owner dies with work in hand"
	actRivals     action = "two operators at once"
	actNoAnswer   action = "accept without answer"
	actHopeless   action = "endpoint fails past a deadline"
	actOutage     action = "owner dies before a long outage"
)

// step is one step of a case; what a field means depends on the action.
type step struct {
	Act  action
	Node int
	Key  int
	Body int
	Wait time.Duration
}

var (
	actions = []action{
		actRun, actRun, actRun, actRun, actRun, actEnqueue, actEnqueue, actRepeat, actRepeat, actMode, actMode, actAllModes, actService,
		actCrash, actCrash, actPausedSend, actPausedSend, actLateAppend, actHandOver, actHandOver, actRivals, actNoAnswer, actHopeless, actOutage,
		actPause, actResume, actKill, actRestart, actSuspect, actSuspect, actTrust, actLapse, actPublish, actPublish, actCharge, actHeal,
	}
	modes    = []mode{modeUp, modeDown, modeLost, modeDelayed, modeSlow, modeCut}
	points   = []point{pointBeforeAppend, pointAfterAppend, pointBeforeSend, pointAfterSend}
	works    = []action{actRun, actEnqueue, actRepeat}
	services = []service{serviceRuns, serviceRuns, serviceRefuses, serviceLost, serviceSilent, serviceSlow}
	waits    = []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 350 * time.Millisecond, time.Second, 4 * time.Second, 9 * time.Second}
)

// Sizes and times of a case.
const (
	nodes        = 3
	keys         = 3
	mostSteps    = 40
	callTime     = 5 * time.Second
	asyncTime    = 20 * time.Second
	settleTime   = 45 * time.Second
	keyWindow    = 24 * time.Hour
	snapshotTime = 5 * time.Second
)

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Act:  rapid.SampledFrom(actions).Draw(t, "act"),
		Node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
		Key:  rapid.IntRange(0, keys-1).Draw(t, "key"),
		Body: rapid.IntRange(0, 5).Draw(t, "body"),
		Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
	}
}), 10, mostSteps)

// reached names the states and faults that the fuzz must have been in.
var reached = []string{
	"accepted", "accept lost to an earlier one", "accept after its cancel", "duplicate record", "conflict told",
	"done", "not-run", "unknown", "failed",
	"takeover before dispatch", "takeover after dispatch", "repeatable work handed on", "dispatch after takeover", "settle after takeover",
	"cancel in time", "cancel before accept", "cancel too late",
	"told done", "told not run", "told unknown", "told accepted",
	"append down", "append lost", "append delayed", "append slow", "append partitioned",
	"endpoint refuses", "endpoint answer-lost", "endpoint silent", "endpoint slow",
	"death before an append", "death after an append", "death before the send", "death after the send", "pause", "suspect", "recovered from a snapshot",
	"publish in force", "publish lost the race", "charge batch twice", "keyed charge twice",
}

var _ = Describe("Orders, configuration and charges under faults", func() {
	It("keep every rule in every case", func() {
		total := make(tally)
		cases := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			script := steps.Draw(t, "steps")
			c := perform(script)
			cases++
			for what, n := range c.seen {
				total[what] += n
			}
			if len(c.faults) > 0 {
				t.Fatalf("broken: %s", strings.Join(c.faults, "; "))
			}
		})
		AddReportEntry("coverage", coverage(cases, total))
		GinkgoWriter.Println(coverage(cases, total))
		for _, what := range reached {
			Expect(total[what]).To(BeNumerically(">", 0), "the fuzz never reached %q", what)
		}
	})
})

func coverage(cases int, total tally) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d cases\n", cases)
	for _, what := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(&b, "%8d  %s\n", total[what], what)
	}
	return b.String()
}

// perform runs one case in virtual time and returns what came of it.
func perform(script []step) (c *cluster) {
	synctest.Test(suite, func(*testing.T) {
		c = newCluster(nodes)
		time.Sleep(time.Second)
		for _, s := range script {
			for _, part := range expand(s) {
				c.do(part)
				time.Sleep(part.Wait)
			}
		}
		c.heal()
		time.Sleep(settleTime)
		c.check()
		c.stop()
	})
	return c
}

// expand returns the steps that a step stands for.
func expand(s step) []step {
	one := func(act action, body int, wait time.Duration) step {
		return step{Act: act, Node: s.Node, Key: s.Key, Body: body, Wait: wait}
	}
	work := works[s.Body%len(works)]
	switch s.Act {
	case actPausedSend:
		return []step{one(work, s.Body, 200*time.Millisecond), one(actPause, 0, 0), one(actSuspect, 0, s.Wait), one(actResume, 0, 0), one(actTrust, 0, 0)}
	case actLateAppend:
		return []step{one(actMode, 3, 0), one(work, s.Body, callTime+50*time.Millisecond), one(actMode, 0, s.Wait)}
	case actHandOver:
		return []step{one(actCrash, s.Body, 0), one(work, s.Body, s.Wait), one(actRestart, 0, 0)}
	case actRivals:
		rival := step{Act: actPublish, Node: (s.Node + 1) % nodes, Key: s.Key, Body: s.Body + 1}
		charge := rival
		charge.Act, charge.Wait = actCharge, s.Wait
		return []step{one(actPublish, s.Body, 0), rival, one(actCharge, 0, 0), charge}
	case actHopeless:
		return []step{one(actService, 4, 0), one(actRepeat, s.Body, asyncTime+s.Wait), one(actService, 0, 0)}
	case actOutage:
		return []step{one(actEnqueue, s.Body, 0), one(actCrash, 0, s.Wait), one(actAllModes, 1, asyncTime), one(actHeal, 0, 0)}
	case actNoAnswer:
		return []step{one(actEnqueue, s.Body, 0), one(actPause, 0, 0), one(actSuspect, 0, callTime+s.Wait), one(actResume, 0, 0)}
	default:
		return []step{s}
	}
}

func (c *cluster) do(s step) {
	n := c.nodes[s.Node]
	switch s.Act {
	case actRun, actEnqueue, actRepeat:
		c.group.Go(func() error { return c.call(n, s) })
	case actMode:
		n.set(modes[s.Body])
	case actAllModes:
		for _, n := range c.nodes {
			n.set(modes[s.Body])
		}
	case actService:
		c.mu.Lock()
		c.service = services[s.Body]
		c.mu.Unlock()
	case actPause:
		c.note("pause")
		n.pause()
	case actResume:
		n.resume()
	case actKill:
		n.kill()
	case actCrash:
		n.doom(points[s.Body%len(points)])
	case actRestart:
		n.kill()
		n.start()
	case actSuspect:
		c.note("suspect")
		n.doubt(true)
	case actTrust:
		n.doubt(false)
	case actLapse:
		c.group.Go(func() error { return c.lapse(n) })
	case actPublish:
		c.group.Go(func() error { return c.publish(n, s) })
	case actCharge:
		c.charge(n, s)
	case actHeal:
		c.heal()
	}
}

func (n *node) doubt(suspect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspect = suspect
}

func (n *node) doom(p point) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crash = p
}

// current returns the node's life and whether it runs.
func (n *node) current() (l *life, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life, !n.dead
}

func (c *cluster) heal() {
	c.mu.Lock()
	c.service = serviceRuns
	c.mu.Unlock()
	for _, n := range c.nodes {
		n.set(modeUp)
		n.doubt(false)
		n.doom("")
		n.resume()
		if _, alive := n.current(); !alive {
			n.start()
		}
	}
}

// call is one caller's request. What a process that has died would have
// answered reaches nobody.
func (c *cluster) call(n *node, s step) error {
	l, alive := n.current()
	if !alive {
		return nil
	}
	body := []byte{byte(s.Body % 2)}
	r := record.Accept{
		Ref:      fleet.KeyRef{Account: "sellers", Key: fleet.Key(fmt.Sprintf("%s-%d", s.Act, s.Key))},
		Digest:   fleet.Digest{body[0]},
		Owner:    l.ref,
		Pool:     "cart-desk",
		Body:     body,
		Deadline: time.Now().Add(callTime),
		Window:   keyWindow,
	}
	run := l.desk.Run
	if s.Act != actRun {
		run = l.desk.Enqueue
		r.Deadline = time.Now().Add(asyncTime)
		r.Repeatable = s.Act == actRepeat
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTime)
	defer cancel()
	o, err := run(ctx, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !l.dead {
		c.calls = append(c.calls, call{ref: r.Ref, async: s.Act != actRun, order: o, err: err, body: body})
	}
	return nil
}

// lapse has a node append a snapshot and drops what it covers.
func (c *cluster) lapse(n *node) error {
	l, alive := n.current()
	if !alive {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTime)
	defer cancel()
	for _, s := range []interface {
		Snapshot(ctx context.Context) error
	}{l.part.Stream, l.keeper.Stream} {
		_ = s.Snapshot(ctx)
	}
	for _, name := range []platform.StreamName{platform.OrderStream(0), platform.StreamConfig} {
		if asOf := c.newestSnapshot(name); asOf > 0 {
			c.log.Lapse(name, asOf)
		}
	}
	return nil
}

func (c *cluster) newestSnapshot(name platform.StreamName) (asOf fleet.Offset) {
	c.each(name, func(_ record.Position, e record.Envelope) {
		if e.Kind != record.KindSnapshot {
			return
		}
		s, err := record.Decode[record.Snapshot](e)
		if err == nil && s.Parts == 1 {
			asOf = max(asOf, s.AsOf)
		}
	})
	return asOf
}

// each visits every record that was ever appended to a stream.
func (c *cluster) each(name platform.StreamName, visit func(pos record.Position, e record.Envelope)) {
	c.mu.Lock()
	entries := slices.Clone(c.copies[name])
	c.mu.Unlock()
	for _, entry := range entries {
		group, err := record.DecodeGroup(entry.Data)
		if err != nil {
			c.fault("entry %d of %s cannot be read: %v", entry.Offset, name, err)
		}
		for i, e := range group {
			visit(record.Position{Offset: entry.Offset, Index: i, Time: entry.Time.UTC().Truncate(time.Millisecond)}, e)
		}
	}
}

func (c *cluster) publish(n *node, s step) error {
	l, alive := n.current()
	if !alive {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	doc := fmt.Sprintf("defaults: {deadline: %ds}\npools: [{name: cart-desk, kind: service}]\n", 1+s.Body)
	id, ch, err := l.keeper.Publish(ctx, record.Publish{Base: l.keeper.Revision(), Document: []byte(doc), Author: "operator"})
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && !l.dead {
		c.published = append(c.published, published{id: id, revision: ch.Revision})
	}
	return nil
}

// charge queues charges: one of a request of this node alone, and one of a
// keyed request that other nodes may charge too.
func (c *cluster) charge(n *node, s step) {
	l, alive := n.current()
	if !alive {
		return
	}
	l.requests++
	own := fleet.RequestID(fmt.Sprintf("%s/%d/%d", l.ref.Name, l.ref.Incarnation, l.requests))
	shared := fleet.RequestID(fmt.Sprintf("keyed-%d", s.Key))
	for _, ch := range []record.Charge{
		{Request: own, Account: "sellers", Pool: "loom-servers", Generated: 1},
		{Request: shared, Account: "sellers", Pool: "loom-servers", Generated: 1, Keyed: true},
	} {
		if l.writer.Charge(ch) {
			c.told[ch.Request]++
		}
	}
}

// states names the final states of orders.
func states(o order.Order) string {
	if o.Status == order.StatusSettled {
		return string(o.Outcome)
	}
	return string(o.Status)
}
