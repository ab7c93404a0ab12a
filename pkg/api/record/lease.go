package record

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// The further kinds of record of the lease stream.
const (
	KindClosed Kind = "closed"
	KindHold   Kind = "hold"
)

// LeaseName names a duty that one node holds at a time.
type LeaseName string

// Claim asks for a lease, or renews the one that its node holds.
type Claim struct {
	Name   LeaseName     `cbor:"1,keyasint"`
	Node   fleet.NodeRef `cbor:"2,keyasint"`
	Window time.Duration `cbor:"3,keyasint"`
}

// Release gives a lease back.
type Release struct {
	Name  LeaseName   `cbor:"1,keyasint"`
	Fence fleet.Fence `cbor:"2,keyasint"`
}

// Intent announces the start of an instance under a lease. It counts only with
// the fencing number of the lease in force.
type Intent struct {
	Lease  LeaseName        `cbor:"1,keyasint"`
	Fence  fleet.Fence      `cbor:"2,keyasint"`
	Tag    string           `cbor:"3,keyasint"`
	Pool   fleet.PoolName   `cbor:"4,keyasint"`
	Zone   fleet.ZoneName   `cbor:"5,keyasint"`
	Class  fleet.ClassName  `cbor:"6,keyasint"`
	Market fleet.Market     `cbor:"7,keyasint"`
	Hourly fleet.MicroCents `cbor:"8,keyasint"`
}

// StartResult says how an intent ended.
type StartResult string

// The results of an intent.
const (
	StartRunning StartResult = "running"
	StartRefused StartResult = "refused"
	// StartLost: no instance with the tag came into the list in time.
	StartLost StartResult = "lost"
)

// Closed ends an intent.
type Closed struct {
	Tag      string           `cbor:"1,keyasint"`
	Result   StartResult      `cbor:"2,keyasint"`
	Instance fleet.InstanceID `cbor:"3,keyasint"`
}

// Hold keeps new work from an endpoint while it is changed under a lease.
type Hold struct {
	Lease    LeaseName         `cbor:"1,keyasint"`
	Fence    fleet.Fence       `cbor:"2,keyasint"`
	Instance fleet.InstanceRef `cbor:"3,keyasint"`
	// Window is how long the hold lasts; 0 ends it.
	Window time.Duration `cbor:"4,keyasint"`
}
