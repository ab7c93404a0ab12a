package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/directory"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
)

const (
	// RoundInterval is the time between two rounds of requests to other nodes.
	RoundInterval = 300 * time.Millisecond
	// startRoundInterval is the time between two rounds within startTime after the start.
	startRoundInterval = 100 * time.Millisecond
	startTime          = 1200 * time.Millisecond
	// maxPacketBytes is the maximum size of an encoded packet. It keeps a packet
	// within one UDP datagram.
	maxPacketBytes = 60 << 10
	// leaveNotices is the number of times that a node sends its last digest.
	leaveNotices = 2
)

// packet is the content of one datagram. A reply echoes SentAt of its request,
// which gives the requester an upper bound for the age of the reply.
type packet struct {
	SentAt clock.Instant `cbor:"1,keyasint"`
	Reply  bool          `cbor:"2,keyasint,omitempty"`
	Digest Digest        `cbor:"3,keyasint"`
	Scope  Scope         `cbor:"4,keyasint"`
	Delta  *Delta        `cbor:"5,keyasint,omitempty"`
}

// Delta holds the changes of the endpoint directory between two offsets of the
// store.
type Delta struct {
	From    fleet.Offset       `cbor:"1,keyasint"`
	To      fleet.Offset       `cbor:"2,keyasint"`
	Changes []directory.Change `cbor:"3,keyasint,omitempty"`
}

// encoding keeps the nanoseconds of times; the default of the library truncates
// them to seconds.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are constant and valid.
		panic(err)
	}
	return mode
}()

// Exchange sends digests to the other nodes over UDP and handles theirs. All
// function fields except Now must be set.
type Exchange struct {
	ListenAddress string
	// Describe returns this node's digest.
	Describe func() Digest
	// OnDigest is called for each digest received. OnReply is called in addition
	// for each reply, with the instant at which the request was sent. Neither is
	// called for probes.
	OnDigest func(Digest)
	OnReply  func(Digest, *Delta, clock.Instant)
	// DeltaSince returns the directory changes that a node of the same data centre
	// has not read yet, or nil if they are not known.
	DeltaSince func(from fleet.Offset) *Delta
	// WallClock returns this node's time of day, which does not jump when the
	// system clock is set.
	WallClock func() time.Time
	Table     *Table
	Logs      *event.Logs
	// Now returns the current instant; nil stands for clock.Now.
	Now func() clock.Instant

	socket *net.UDPConn
	write  func(data []byte, to netip.AddrPort)
}

func (x *Exchange) now() clock.Instant {
	if x.Now != nil {
		return x.Now()
	}
	return clock.Now()
}

// Listen opens the UDP socket.
func (x *Exchange) Listen() (err error) {
	defer func() { err = errors.Wrapf(err, "listen for gossip on %s", x.ListenAddress) }()
	address, err := netip.ParseAddrPort(x.ListenAddress)
	if err != nil {
		return err
	}
	x.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	x.write = func(data []byte, to netip.AddrPort) {
		// The error is ignored: datagrams can be lost in any case, and the next
		// round sends a newer digest.
		_, _ = x.socket.WriteToUDPAddrPort(data, to)
	}
	return err
}

// Close closes the socket, which makes Receive return.
func (x *Exchange) Close() error { return x.socket.Close() }

// Receive handles incoming packets until the socket is closed.
func (x *Exchange) Receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The error can stem from an earlier datagram that a peer refused (ICMP).
			// The table detects such a peer by its silence.
			continue
		}
		x.receive(buffer[:n], from)
	}
}

func (x *Exchange) receive(data []byte, from netip.AddrPort) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		x.Logs.Emit(event.PacketFailed, zap.Stringer("from", from), zap.Error(err))
		return
	}
	x.handle(p, from)
}

