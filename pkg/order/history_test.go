package order_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/order"
)

// result is how an operation of a history ended.
type result string

const (
	resultDone     result = "done"
	resultConflict result = "conflict"
	resultUnknown  result = "unknown"
	// A request that was not run may have held its key for a while. It is modelled
	// as one operation that may take the key and one that may free it later, when
	// the log shows it.
	resultHeldNotRun result = "held the key and not run"
	resultFreed      result = "freed"
)

// request is the input of a keyed request, and response its output. The endpoint
// responds with the number of the run.
type request struct {
	key  fleet.Key
	body byte
}

type response struct {
	result result
	run    int
}

// keyState is the body of the request that holds a key, and the number of its run.
type keyState struct {
	body byte
	run  int
}

// The values of run that are not the number of a run.
const (
	runFree    = 0
	runUnknown = -1
	runNever   = -2
)

// keyedModel models a key. The first request takes it with its body; later requests
// with the same body get the response of the same run, and those with another body
// conflict. A request with an unknown outcome may or may not have taken the key.
var keyedModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[fleet.Key][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(request).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(request), output.(response)
		free, same := s.run == runFree, s.run != runFree && s.body == in.body
		switch out.result {
		case resultUnknown:
			if free {
				return []any{s, keyState{in.body, runUnknown}}
			}
			return []any{s}
		case resultHeldNotRun:
			if free {
				return []any{s, keyState{in.body, runNever}}
			}
			return []any{s}
		case resultFreed:
			if s == (keyState{in.body, runNever}) {
				return []any{s, keyState{}}
			}
			return []any{s}
		case resultConflict:
			return nextIf(!free && !same, s)
		default:
			return nextIf(free || same && (s.run == runUnknown || s.run == out.run), keyState{in.body, out.run})
		}
	},
}

func nextIf(legal bool, next any) []any {
	if legal {
		return []any{next}
	}
	return nil
}

// publishRequest is the input of a publish, and publishResponse its output.
type publishRequest struct{ base fleet.Revision }

type publishResponse struct {
	result   result
	revision fleet.Revision
}

// publishModel models a revision that a publish based on it increments by one.
var publishModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{fleet.Revision(0)} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(fleet.Revision), input.(publishRequest), output.(publishResponse)
		switch out.result {
		case resultUnknown:
			if s == in.base {
				return []any{s, s + 1}
			}
			return []any{s}
		case resultConflict:
			return nextIf(s != in.base, s)
		default:
			return nextIf(s == in.base && out.revision == s+1, out.revision)
		}
	},
}

// history records operations with logical times.
type history struct {
	c     *cluster
	clock int64
	ops   []porcupine.Operation
}

// nextTime advances the logical clock and returns its new time.
func (h *history) nextTime() int64 {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) end(client int, began int64, input, output any, unknown bool) {
	ended := h.nextTime()
	if unknown {
		ended = math.MaxInt64
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: began, Output: output, Return: ended})
}

// Sizes of a history.
const (
	clientCount         = 6
	operationsPerClient = 6
	historyKeyCount     = 3
)

