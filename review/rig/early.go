package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// The case "early": a worker that answers before it has read a long body, and whose answer
// ends with its connection, must not be cut and then passed off as complete.
const (
	// longBody is the length of one request body in longEvery, the largest on the site's
	// sheet; the others have usualBody, its mean.
	longBody, usualBody, longEvery = 110_000, 18_000, 4
	// planEvents at planInterval last longer than the node lets sent bytes wait.
	planEvents   = 32
	planInterval = 75 * time.Millisecond
	// While the worker is faulty, for earlyTime, one answer in earlyEvery comes early. These
	// are the duration and the share of the site's disruption.
	earlyEvery = 20
	earlyTime  = 5 * time.Second
	// workerWindow is the receive buffer of the workers' connections: links have small
	// windows. ethernetSegment is the segment size on Ethernet; that of the loopback device
	// is 45 times as large, and the kernel's send buffer grows with it.
	workerWindow    = 4 << 10
	ethernetSegment = 1460
	workerSlots     = 96
	planCalls       = 360
	planPause       = 14 * time.Millisecond
	// planTimeout is the timeout of the route and the callers' deadline.
	planTimeout = 8 * time.Second
)

// planRoute is the route of season-plan on the site.
var planRoute = map[string]any{
	"name": "plan", "host": "h", "pathPrefix": "/plan/", "kind": "streaming", "resumable": true, "sticky": true, "service": "engines",
	"attempts": 2, "timeoutMs": planTimeout.Milliseconds(), "targetLatencyMs": 1000, "gapAimMs": 400, "priority": 0,
}

// planWorker is a stand-in for a sound model worker. Some answers of a faulty one come before
// it has read a long body, which it does once it has sent them, and have no length.
type planWorker struct {
	rig     *rig
	id      string
	faulty  bool
	address string

	listener net.Listener
	mu       sync.Mutex
	served   int
	// faultyUntil is when the worker stops to be faulty, and owed how many of its answers are
	// still to come early.
	faultyUntil time.Time
	owed        int
	// early holds the requests that were answered early, with the number of events sent.
	early map[string]int
}

func (p *planWorker) listen() (err error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = firstError(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, workerWindow),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
			)
		})
		return firstError(controlErr, err)
	}}
	if p.listener, err = config.Listen(context.Background(), "tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	p.address = p.listener.Addr().String()
	p.rig.group.Go(func() error {
		for {
			conn, err := p.listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				// The run has ended.
				return nil
			}
			if err != nil {
				return err
			}
			p.rig.group.Go(func() error {
				p.serve(conn)
				return nil
			})
		}
	})
	return nil
}

// next counts a request and reports whether its answer comes early: that to the next long
// body after each earlyEvery requests.
func (p *planWorker) next(id string, long bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faulty {
		return false
	}
	if p.faultyUntil.IsZero() {
		p.faultyUntil = time.Now().Add(earlyTime)
	}
	if p.served++; p.served%earlyEvery == 0 {
		p.owed++
	}
	if p.owed == 0 || !long || time.Now().After(p.faultyUntil) {
		return false
	}
	p.owed--
	p.early[id] = 0
	return true
}

// serve handles the requests of a connection.
func (p *planWorker) serve(conn net.Conn) {
	// An error on close has no consequence for the run.
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			// The node closed the connection.
			return
		}
		if err = p.handle(conn, req); err != nil {
			if !errors.Is(err, errAnswerEnds) {
				p.rig.note("%s: %s: %v", p.id, req.Header.Get("Skylarkloom-Attempt-Id"), err)
			}
			return
		}
	}
}

// errAnswerEnds ends a connection behind an answer that has no length.
var errAnswerEnds = errors.New("the answer ends with the connection")

func (p *planWorker) handle(conn net.Conn, req *http.Request) error {
	id := req.Header.Get("Skylarkloom-Attempt-Id")
	if req.Header.Get("Skylarkloom-Expect-Instance") != p.id {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return err
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nSkylarkloom-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", p.id)
		return err
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nSkylarkloom-Attempt-Id: %s\r\nSkylarkloom-Response-Seal: seal-%s-%s\r\nSkylarkloom-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", id, p.id, id)
	if p.next(id, req.ContentLength >= longBody) {
		p.rig.note("%s answers %s before it has read the body", p.id, id)
		sent, err := p.answer(conn, head+"Connection: close\r\n\r\n", false)
		read, readErr := io.Copy(io.Discard, req.Body)
		p.rig.note("%s sent %d of %d events to %s and then read %d bytes of the body; errors: %v, %v", p.id, sent, planEvents, id, read, err, readErr)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.early[id] = sent
		return errAnswerEnds
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	if _, err := p.answer(conn, head+"Transfer-Encoding: chunked\r\n\r\n", true); err != nil {
		return err
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// answer sends the events. It returns how many were sent.
func (p *planWorker) answer(conn net.Conn, head string, chunked bool) (sent int, err error) {
	if _, err = io.WriteString(conn, head); err != nil {
		return 0, err
	}
	for sent < planEvents {
		text := fmt.Sprintf("id: %d\ndata: part %d\n\n", sent+1, sent+1)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err = io.WriteString(conn, text); err != nil {
			return sent, err
		}
		sent++
		time.Sleep(planInterval)
	}
	return sent, nil
}

// playEarly sends long prompts to two workers. With trouble, some answers of one of them
// come early.
func playEarly(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addressesFree(); err != nil {
		return nil, err
	}
	if err = r.publishStreams(workerSlots, planRoute); err != nil {
		return nil, err
	}
	workers := []*planWorker{{rig: r, id: "i-plan-1", faulty: trouble, early: make(map[string]int)}, {rig: r, id: "i-plan-2"}}
	for _, p := range workers {
		if err = p.listen(); err != nil {
			return nil, err
		}
		defer func() { err = firstError(err, p.listener.Close()) }()
		if err = r.register(p.id, p.address, "zone-a", workerSlots); err != nil {
			return nil, err
		}
	}
	nodes, err := r.startFleet()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	calls := make([]*streamCall, planCalls)
	var callers errgroup.Group
	for i := range calls {
		calls[i] = &streamCall{id: fmt.Sprintf("%016x", i+1), path: "/plan/x", body: usualBody, want: planEvents, deadline: planTimeout}
		if i%longEvery == 0 {
			calls[i].body = longBody
		}
		callers.Go(func() error {
			calls[i].run(context.Background(), r, nodes[i%len(nodes)].callAddress(), nil)
			return nil
		})
		time.Sleep(planPause)
	}
	if err = callers.Wait(); err != nil {
		return nil, err
	}
	whole := 0
	for _, c := range calls {
		_, early := workers[0].early[c.id]
		switch {
		case c.complete:
			whole++
		case c.err == nil && c.status == http.StatusOK:
			broken = append(broken, fmt.Sprintf("ORDER: %s got status 200 and a complete end after %d of %d events (answered early: %t)", c.id, c.events, c.want, early))
		default:
			r.note("%s was not served: status %d, %d events, error: %v (answered early: %t)", c.id, c.status, c.events, c.err, early)
		}
	}
	r.note("%d of %d streams were whole, %d answers came early", whole, len(calls), len(workers[0].early))
	return broken, nil
}
