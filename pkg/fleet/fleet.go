// Package fleet defines the core types that all other packages share: the
// identifiers and units of instances, zones, client accounts, pools and endpoints,
// and the fleet configuration with its validation. It performs no I/O.
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
	// NodeName identifies an entry node by the name in its daemon's settings.
	NodeName string
	// InstanceID identifies an instance in the platform's list.
	InstanceID string
	// Incarnation distinguishes successive starts under the same name. A larger one
	// is newer.
	Incarnation uint64
	// Revision counts the configurations that were put in force; 0 means none.
	Revision uint64
	// Offset is a position in a stream of the platform's log.
	Offset uint64
	// Fence is a fencing number: the log offset, plus 1, of the record that granted a
	// lease or a dispatch. 0 means that none was granted.
	Fence uint64
	// Key is a caller's idempotency key, unique within one account.
	Key string
	// RequestID identifies one request inside the system.
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

// KeyRef identifies a keyed request by its account and key.
type KeyRef struct {
	Account AccountName `cbor:"1,keyasint"`
	Key     Key         `cbor:"2,keyasint"`
}

// NodeRef identifies one incarnation of an entry node.
type NodeRef struct {
	Name        NodeName    `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Kind is whether the endpoints of a pool serve a model or a plain service.
type Kind string

// The kinds of pool.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Market is how an instance is paid for.
type Market string

// The markets of the cloud.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)

// Condition is the known condition of an instance.
type Condition string

// The conditions of an instance, in increasing order of Rank.
const (
	ConditionLive    Condition = "live"
	ConditionLeaving Condition = "leaving"
	ConditionGone    Condition = "gone"
)

// Rank orders conditions; for one incarnation a higher rank overrides a lower one.
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

// Outcome is how a request ended. It is reported to callers whose request did not
// succeed, and recorded in the log for orders.
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
	// HourlyPrice is the price of one hour.
	HourlyPrice MicroCents `json:"hourly"`
	// Leaves is when a leaving instance is terminated; zero if not leaving.
	Leaves time.Time `json:"leaves,omitzero"`
	// Tag is the tag of the request that started the instance, if any.
	Tag string `json:"tag,omitempty"`
}

// Ref returns the ID and incarnation of the instance.
func (i Instance) Ref() InstanceRef {
	return InstanceRef{ID: i.ID, Incarnation: i.Incarnation}
}

// InstanceRef identifies one incarnation of an instance.
type InstanceRef struct {
	ID          InstanceID
	Incarnation Incarnation
}
