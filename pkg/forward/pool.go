package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead; links take milliseconds.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount find a connection that fell silent
	// while an answer is awaited.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
	// idleMargin is the part of an endpoint's idle timeout during which a
	// connection is used, so that a request does not cross the close.
	idleMargin = 0.6
	// idleUnknown is how long a connection is kept if the endpoint names no timeout.
	idleUnknown = 800 * time.Millisecond
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
)

// Pool keeps the connections to endpoints. The zero value is ready to use.
type Pool struct {
	// Opened is called for each new connection, if set.
	OnOpen func()

	mu    sync.Mutex
	hosts map[string]*host
}

// host is what is kept for one address.
type host struct {
	idle []*conn
	open int
}

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	Control: func(_, _ string, raw syscall.RawConn) (err error) {
		outer := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if outer != nil {
			return outer
		}
		return err
	},
}

// take returns a connection to the call's address, a kept one if it is sound.
func (p *Pool) take(ctx context.Context, c Request) (*conn, error) {
	for {
		k := p.pop(c.Address)
		if k == nil {
			break
		}
		if time.Now().Before(k.expires) && k.sound() {
			k.uses++
			return k, nil
		}
		p.discard(k)
	}
	if err := p.reserve(c); err != nil {
		return nil, err
	}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		p.release(c.Address)
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return &conn{Conn: raw, address: c.Address, reader: bufio.NewReaderSize(raw, readBuffer), uses: 1}, nil
}

// pop takes the connection that was used last, since it is the freshest.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	k := h.idle[len(h.idle)-1]
	h.idle = h.idle[:len(h.idle)-1]
	return k
}

func (p *Pool) reserve(c Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]*host)
	}
	h := p.hosts[c.Address]
	if h == nil {
		h = &host{}
		p.hosts[c.Address] = h
	}
	if c.MaxConnections > 0 && h.open >= c.MaxConnections {
		return &ConnectionLimitError{Limit: c.MaxConnections}
	}
	h.open++
	return nil
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// put keeps a connection for the time that its last answer allows.
func (p *Pool) put(k *conn, header http.Header) {
	k.expires = time.Now().Add(idleTime(header))
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[k.address]
	h.idle = append(h.idle, k)
}

func (p *Pool) discard(k *conn) {
	k.cut()
	p.release(k.address)
}

// Sweep closes the idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, k := range h.idle {
			if now.Before(k.expires) {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, k := range old {
		p.discard(k)
	}
}

// idleTime returns how long a connection is used after an answer.
func idleTime(header http.Header) time.Duration {
	for item := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(n) * idleMargin * float64(time.Second))
		}
	}
	return idleUnknown
}

// sound tells whether an idle connection is open and has nothing to read: bytes
// on it would belong to no request.
func (k *conn) sound() bool {
	tcp, ok := k.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
