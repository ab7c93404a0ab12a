// Package fleet holds the core types that every other package speaks: the
// identifiers and units of instances, zones, client accounts, pools and
// endpoints. It has no behaviour beyond validation and performs no I/O.
package fleet

import (
	"encoding/hex"
	"time"
)

type (
	// AccountName identifies a client account.
	AccountName string
	// PoolName identifies a serving pool.
	PoolName string
	// ZoneName identifies a zone, the unit in which the cloud reclaims instances.
	ZoneName string
	// DataCentreName identifies a data centre.
	DataCentreName string
	// ClassName identifies a machine class of the cloud.
	ClassName string
	// NodeName identifies an entry node (one daemon's settings entry).
	NodeName string
	// InstanceID identifies an instance in the platform's list.
	InstanceID string
	// Incarnation tells two lives of the same name apart. A larger one is newer.
	Incarnation uint64
	// Revision counts the configurations that were put in force; 0 is none.
	Revision uint64
	// Offset is a position in a stream of the platform's log.
	Offset uint64
	// Fence is a fencing number: the log offset of the record that granted a right.
	Fence uint64
	// Key is a caller's idempotency key, unique within one account.
	Key string
	// RequestID names one request inside the system.
	RequestID string
	// Tokens counts model tokens.
	Tokens int
	// MicroCents is an amount of money in millionths of a cent.
	MicroCents int64
)

// Digest is a SHA-256 digest of content.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// KeyRef names a keyed request: a key within its account.
type KeyRef struct {
	Account AccountName `cbor:"1,keyasint"`
	Key     Key         `cbor:"2,keyasint"`
}

// NodeRef names one life of an entry node.
type NodeRef struct {
	Name        NodeName    `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Kind tells what the endpoints of a pool are.
type Kind string

// The kinds of pool.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Market tells how an instance is paid for.
type Market string

// The markets of the cloud.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)

// Condition is what is believed of an instance.
type Condition string

// The conditions of an instance, in the order in which they win over each
// other for one incarnation.
const (
	ConditionLive    Condition = "live"
	ConditionLeaving Condition = "leaving"
	ConditionGone    Condition = "gone"
)

// Rank orders conditions; a higher rank wins for the same incarnation.
func (c Condition) Rank() int {
	switch c {
	case ConditionGone:
		return 2
	case ConditionLeaving:
		return 1
	default:
		return 0
	}
}

// Outcome is what a caller is told of a request that did not plainly succeed,
// and what the log keeps of an order.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
)

// Instance is one instance that serves a pool, as the platform lists it.
type Instance struct {
	ID          InstanceID     `json:"id"`
	Incarnation Incarnation    `json:"incarnation"`
	Pool        PoolName       `json:"pool"`
	Zone        ZoneName       `json:"zone"`
	DataCentre  DataCentreName `json:"datacentre"`
	Class       ClassName      `json:"class"`
	Market      Market         `json:"market"`
	Address     string         `json:"address"`
	Condition   Condition      `json:"condition"`
	// Hourly is the price of one hour.
	Hourly MicroCents `json:"hourly"`
	// Leaves is when a leaving instance goes; zero if not leaving.
	Leaves time.Time `json:"leaves,omitzero"`
	// Tag is the tag that its start request carried, if any.
	Tag string `json:"tag,omitempty"`
}

// Ref returns the name and incarnation of the instance.
func (i Instance) Ref() InstanceRef {
	return InstanceRef{ID: i.ID, Incarnation: i.Incarnation}
}

// InstanceRef names one life of an instance.
type InstanceRef struct {
	ID          InstanceID
	Incarnation Incarnation
}
