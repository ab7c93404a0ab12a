package record

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Kinds of record in the lease stream, in addition to claim, release and intent.
const (
	KindClosed Kind = "closed"
	KindHold   Kind = "hold"
)

// LeaseName is the name of a duty that at most one node holds at a time.
type LeaseName string

// Claim requests a lease, or renews the lease that the node holds already.
type Claim struct {
	Name LeaseName     `cbor:"1,keyasint"`
	Node fleet.NodeRef `cbor:"2,keyasint"`
	// Window is how long the lease is in force after the log time of the claim.
	Window time.Duration `cbor:"3,keyasint"`
}

// Release ends a lease before it expires.
type Release struct {
	Name  LeaseName   `cbor:"1,keyasint"`
	Fence fleet.Fence `cbor:"2,keyasint"`
}

// Intent announces the start of an instance under a lease. It takes effect only if
// the lease is in force with this fencing number.
type Intent struct {
	Lease       LeaseName        `cbor:"1,keyasint"`
	Fence       fleet.Fence      `cbor:"2,keyasint"`
	Tag         string           `cbor:"3,keyasint"`
	Pool        fleet.PoolName   `cbor:"4,keyasint"`
	Zone        fleet.ZoneName   `cbor:"5,keyasint"`
	Class       fleet.ClassName  `cbor:"6,keyasint"`
	Market      fleet.Market     `cbor:"7,keyasint"`
	HourlyPrice fleet.MicroCents `cbor:"8,keyasint"`
}

// StartResult is the result of an intent.
type StartResult string

// The results of an intent.
const (
	StartRunning StartResult = "running"
	StartRefused StartResult = "refused"
	// StartLost means that no instance with the tag appeared in the instance list
	// in time.
	StartLost StartResult = "lost"
)

// Closed records the result of an intent and closes it.
type Closed struct {
	Tag      string           `cbor:"1,keyasint"`
	Result   StartResult      `cbor:"2,keyasint"`
	Instance fleet.InstanceID `cbor:"3,keyasint"`
}

// Hold stops new requests to an endpoint while the holder of a lease changes it.
type Hold struct {
	Lease    LeaseName         `cbor:"1,keyasint"`
	Fence    fleet.Fence       `cbor:"2,keyasint"`
	Instance fleet.InstanceRef `cbor:"3,keyasint"`
	// Window is the duration of the hold; 0 ends it.
	Window time.Duration `cbor:"4,keyasint"`
}
