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

// action is a kind of step.
type action string

const (
	actRun          action = "run"
	actEnqueue      action = "enqueue"
	actRepeat       action = "enqueue repeatable"
	actMode         action = "mode"
	actAllModes     action = "log mode"
	actEndpointMode action = "service"
	actPause        action = "pause"
	actResume       action = "resume"
	actKill         action = "kill"
	actRestart      action = "restart"
	actSuspect      action = "suspect"
	actUnsuspect    action = "trust"
	actExpire       action = "lapse"
	actPublish      action = "publish"
	actCharge       action = "charge"
	actHeal         action = "heal"
	actCrash        action = "crash"

	// The actions below expand to several steps, so that cases reach states that
	// single random steps seldom reach.
	actPausedSend        action = "pause past a takeover"
	actLateAppend        action = "accept that is appended late"
	actOwnerCrash        action = "owner crashes with an order in flight"
	actConcurrentPublish action = "concurrent publishes"
	actNoResponse        action = "accept without response"
	actFailPastDeadline  action = "endpoint fails past a deadline"
	actOutage            action = "owner crashes before a long outage"
)

// step is one step of a case. The meaning of a field depends on the action.
type step struct {
	Act  action
	Node int
	Key  int
	Body int
	Wait time.Duration
}

var (
	actions = []action{
		actRun, actRun, actRun, actRun, actRun, actEnqueue, actEnqueue, actRepeat, actRepeat, actMode, actMode, actAllModes, actEndpointMode,
		actCrash, actCrash, actPausedSend, actPausedSend, actLateAppend, actOwnerCrash, actOwnerCrash, actConcurrentPublish, actNoResponse, actFailPastDeadline, actOutage,
		actPause, actResume, actKill, actRestart, actSuspect, actSuspect, actUnsuspect, actExpire, actPublish, actPublish, actCharge, actHeal,
	}
	modes          = []mode{modeUp, modeDown, modeLost, modeDelayed, modeSlow, modePartitioned}
	crashPoints    = []crashPoint{crashBeforeAppend, crashAfterAppend, crashBeforeSend, crashAfterSend}
	requestActions = []action{actRun, actEnqueue, actRepeat}
	endpointModes  = []endpointMode{endpointRuns, endpointRuns, endpointRefuses, endpointResponseLost, endpointSilent, endpointSlow}
	waits          = []time.Duration{0, 0, time.Millisecond, 100 * time.Millisecond, 350 * time.Millisecond, time.Second, 4 * time.Second, 9 * time.Second}
)

// Sizes and durations of a case.
const (
	nodeCount       = 3
	keyCount        = 3
	maxSteps        = 40
	callTimeout     = 5 * time.Second
	asyncTimeout    = 20 * time.Second
	recoveryTime    = 45 * time.Second
	keyWindow       = 24 * time.Hour
	snapshotTimeout = 5 * time.Second
)

var scripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Act:  rapid.SampledFrom(actions).Draw(t, "act"),
		Node: rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
		Key:  rapid.IntRange(0, keyCount-1).Draw(t, "key"),
		Body: rapid.IntRange(0, 5).Draw(t, "body"),
		Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
	}
}), 10, maxSteps)

// requiredStates lists the states and faults that the fuzz must reach.
var requiredStates = []string{
	"accepted", "accept lost to an earlier one", "accept after its cancel", "duplicate record", "conflict reported",
	"done", "not-run", "unknown", "failed",
	"takeover before dispatch", "takeover after dispatch", "repeatable work reassigned", "dispatch after takeover", "settle after takeover",
	"cancel in time", "cancel before accept", "cancel too late",
	"reported done", "reported not run", "reported unknown", "reported accepted",
	"append down", "append lost", "append delayed", "append slow", "append partitioned",
	"endpoint refuses", "endpoint answer-lost", "endpoint silent", "endpoint slow",
	"crash before an append", "crash after an append", "crash before the send", "crash after the send", "pause", "suspect", "recovered from a snapshot",
	"publish in force", "publish conflict", "duplicate charge batch", "duplicate keyed charge",
}

var _ = Describe("Orders, configuration and charges under faults", func() {
	It("keep every rule in every case", func() {
		total := make(tally)
		cases := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			script := scripts.Draw(t, "steps")
			c := runCase(script)
			cases++
			for what, n := range c.coverage {
				total[what] += n
			}
			if len(c.violations) > 0 {
				t.Fatalf("broken: %s", strings.Join(c.violations, "; "))
			}
		})
		AddReportEntry("coverage", coverageReport(cases, total))
		GinkgoWriter.Println(coverageReport(cases, total))
		for _, what := range requiredStates {
			Expect(total[what]).To(BeNumerically(">", 0), "the fuzz never reached %q", what)
		}
	})
})

