package main

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fillers is how many connections fill the queue of a listener that accepts none, so that
	// further ones hang.
	fillers = 3
	// fillTimeout is how long each of them may take.
	fillTimeout = 50 * time.Millisecond
)

// silencer is a listener whose machine can go dark: then nothing is read from its connections
// nor written to them, and new ones are not established.
type silencer struct {
	net.Listener

	mu     sync.Mutex
	silent bool
	conns  []*net.TCPConn
	filled []net.Conn
}

// Accept implements net.Listener. While the machine is dark, it does not return.
func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	s.mu.Lock()
	s.conns = append(s.conns, tcp)
	silent := s.silent
	s.mu.Unlock()
	if silent {
		// The connection came as the machine went dark. The server ends at its return.
		return s.acceptNone()
	}
	return &silencedConn{TCPConn: tcp, listener: s}, nil
}

// acceptNone waits until the listener is closed, and accepts nothing before.
func (s *silencer) acceptNone() (net.Conn, error) {
	for s.isSilent() {
		time.Sleep(fillTimeout)
	}
	return nil, net.ErrClosed
}

func (s *silencer) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// silence lets the machine go dark.
func (s *silencer) silence() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	if raw, err := s.Listener.(syscall.Conn).SyscallConn(); err == nil {
		// With a queue of none, the kernel drops what would open further connections.
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
	}
	for range fillers {
		dialer := net.Dialer{Timeout: fillTimeout}
		if c, err := dialer.Dial("tcp", s.Listener.Addr().String()); err == nil {
			s.mu.Lock()
			s.filled = append(s.filled, c)
			s.mu.Unlock()
		}
	}
}

// reset lets the machine return: it knows none of its connections.
func (s *silencer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = false
	for _, c := range s.conns {
		// It fails only for a connection that is closed.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for _, c := range s.filled {
		_ = c.Close()
	}
}

// silencedConn is a connection of a machine that can go dark.
type silencedConn struct {
	*net.TCPConn
	listener *silencer
}

// Write implements net.Conn. A machine that is dark sends nothing.
func (c *silencedConn) Write(p []byte) (int, error) {
	if c.listener.isSilent() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn. The end of a connection isn't sent either.
func (c *silencedConn) Close() error {
	if c.listener.isSilent() {
		return nil
	}
	return c.TCPConn.Close()
}
