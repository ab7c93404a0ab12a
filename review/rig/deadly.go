package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// The cases "deadly" and "outlived": a request that crashes the workers that run it, and that
// comes again, must not reach workers for long. In the first, its crashes lie close together.
// In the second, a worker has sent a part of the stream for more than a second by then.
const (
	// deadlyWorkers is how many workers the service has, as on the site.
	deadlyWorkers = 18
	// promptTime is how long a worker reads the prompt of the deadly request. It crashes then,
	// or streamedTime after it began to answer, and is gone for downFor.
	promptTime   = 20 * time.Millisecond
	streamedTime = 1200 * time.Millisecond
	downFor      = 2500 * time.Millisecond
	// silenceLimit is three heartbeat intervals, after which the entry of a worker that
	// crashed is removed.
	silenceLimit = 3 * 1200 * time.Millisecond
	// The deadly request comes again every returnPause, or once the caller has given up if
	// that is later. The caller retries it once each time, at another node.
	returnPause = 3700 * time.Millisecond
	// deadlyReturns and outlivedReturns are how often it comes in the two cases.
	deadlyReturns, outlivedReturns = 3, 5
	// deadlyCopies and outlivedCopies are how often its caller sends it each time, one after
	// the other.
	deadlyCopies, outlivedCopies = 2, 1
	// deadlyEvents is the number of events in its stream, the mean of chat-reply.
	deadlyEvents = 78
	// judgedAfter is contactMs, judgedCrash the crash after which it begins, and maxRetries
	// how many retries may reach workers later.
	judgedAfter = 3 * time.Second
	judgedCrash = 3
	maxRetries  = 3
	// Other callers send a short request every otherPause, whose streams have otherEvents.
	otherPause  = 30 * time.Millisecond
	otherEvents = 8
	otherBody   = 4700
	// afterwards is how long they go on.
	afterwards = 3 * time.Second
	deadlyText = "a prompt that crashes the engine"
)

// mortalEngine is a model worker that the deadly request crashes. It is back after downFor,
// at the same address, as a new incarnation.
type mortalEngine struct {
	rig          *rig
	number, zone string
	address      string
	deadly       deadlyRequest
	record       *crashRecord

	mu          sync.Mutex
	incarnation int
	current     *engine
	listener    net.Listener
	conns       map[net.Conn]bool
	// ended reports whether the run has ended.
	ended bool
}

// deadlyRequest says what the deadly request does to a worker.
type deadlyRequest struct {
	crashes bool
	// streamed is how long the worker sends events first.
	streamed        time.Duration
	returns, copies int
}

// crashRecord holds the runs of the deadly request at all workers.
type crashRecord struct {
	mu   sync.Mutex
	runs []deadlyRun
}

// deadlyRun is a run of the deadly request.
type deadlyRun struct {
	begunAt, crashedAt time.Time
	worker, request    string
}

// start starts the next incarnation and registers it.
func (m *mortalEngine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address) //nolint:noctx // Listen does not wait.
	if err != nil {
		return err
	}
	m.listener, m.address, m.conns = listener, listener.Addr().String(), make(map[net.Conn]bool)
	m.incarnation++
	current := &engine{rig: m.rig, id: fmt.Sprintf("i-engine-%s-%d", m.number, m.incarnation), slots: workerSlots, events: otherEvents, interval: eventInterval}
	m.current = current
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(current, w, r) }),
		ConnState:         m.track,
		ReadHeaderTimeout: readyWait,
	}
	m.rig.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	return m.rig.register(current.id, m.address, m.zone, workerSlots)
}

// track keeps the open connections.
func (m *mortalEngine) track(conn net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(m.conns, conn)
	default:
	}
}

// serve runs a request, or crashes because of it.
func (m *mortalEngine) serve(current *engine, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if string(body) != deadlyText || r.Header.Get("Skylarkloom-Expect-Instance") != current.id {
		current.ServeHTTP(w, r)
		return
	}
	time.Sleep(promptTime)
	run := deadlyRun{begunAt: time.Now(), worker: current.id, request: r.Header.Get("Skylarkloom-Attempt-Id")}
	if m.deadly.crashes && m.deadly.streamed == 0 {
		m.crash(current, run)
		panic(http.ErrAbortHandler)
	}
	long := &engine{rig: m.rig, id: current.id, slots: workerSlots, events: deadlyEvents, interval: eventInterval}
	if m.deadly.crashes {
		defer time.AfterFunc(m.deadly.streamed, func() {
			long.gone.Store(true)
			m.crash(current, run)
		}).Stop()
	}
	long.ServeHTTP(w, r)
}

func (c *crashRecord) add(run deadlyRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, run)
}

// crash resets all connections and refuses new ones until the next incarnation starts,
// unless the incarnation has crashed already.
func (m *mortalEngine) crash(current *engine, run deadlyRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != current {
		return
	}
	m.current = nil
	current.gone.Store(true)
	run.crashedAt = time.Now()
	m.record.add(run)
	m.rig.note("%s crashes, %s after it began to run %s", current.id, run.crashedAt.Sub(run.begunAt).Round(time.Millisecond), run.request)
	m.stop()
	m.rig.group.Go(func() error {
		time.Sleep(downFor)
		if err := m.start(); err != nil {
			return err
		}
		time.Sleep(silenceLimit - downFor)
		m.rig.store.Put("keyed.servers", current.id, nil)
		return nil
	})
}