func (x *Exchange) handle(p packet, from netip.AddrPort) {
	if p.Reply {
		x.handleReply(p)
		return
	}
	now := x.now()
	replyScope := p.Scope
	switch p.Scope {
	case ScopeUsage:
		x.OnDigest(p.Digest)
		return
	case ScopeNode, ScopeRelayGroup:
		x.Table.Apply(p.Digest, p.Scope, now)
		x.OnDigest(p.Digest)
	case ScopeFleet:
		if p.Digest.Draining {
			x.Table.Apply(p.Digest, p.Scope, now)
			x.OnDigest(p.Digest)
		}
	case ScopeProbe:
	}
	if p.Digest.Draining {
		return
	}
	sameDataCentre := p.Digest.DataCentre == x.Table.DataCentre
	if p.Scope == ScopeRelayGroup {
		x.Table.SetClockOffset(p.Digest.Node.Name, p.Digest.Clock.Sub(x.WallClock()))
		if sameDataCentre {
			replyScope = ScopeFleet
		}
	}
	reply := packet{SentAt: p.SentAt, Reply: true, Scope: replyScope, Digest: x.Table.Summarise(x.Describe(), replyScope, p.Digest.Node.Name, now)}
	if sameDataCentre && p.Scope != ScopeProbe {
		reply.Delta = x.DeltaSince(p.Digest.DirectoryOffset)
	}
	x.send(reply, from)
}

// handleReply applies the digest of a reply.
func (x *Exchange) handleReply(p packet) {
	now := x.now()
	name := p.Digest.Node.Name
	x.Table.MarkReplied(name)
	if p.Scope == ScopeProbe {
		return
	}
	x.Table.Apply(p.Digest, p.Scope, now)
	x.Table.SetClockOffset(name, p.Digest.Clock.Add(now.Sub(p.SentAt)/2).Sub(x.WallClock()))
	x.OnDigest(p.Digest)
	x.OnReply(p.Digest, p.Delta, p.SentAt)
}

// Run queries the other nodes every RoundInterval until the context is done, and
// faster directly after the start: all nodes may have been lost together, and each
// limits its callers until it knows what the others admit.
func (x *Exchange) Run(ctx context.Context) {
	round := func(context.Context) {
		x.Table.Expire(x.now())
		x.QueryPeers()
	}
	starting, cancel := context.WithTimeout(ctx, startTime)
	interval.Run(starting, startRoundInterval, round)
	cancel()
	interval.Run(ctx, RoundInterval, round)
}

// QueryPeers sends a request to each target of the current round.
func (x *Exchange) QueryPeers() {
	now := x.now()
	local := x.Describe()
	for _, t := range x.Table.Targets(now) {
		x.request(t, x.Table.Summarise(local, t.Scope, t.Name, now))
	}
}

// Leave notifies the other nodes that this node shuts down, with the quota that it
// consumed last. No later digest carries it, so the notice is sent leaveNotices times.
func (x *Exchange) Leave() {
	now := x.now()
	d := x.Describe()
	d.Draining = true
	for _, t := range x.Table.PeerTargets() {
		summary := x.Table.Summarise(d, t.Scope, t.Name, now)
		for range leaveNotices {
			x.request(t, summary)
		}
	}
}

func (x *Exchange) request(t Target, d Digest) {
	to, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		x.Logs.Emit(event.PacketFailed, zap.String("node", string(t.Name)), zap.Error(err))
		return
	}
	x.send(packet{SentAt: x.now(), Scope: t.Scope, Digest: d}, to)
}

// send sends a packet, without its delta if that does not fit: the recipient then reads
// the directory itself.
func (x *Exchange) send(p packet, to netip.AddrPort) {
	data, err := encoding.Marshal(p)
	if err == nil && len(data) > maxPacketBytes && p.Delta != nil {
		p.Delta = nil
		data, err = encoding.Marshal(p)
	}
	if err != nil || len(data) > maxPacketBytes {
		x.Logs.Emit(event.PacketFailed, zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	x.write(data, to)
}
