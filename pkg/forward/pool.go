package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

const (
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. Links have latencies of milliseconds.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes that detect a dead connection while a response is awaited.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleTimeoutFactor is the share of an endpoint's idle timeout during which a
	// connection is reused. The margin prevents a request from being sent while the
	// endpoint closes the connection.
	idleTimeoutFactor = 0.6
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Pool is a pool of connections to endpoints. The zero value is ready to use.
type Pool struct {
	// OnOpen is called for each new connection, if set.
	OnOpen func()
	// Budget accounts for the responses that the node holds, if set.
	Budget *intake.Budget
	// Dial replaces how connections are established, if set.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[string]*hostConns
	// readers are the goroutines that read the heads of responses.
	readers errgroup.Group
}

// hostConns holds the connections to one address.
type hostConns struct {
	idle []*conn
	// open counts all connections, including those being dialled.
	open int
	// lingering holds the connections whose requests were given up, oldest first.
	lingering []*conn
	// awaiting holds the connections on which the head of a response is awaited. headRead
	// is closed when one of them has been read, if set.
	awaiting []*conn
	headRead chan struct{}
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	},
}

// acquire returns a connection to the request's address. It reuses an idle one if
// one is usable, or else opens a new one.
func (p *Pool) acquire(ctx context.Context, req Request) (*conn, error) {
	for {
		c := p.popIdle(req.Address)
		if c == nil {
			break
		}
		// Unread bytes on an idle connection would belong to no request.
		if time.Now().Before(c.expires) && connection.StateOf(c.Conn) == connection.StateIdle {
			c.uses++
			return c, nil
		}
		p.discard(c)
	}
	c, err := p.open(ctx, req)
	if err != nil {
		return nil, err
	}
	c.uses++
	return c, nil
}

// open opens a new connection to the request's address.
func (p *Pool) open(ctx context.Context, req Request) (*conn, error) {
	if err := p.reserveConn(req); err != nil {
		return nil, err
	}
	dial := p.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	raw, err := dial(ctx, req.Address)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.releaseConn(req.Address)
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	head := &headReader{Conn: raw}
	return &conn{Conn: raw, address: req.Address, opened: clock.Now(), reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

// Probe opens a connection to an address and keeps it for the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, Request{Address: address})
	if err != nil {
		return err
	}
	p.put(c, time.Now().Add(defaultIdleTimeout))
	return nil
}

// popIdle removes and returns the most recently used idle connection, which the
// endpoint is least likely to have closed; nil if there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// reserveConn counts a new connection to the request's address. If the limit is
// reached, it resets the oldest lingering connection, and fails if there is none.
func (p *Pool) reserveConn(req Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]*hostConns)
	}
	h := p.hosts[req.Address]
	if h == nil {
		h = &hostConns{}
		p.hosts[req.Address] = h
	}
	if req.MaxConnections > 0 && h.open >= req.MaxConnections {
		if len(h.lingering) == 0 {
			return &ConnectionLimitError{Limit: req.MaxConnections}
		}
		oldest := h.lingering[0]
		p.release(oldest)
		oldest.reset()
		// Releasing the last connection removes the host.
		p.hosts[req.Address] = h
	}
	h.open++
	return nil
}

// releaseConn removes a connection to the address from the count. The caller holds the
// lock.
func (p *Pool) releaseConn(address string) {
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// release removes a connection from the count of its address, once. The caller holds the
// lock.
func (p *Pool) release(c *conn) {
	if c.released {
		return
	}
	c.released = true
	h := p.hosts[c.address]
	h.lingering = slices.DeleteFunc(h.lingering, func(other *conn) bool { return other == c })
	p.releaseConn(c.address)
}

// put adds an idle connection to the pool, which may be used until it expires.
func (p *Pool) put(c *conn, expires time.Time) {
	p.closeAccount(c)
	c.expires = expires
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
}

// discard resets a connection and removes it from the count.
func (p *Pool) discard(c *conn) {
	c.reset()
	p.closeAccount(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(c)
}

// openAccount opens the account of the next response on a connection. A response that gives
// way to others loses its connection.
func (p *Pool) openAccount(c *conn) {
	if p.Budget == nil {
		return
	}
	c.head.sender = &intake.Sender{Stop: func(bool) { c.reset() }}
	p.Budget.Attach(c.head.sender)
}

// closeAccount closes the account of the last response on a connection.
func (p *Pool) closeAccount(c *conn) {
	if c.head.sender != nil {
		p.Budget.Leave(c.head.sender)
		c.head.sender = nil
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// idleTimeout returns how long a connection may be idle after a response with the
// given header.
func idleTimeout(header http.Header) time.Duration {
	for item := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(n) * idleTimeoutFactor * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