// stop closes the listener and resets all connections. The caller holds the lock.
func (m *mortalEngine) stop() {
	// An error means that the listener is closed already.
	_ = m.listener.Close()
	for conn := range m.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without it the connection is closed instead of reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// end stops the worker at the end of the run.
func (m *mortalEngine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.stop()
}

// sendDeadly sends the deadly request to a node, and retries it once at the next one.
func (r *rig) sendDeadly(nodes []*node, turn, number int) {
	const tries = 2
	for try := range tries {
		c := &streamCall{id: fmt.Sprintf("deadly-%d-%d-%d", turn, number, try), path: "/chat/x", text: deadlyText, block: "deadly", want: deadlyEvents, deadline: chatTimeout}
		c.run(context.Background(), r, nodes[(turn+2*number+try)%len(nodes)].callAddress(), nil)
		r.note("caller of %s: status %d, error: %v", c.id, c.status, c.err)
		if c.complete || c.status == http.StatusServiceUnavailable {
			return
		}
	}
}

// others sends the requests of other callers until done is closed, and returns them.
func (r *rig) others(nodes []*node, done <-chan struct{}) (calls []*streamCall, err error) {
	var callers errgroup.Group
	for i := 0; ; i++ {
		select {
		case <-done:
			return calls, callers.Wait()
		case <-time.After(otherPause):
		}
		c := &streamCall{id: fmt.Sprintf("%016x", i+1), path: "/note/x", body: otherBody, want: otherEvents, deadline: noteTimeout}
		calls = append(calls, c)
		callers.Go(func() error {
			c.run(context.Background(), r, nodes[i%len(nodes)].callAddress(), nil)
			return nil
		})
	}
}

func playDeadly(r *rig, trouble bool) (broken []string, err error) {
	return r.playCrashes(deadlyRequest{crashes: trouble, returns: deadlyReturns, copies: deadlyCopies})
}

func playOutlived(r *rig, trouble bool) (broken []string, err error) {
	return r.playCrashes(deadlyRequest{crashes: trouble, streamed: streamedTime, returns: outlivedReturns, copies: outlivedCopies})
}

// playCrashes plays a case with the deadly request.
func (r *rig) playCrashes(deadly deadlyRequest) (broken []string, err error) {
	if err = firstError(r.addressesFree(), r.publishStreams(workerSlots, chatRoute, noteRoute)); err != nil {
		return nil, err
	}
	runs := &crashRecord{}
	for i := range deadlyWorkers {
		m := &mortalEngine{rig: r, number: fmt.Sprint(i + 1), zone: fleetZones[i%len(fleetZones)], deadly: deadly, record: runs}
		if err = m.start(); err != nil {
			return nil, err
		}
		defer m.end()
	}
	nodes, err := r.startFleet()
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	var calls []*streamCall
	done := make(chan struct{})
	group.Go(func() (err error) {
		calls, err = r.others(nodes, done)
		return err
	})
	time.Sleep(settleTime)
	for turn := range deadly.returns {
		begunAt := time.Now()
		for number := range deadly.copies {
			r.sendDeadly(nodes, turn, number)
		}
		time.Sleep(time.Until(begunAt.Add(returnPause)))
	}
	time.Sleep(afterwards)
	close(done)
	if err = group.Wait(); err != nil {
		return nil, err
	}
	return judgeDeadly(r, runs.runs, calls), nil
}

// judgeDeadly applies BUDGET: later than contactMs after the third crash, the deadly request
// may reach workers in three retries. A caller's request that is sent to two workers counts
// as one retry.
func judgeDeadly(r *rig, runs []deadlyRun, calls []*streamCall) (broken []string) {
	var late []string
	lateRuns := 0
	// excessRuns are the runs of the retries beyond those that are allowed.
	var excessRuns []deadlyRun
	seen := make(map[string]bool)
	for i, run := range runs {
		if i < judgedCrash || run.begunAt.Sub(runs[judgedCrash-1].crashedAt) <= judgedAfter {
			continue
		}
		lateRuns++
		if !seen[run.request] {
			seen[run.request] = true
			late = append(late, run.request)
		}
		if len(late) > maxRetries {
			excessRuns = append(excessRuns, run)
		}
	}
	lost := 0
	for _, c := range calls {
		if c.complete || c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests {
			continue
		}
		for _, run := range excessRuns {
			if c.sentAt.Before(run.crashedAt) && !c.endsAt.Before(run.crashedAt) {
				lost++
				break
			}
		}
	}
	r.note("the deadly request ran %d times; later than %s after the third crash %d times, in %d retries; the %d crashes of those beyond the first %d broke off %d of %d requests of other callers",
		len(runs), judgedAfter, lateRuns, len(late), len(excessRuns), maxRetries, lost, len(calls))
	if len(late) > maxRetries {
		broken = append(broken, fmt.Sprintf("BUDGET: later than %s after its third crash the deadly request reached workers in %d retries: %s", judgedAfter, len(late), strings.Join(late, ", ")))
	}
	return broken
}