func coverageReport(cases int, total tally) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d cases\n", cases)
	for _, what := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(&b, "%8d  %s\n", total[what], what)
	}
	return b.String()
}

// runCase runs one case in virtual time and returns the cluster with the coverage and
// the violations.
func runCase(script []step) (c *cluster) {
	synctest.Test(suiteT, func(*testing.T) {
		c = newCluster(nodeCount)
		time.Sleep(time.Second)
		for _, s := range script {
			for _, single := range expand(s) {
				c.apply(single)
				time.Sleep(single.Wait)
			}
		}
		c.heal()
		time.Sleep(recoveryTime)
		c.checkRules()
		c.stop()
	})
	return c
}

// expand returns the single steps of a step.
func expand(s step) []step {
	newStep := func(act action, body int, wait time.Duration) step {
		return step{Act: act, Node: s.Node, Key: s.Key, Body: body, Wait: wait}
	}
	request := requestActions[s.Body%len(requestActions)]
	switch s.Act {
	case actPausedSend:
		return []step{newStep(request, s.Body, 200*time.Millisecond), newStep(actPause, 0, 0), newStep(actSuspect, 0, s.Wait), newStep(actResume, 0, 0), newStep(actUnsuspect, 0, 0)}
	case actLateAppend:
		return []step{newStep(actMode, 3, 0), newStep(request, s.Body, callTimeout+50*time.Millisecond), newStep(actMode, 0, s.Wait)}
	case actOwnerCrash:
		return []step{newStep(actCrash, s.Body, 0), newStep(request, s.Body, s.Wait), newStep(actRestart, 0, 0)}
	case actConcurrentPublish:
		secondPublish := step{Act: actPublish, Node: (s.Node + 1) % nodeCount, Key: s.Key, Body: s.Body + 1}
		charge := secondPublish
		charge.Act, charge.Wait = actCharge, s.Wait
		return []step{newStep(actPublish, s.Body, 0), secondPublish, newStep(actCharge, 0, 0), charge}
	case actFailPastDeadline:
		return []step{newStep(actEndpointMode, 4, 0), newStep(actRepeat, s.Body, asyncTimeout+s.Wait), newStep(actEndpointMode, 0, 0)}
	case actOutage:
		return []step{newStep(actEnqueue, s.Body, 0), newStep(actCrash, 0, s.Wait), newStep(actAllModes, 1, asyncTimeout), newStep(actHeal, 0, 0)}
	case actNoResponse:
		return []step{newStep(actEnqueue, s.Body, 0), newStep(actPause, 0, 0), newStep(actSuspect, 0, callTimeout+s.Wait), newStep(actResume, 0, 0)}
	default:
		return []step{s}
	}
}

func (c *cluster) apply(s step) {
	n := c.nodes[s.Node]
	switch s.Act {
	case actRun, actEnqueue, actRepeat:
		c.group.Go(func() error { return c.issue(n, s) })
	case actMode:
		n.setMode(modes[s.Body])
	case actAllModes:
		for _, n := range c.nodes {
			n.setMode(modes[s.Body])
		}
	case actEndpointMode:
		c.mu.Lock()
		c.endpoint = endpointModes[s.Body]
		c.mu.Unlock()
	case actPause:
		c.count("pause")
		n.pause()
	case actResume:
		n.resume()
	case actKill:
		n.kill()
	case actCrash:
		n.setCrashPoint(crashPoints[s.Body%len(crashPoints)])
	case actRestart:
		n.kill()
		n.start()
	case actSuspect:
		c.count("suspect")
		n.setSuspected(true)
	case actUnsuspect:
		n.setSuspected(false)
	case actExpire:
		c.group.Go(func() error { return c.snapshotAndExpire(n) })
	case actPublish:
		c.group.Go(func() error { return c.publish(n, s) })
	case actCharge:
		c.charge(n, s)
	case actHeal:
		c.heal()
	}
}

func (n *node) setSuspected(suspect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspected = suspect
}

func (n *node) setCrashPoint(p crashPoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashAt = p
}

// currentProcess returns the node's process and whether it is alive.
func (n *node) currentProcess() (proc *process, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process, !n.dead
}

func (c *cluster) heal() {
	c.mu.Lock()
	c.endpoint = endpointRuns
	c.mu.Unlock()
	for _, n := range c.nodes {
		n.setMode(modeUp)
		n.setSuspected(false)
		n.setCrashPoint("")
		n.resume()
		if _, alive := n.currentProcess(); !alive {
			n.start()
		}
	}
}

