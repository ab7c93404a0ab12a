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
	// Every is the pause between rounds of questions.
	RoundInterval = 300 * time.Millisecond
	// maxPacket bounds a packet, in bytes; a datagram holds no more.
	maxPacket = 60 << 10
)

// packet is one datagram. A reply returns the asker's instant, which tells the
// asker how old the reply can be at the most.
type packet struct {
	Asked  clock.Instant `cbor:"1,keyasint"`
	Reply  bool          `cbor:"2,keyasint,omitempty"`
	Digest Digest        `cbor:"3,keyasint"`
	Scope  Scope         `cbor:"4,keyasint"`
	News   *Delta        `cbor:"5,keyasint,omitempty"`
}

// News is what became of the endpoints' entries since the asker read them.
type Delta struct {
	From    fleet.Offset       `cbor:"1,keyasint"`
	To      fleet.Offset       `cbor:"2,keyasint"`
	Changes []directory.Change `cbor:"3,keyasint,omitempty"`
}

// encoding writes times with their nanoseconds; the default cuts them to seconds.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}()

// Exchange talks to the other nodes. Its functions must be set.
type Exchange struct {
	Address string
	// Describe returns this node's digest.
	Describe func() Digest
	// Heard is called for each digest; Confirmed also for each reply, with the
	// instant at which the question was sent.
	OnDigest func(Digest)
	OnReply  func(Digest, *Delta, clock.Instant)
	// News returns what a node of the same data centre has yet to read, if it is known.
	DeltaSince func(from fleet.Offset) *Delta
	// Time returns this node's time of day, free of jumps.
	WallClock func() time.Time
	Table     *Table
	Logs      *event.Logs
	// Now reads the clock; nil is clock.Now.
	Now func() clock.Instant

	socket *net.UDPConn
	// write sends a datagram.
	write func(data []byte, to netip.AddrPort)
}

func (x *Exchange) now() clock.Instant {
	if x.Now != nil {
		return x.Now()
	}
	return clock.Now()
}

// Listen opens the socket.
func (x *Exchange) Listen() (err error) {
	defer func() { err = errors.Wrapf(err, "exchange on %s", x.Address) }()
	address, err := netip.ParseAddrPort(x.Address)
	if err != nil {
		return err
	}
	x.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	x.write = func(data []byte, to netip.AddrPort) {
		// A datagram may be lost anyway; the next round sends a newer one.
		_, _ = x.socket.WriteToUDPAddrPort(data, to)
	}
	return err
}

// Close ends Receive.
func (x *Exchange) Close() error { return x.socket.Close() }

// Receive answers and folds packets until the socket is closed.
func (x *Exchange) Receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A refused datagram of ours surfaces here; the table notices the silence.
			continue
		}
		x.receive(buffer[:n], from)
	}
}

func (x *Exchange) receive(data []byte, from netip.AddrPort) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		x.Logs.Emit(event.PacketUnusable, zap.Stringer("from", from), zap.Error(err))
		return
	}
	x.handle(p, from)
}

func (x *Exchange) handle(p packet, from netip.AddrPort) {
	if p.Reply {
		x.fold(p)
		return
	}
	now := x.now()
	reply := p.Scope
	switch p.Scope {
	case ScopeUsage:
		x.OnDigest(p.Digest)
		return
	case ScopeNode, ScopeRelayGroup:
		x.Table.Apply(p.Digest, p.Scope, now)
		x.OnDigest(p.Digest)
	case ScopeProbe, ScopeFleet:
	}
	if p.Digest.Draining {
		return
	}
	near := p.Digest.DataCentre == x.Table.DataCentre
	if p.Scope == ScopeRelayGroup {
		x.Table.SetClockOffset(p.Digest.Node.Name, p.Digest.Clock.Sub(x.WallClock()))
		if near {
			reply = ScopeFleet
		}
	}
	answer := packet{Asked: p.Asked, Reply: true, Scope: reply, Digest: x.Table.Summarise(x.Describe(), reply, p.Digest.Node.Name, now)}
	if near && p.Scope != ScopeProbe {
		answer.News = x.DeltaSince(p.Digest.DirectoryOffset)
	}
	x.send(answer, from)
}

// fold takes in a reply.
func (x *Exchange) fold(p packet) {
	now := x.now()
	name := p.Digest.Node.Name
	x.Table.MarkReplied(name)
	if p.Scope == ScopeProbe {
		return
	}
	x.Table.Apply(p.Digest, p.Scope, now)
	x.Table.SetClockOffset(name, p.Digest.Clock.Add(now.Sub(p.Asked)/2).Sub(x.WallClock()))
	x.OnDigest(p.Digest)
	x.OnReply(p.Digest, p.News, p.Asked)
}

// Run asks the other nodes again and again until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	interval.Run(ctx, RoundInterval, func(context.Context) {
		x.Table.Expire(x.now())
		x.QueryPeers()
	})
}

// Ask asks the nodes whose turn it is.
func (x *Exchange) QueryPeers() {
	now := x.now()
	own := x.Describe()
	for _, t := range x.Table.Targets(now) {
		x.tell(t, x.Table.Summarise(own, t.Scope, t.Name, now))
	}
}

// Leave tells the other nodes that this one ends.
func (x *Exchange) Leave() {
	d := x.Describe()
	d.Draining = true
	for _, t := range x.Table.Neighbours() {
		x.tell(t, d)
	}
}

func (x *Exchange) tell(t Target, d Digest) {
	to, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		x.Logs.Emit(event.PacketUnusable, zap.String("node", string(t.Name)), zap.Error(err))
		return
	}
	x.send(packet{Asked: x.now(), Scope: t.Scope, Digest: d}, to)
}

func (x *Exchange) send(p packet, to netip.AddrPort) {
	data, err := encoding.Marshal(p)
	if err != nil || len(data) > maxPacket {
		x.Logs.Emit(event.PacketUnusable, zap.Int("bytes", len(data)), zap.Error(err))
		return
	}
	x.write(data, to)
}