// injectFaults injects slow appends, lost responses and false suspicions.
func (h *history) injectFaults(t []step) error {
	for _, s := range t {
		n := h.c.nodes[s.Node]
		n.setMode([]mode{modeUp, modeLost, modeSlow}[s.Body%3])
		n.setSuspected(s.Key == 0)
		time.Sleep(200 * time.Millisecond)
		n.setMode(modeUp)
		n.setSuspected(false)
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (h *history) request(client int, s step) {
	n := h.c.nodes[s.Node]
	in := request{key: fleet.Key(fmt.Sprintf("k%d", s.Key%historyKeyCount)), body: byte(s.Body % 2)}
	began := h.nextTime()
	o, err := n.executor.Run(context.Background(), record.Accept{
		Ref:      fleet.KeyRef{Account: "sellers", Key: in.key},
		Digest:   fleet.Digest{in.body},
		Owner:    n.ref,
		Pool:     "cart-desk",
		Deadline: time.Now().Add(asyncTimeout),
		Window:   keyWindow,
	})
	var conflict *order.ConflictError
	var unknown *order.UnknownError
	var notRun *order.NotRunError
	out := response{result: resultDone, run: o.Result.Status}
	switch {
	case errors.As(err, &conflict):
		out = response{result: resultConflict}
	case errors.As(err, &unknown):
		out = response{result: resultUnknown}
	case errors.As(err, &notRun):
		out = response{result: resultHeldNotRun}
		h.end(client, began, in, response{result: resultFreed}, true)
	}
	h.end(client, began, in, out, out.result == resultUnknown)
}

func (h *history) publish(client int, s step) {
	n := h.c.nodes[s.Node]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Body)*200*time.Millisecond+time.Millisecond)
	defer cancel()
	in := publishRequest{base: n.configStore.Revision()}
	doc := []byte("pools: [{name: cart-desk, kind: service}]\n")
	began := h.nextTime()
	_, ch, err := n.configStore.Publish(ctx, record.Publish{Base: in.base, Document: doc})
	var conflict *config.ConflictError
	out := publishResponse{result: resultDone, revision: ch.Revision}
	switch {
	case errors.As(err, &conflict):
		out = publishResponse{result: resultConflict}
	case err != nil:
		out = publishResponse{result: resultUnknown}
	}
	h.end(client, began, in, out, out.result == resultUnknown)
}

// runClients runs the clients concurrently, each with its steps in sequence, and
// returns the history.
func runClients(scripts [][]step, faults []step, perform func(h *history, client int, s step)) (h *history) {
	synctest.Test(suiteT, func(*testing.T) {
		c := newCluster(nodeCount)
		for _, n := range c.nodes {
			number := 0
			n.executor.Send = func(ctx context.Context, o order.Order) (order.Response, error) {
				time.Sleep(sendDelay)
				c.mu.Lock()
				defer c.mu.Unlock()
				number = len(c.runs) + 1
				c.runs[o.Accept]++
				return order.Response{Status: number}, ctx.Err()
			}
		}
		h = &history{c: c}
		time.Sleep(time.Second)
		c.group.Go(func() error { return h.injectFaults(faults) })
		for client, script := range scripts {
			c.group.Go(func() error {
				for _, s := range script {
					perform(h, client, s)
					time.Sleep(s.Wait / 10)
				}
				return nil
			})
		}
		time.Sleep(asyncTimeout + callTimeout)
		c.stop()
	})
	return h
}

func checkHistories(model porcupine.NondeterministicModel, perform func(h *history, client int, s step), want ...result) {
	seen := make(map[result]int)
	scripts := rapid.SliceOfN(rapid.SliceOfN(operations, operationsPerClient, operationsPerClient), clientCount, clientCount)
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		h := runClients(scripts.Draw(t, "scripts"), rapid.SliceOfN(operations, 10, 10).Draw(t, "faults"), perform)
		for _, o := range h.ops {
			switch out := o.Output.(type) {
			case response:
				seen[out.result]++
			case publishResponse:
				seen[out.result]++
			}
		}
		if len(h.c.violations) > 0 {
			t.Fatalf("broken: %v", h.c.violations)
		}
		if !porcupine.CheckOperations(model.ToModel(), h.ops) {
			t.Fatalf("broken: the history is not linearizable: %+v", h.ops)
		}
	})
	AddReportEntry("history", fmt.Sprint(seen))
	for _, v := range want {
		Expect(seen[v]).To(BeNumerically(">", 0), "no operation ended as %s", v)
	}
}

var operations = rapid.Custom(func(t *rapid.T) step {
	return step{
		Node: rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
		Key:  rapid.IntRange(0, historyKeyCount-1).Draw(t, "key"),
		Body: rapid.IntRange(0, 5).Draw(t, "body"),
		Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
	}
})

var _ = Describe("Histories of concurrent operations", func() {
	It("of keyed requests are linearizable, with one run for each key", func() {
		checkHistories(keyedModel, (*history).request, resultDone, resultConflict, resultUnknown)
	})

	It("of publishes are linearizable, with a revision that grows by one", func() {
		checkHistories(publishModel, (*history).publish, resultDone, resultConflict, resultUnknown)
	})
})