// issue sends one caller's request. A result from a dead process does not reach the
// caller.
func (c *cluster) issue(n *node, s step) error {
	proc, alive := n.currentProcess()
	if !alive {
		return nil
	}
	body := []byte{byte(s.Body % 2)}
	r := record.Accept{
		Ref:      fleet.KeyRef{Account: "sellers", Key: fleet.Key(fmt.Sprintf("%s-%d", s.Act, s.Key))},
		Digest:   fleet.Digest{body[0]},
		Owner:    proc.ref,
		Pool:     "cart-desk",
		Body:     body,
		Deadline: time.Now().Add(callTimeout),
		Window:   keyWindow,
	}
	run := proc.executor.Run
	if s.Act != actRun {
		run = proc.executor.Enqueue
		r.Deadline = time.Now().Add(asyncTimeout)
		r.Repeatable = s.Act == actRepeat
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	o, err := run(ctx, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !proc.dead {
		c.calls = append(c.calls, call{ref: r.Ref, async: s.Act != actRun, order: o, err: err, body: body})
	}
	return nil
}

// snapshotAndExpire lets a node append snapshots and drops the entries that they
// cover.
func (c *cluster) snapshotAndExpire(n *node) error {
	proc, alive := n.currentProcess()
	if !alive {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	for _, s := range []interface {
		Snapshot(ctx context.Context) error
	}{proc.partition.Stream, proc.configStore.Stream} {
		_ = s.Snapshot(ctx)
	}
	for _, name := range []platform.StreamName{platform.OrderStream(0), platform.StreamConfig} {
		if nextOffset := c.newestSnapshot(name); nextOffset > 0 {
			c.log.DropBefore(name, nextOffset)
		}
	}
	return nil
}

func (c *cluster) newestSnapshot(name platform.StreamName) (nextOffset fleet.Offset) {
	c.eachRecord(name, func(_ record.Position, e record.Envelope) {
		if e.Kind != record.KindSnapshot {
			return
		}
		s, err := record.Decode[record.SnapshotChunk](e)
		if err == nil && s.Chunks == 1 {
			nextOffset = max(nextOffset, s.NextOffset)
		}
	})
	return nextOffset
}

// eachRecord visits all records ever appended to a stream.
func (c *cluster) eachRecord(name platform.StreamName, visit func(pos record.Position, e record.Envelope)) {
	c.mu.Lock()
	entries := slices.Clone(c.fullLog[name])
	c.mu.Unlock()
	for _, entry := range entries {
		group, err := record.DecodeGroup(entry.Data)
		if err != nil {
			c.violation("entry %d of %s cannot be decoded: %v", entry.Offset, name, err)
		}
		for i, e := range group {
			visit(record.Position{Offset: entry.Offset, Index: i, Time: entry.Time.UTC().Truncate(time.Millisecond)}, e)
		}
	}
}

func (c *cluster) publish(n *node, s step) error {
	proc, alive := n.currentProcess()
	if !alive {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	doc := fmt.Sprintf("defaults: {deadline: %ds}\npools: [{name: cart-desk, kind: service}]\n", 1+s.Body)
	id, ch, err := proc.configStore.Publish(ctx, record.Publish{Base: proc.configStore.Revision(), Document: []byte(doc), Author: "operator"})
	c.mu.Lock()
	defer c.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && !proc.dead {
		c.published = append(c.published, published{id: id, revision: ch.Revision})
	}
	return nil
}

// charge queues two charges: one for a request of this node only, and one for a
// keyed request that other nodes may charge too.
func (c *cluster) charge(n *node, s step) {
	proc, alive := n.currentProcess()
	if !alive {
		return
	}
	proc.requests++
	ownRequest := fleet.RequestID(fmt.Sprintf("%s/%d/%d", proc.ref.Name, proc.ref.Incarnation, proc.requests))
	sharedRequest := fleet.RequestID(fmt.Sprintf("keyed-%d", s.Key))
	for _, ch := range []record.Charge{
		{Request: ownRequest, Account: "sellers", Pool: "loom-servers", Generated: 1},
		{Request: sharedRequest, Account: "sellers", Pool: "loom-servers", Generated: 1, Keyed: true},
	} {
		if proc.writer.Charge(ch) {
			c.chargedRequests[ch.Request]++
		}
	}
}

// finalState returns the final state of an order.
func finalState(o order.Order) string {
	if o.Status == order.StatusSettled {
		return string(o.Outcome)
	}
	return string(o.Status)
}
