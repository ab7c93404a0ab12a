package forward

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
)

const (
	// lingerMargin is how long after the endpoint's deadline for a request its response may
	// still arrive. Endpoints refuse queued requests when the deadline passes.
	lingerMargin = 500 * time.Millisecond
	// lingerDeliveryTimeout is how long the endpoint may take to receive the rest of a request
	// that was given up. It stays well below half a second.
	lingerDeliveryTimeout = 100 * time.Millisecond
	// maxLingering bounds the connections to an address whose requests were given up.
	maxLingering = 8
	// settleInterval is how often settleUnread looks again while the head of a response
	// arrives in parts.
	settleInterval = 10 * time.Millisecond
)

// received is the result of conn.receive.
type received struct {
	response *http.Response
	err      error
}

// awaitHead waits for the head of the response until the context ends. Then it closes the
// write side of the connection, which ends the endpoint's work, and leaves the
// connection to a goroutine that reads what the endpoint may still respond.
func (p *Pool) awaitHead(ctx context.Context, c *conn, req Request) (*http.Response, error) {
	result, abandoned := make(chan received), make(chan struct{})
	p.readers.Go(func() error {
		var r received
		r.response, r.err = c.receive(req) //nolint:bodyclose // The connection under the body is closed.
		p.removeAwaiting(c)
		select {
		case result <- r:
		case <-abandoned:
			p.discard(c)
		}
		return nil
	})
	select {
	case r := <-result:
		if r.err != nil {
			p.discard(c)
		}
		return r.response, r.err
	case <-ctx.Done():
		if !p.linger(c, req.Expires) {
			c.reset()
		}
		close(abandoned)
		return nil, context.Cause(ctx)
	}
}

// addAwaiting records that the head of a response is awaited on a connection.
func (p *Pool) addAwaiting(c *conn) {
	c.head.arrived.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.awaiting = append(h.awaiting, c)
}

// removeAwaiting records that the head of a response was read, or that none will be.
func (p *Pool) removeAwaiting(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if h == nil {
		return
	}
	h.awaiting = slices.DeleteFunc(h.awaiting, func(other *conn) bool { return other == c })
	if h.headRead != nil {
		close(h.headRead)
		h.headRead = nil
	}
}

// settleUnread waits while heads of responses from an address have arrived and are not
// parsed. On a busy node they may wait for long, and what they announce concerns the next
// request.
func (p *Pool) settleUnread(ctx context.Context, address string) {
	for {
		p.mu.Lock()
		h := p.hosts[address]
		awaiting := slices.Clone(h.awaiting)
		if len(awaiting) > 0 && h.headRead == nil {
			h.headRead = make(chan struct{})
		}
		headRead := h.headRead
		p.mu.Unlock()
		if !slices.ContainsFunc(awaiting, (*conn).hasArrived) {
			return
		}
		select {
		case <-headRead:
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return
		}
	}
}

// linger closes the write side of a connection and limits how long it is read. It resets
// the connection if the endpoint does not receive the rest of the request soon. It reports
// false if there are too many such connections to the address.
func (p *Pool) linger(c *conn, expires time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if len(h.lingering) >= maxLingering {
		return false
	}
	if err := c.SetReadDeadline(laterOf(expires, time.Now()).Add(lingerMargin)); err != nil {
		return false
	}
	if tcp, ok := c.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return false
	}
	h.lingering = append(h.lingering, c)
	time.AfterFunc(lingerDeliveryTimeout, func() {
		if connection.HasUnacknowledged(c.Conn) {
			c.reset()
		}
	})
	return true
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
