// Package intake bounds what others make a node hold while they send: the connections, heads
// and bodies of callers, and the heads and bodies of the responses to the node's own
// requests. Others may send anything, so each byte is charged before it is kept, and what
// makes no progress gives way when room is short.
package intake

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Bytes is an amount of memory.
type Bytes int64

// SmallBody is the length up to which bodies do not wait for room.
const SmallBody Bytes = 64 << 10

const (
	// memoryShare is the share of the node's memory that heads and bodies may hold. As much
	// is left for connections; the rest is for the node's other work and for the garbage
	// collector.
	memoryShare = 0.25
	// largeShare is the share of that for bodies over SmallBody. The rest keeps ordinary
	// requests going beside them.
	largeShare = 0.75
	// otherMemoryPart and otherSocketsPart divide the memory and the sockets for each of the
	// other listeners, which have minOtherConnections at least.
	otherMemoryPart     = 64
	otherSocketsPart    = 20
	minOtherConnections = 16
	// connectionBytes is the memory of a connection and of the goroutine that serves it, with
	// a head of usual length.
	connectionBytes Bytes = 24 << 10
	// connectionShare is the share of the descriptors for callers. Each of their requests
	// may take another one for its endpoint; what remains is for the store, other nodes and
	// the other listeners.
	connectionShare = 0.4
	// responsePart divides the memory for the responses of endpoints, and again for those of
	// the platform and of other nodes, so that neither displaces the other.
	responsePart = 8
	// lineBytes is what a parsed header line takes beside its text.
	lineBytes = 128
	// freeHead is the part of a head that connectionBytes covers.
	freeHead Bytes = 4 << 10
	// freeBody is the part of a response's body that is not charged.
	freeBody Bytes = 4 << 10
	// headStep is the amount in which heads are charged.
	headStep Bytes = 16 << 10
)

const (
	// stallTime is after how long without progress a caller counts as stalled.
	stallTime = 500 * time.Millisecond
	// freezeTime is the time between two sweeps from which on the process was held up.
	freezeTime = time.Second
	// minAge is how long a body may take before it gives way because it is slow.
	minAge = time.Second
	// slowRate is the rate in bytes per second below which a body counts as slow.
	slowRate = 128 << 10
	// MaxWait is how long a large body waits for room at most.
	MaxWait = 2 * time.Second
	// maxWaiting is the number of large bodies that wait at most. What has arrived of them
	// fills the buffers of the kernel.
	maxWaiting = 32
	// bodyTimeout is the time for a body whose request sets none.
	bodyTimeout = time.Minute
)

// Cause is why a caller was refused or gave way. Its values are logged and are labels of
// metrics.
type Cause string

// The causes.
const (
	CauseConnections Cause = "connections"
	CauseLongHead    Cause = "head too long"
	CauseMemory      Cause = "memory"
	CauseStalled     Cause = "stalled"
	CauseTimeout     Cause = "timeout"
)

// ErrNoRoom reports that there is no room for what is sent, or that it gave way to others.
var ErrNoRoom = errors.New("no room for what is sent")

// Limits bound what callers hold; 0 means no limit.
type Limits struct {
	Memory      Bytes
	Connections int
}

// LimitsOf returns the limits of callers on a node with an amount of memory and a number of
// descriptors for sockets, of which 0 means unknown.
func LimitsOf(memory Bytes, sockets int) Limits {
	l := Limits{Memory: Bytes(memoryShare * float64(memory)), Connections: int(connectionShare * float64(sockets))}
	if n := int(l.Memory / connectionBytes); n > 0 && (l.Connections <= 0 || n < l.Connections) {
		l.Connections = n
	}
	return l
}

// OtherLimitsOf returns the limits of each of a node's other listeners.
func OtherLimitsOf(memory Bytes, sockets int) (l Limits) {
	l.Memory = memory / otherMemoryPart
	if sockets > 0 {
		l.Connections = max(minOtherConnections, sockets/otherSocketsPart)
	}
	return l
}

// HeadLimits bound the head of a request and the time between requests.
type HeadLimits struct {
	MaxBytes                 Bytes
	HeadTimeout, IdleTimeout time.Duration
}
