package record

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Kinds of record in the suspect stream, in addition to suspect and convict.
const (
	KindTrial Kind = "trial"
	KindClear Kind = "clear"
)

// Suspect records that a content was in flight on an endpoint that crashed. With
// an empty instance it marks the content as suspect without a crash.
type Suspect struct {
	Content  fleet.Digest      `cbor:"1,keyasint"`
	Pool     fleet.PoolName    `cbor:"2,keyasint"`
	Instance fleet.InstanceRef `cbor:"3,keyasint"`
}

// Trial claims the right to run a suspect content alone on one endpoint.
type Trial struct {
	Content  fleet.Digest      `cbor:"1,keyasint"`
	Instance fleet.InstanceRef `cbor:"2,keyasint"`
	Node     fleet.NodeRef     `cbor:"3,keyasint"`
	// Window is how long the claim is valid, in log time.
	Window time.Duration `cbor:"4,keyasint"`
	// Limit is the maximum number of open trials in the pool.
	Limit int `cbor:"5,keyasint"`
}

// ClearReason is the reason of a Clear record.
type ClearReason string

// The reasons of a Clear record.
const (
	// ClearFinished means that the content ran to completion.
	ClearFinished ClearReason = "finished"
	// ClearAbandoned means that a trial ended without a result; the content stays
	// suspect.
	ClearAbandoned ClearReason = "abandoned"
	// ClearOperator means that an operator released the content; this also ends a
	// quarantine.
	ClearOperator ClearReason = "operator"
)

// Clear removes the suspicion or quarantine of a content, or ends its trial.
type Clear struct {
	Content fleet.Digest `cbor:"1,keyasint"`
	Reason  ClearReason  `cbor:"2,keyasint"`
}
