package record

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// The further kinds of record of the suspect stream.
const (
	KindTrial Kind = "trial"
	KindClear Kind = "clear"
)

// Suspect says that a content was in flight on an endpoint that crashed. With
// an empty instance it opens a case without a crash.
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
	// Window is how long the claim holds, in log time.
	Window time.Duration `cbor:"4,keyasint"`
	// Limit bounds the trials of the pool that are open at once.
	Limit int `cbor:"5,keyasint"`
}

// ClearReason says why a content is no longer suspect.
type ClearReason string

// The reasons for which a content is cleared.
const (
	// ClearFinished: the content ran to its end.
	ClearFinished ClearReason = "finished"
	// ClearAbandoned: a trial ended without a result; the content stays suspect.
	ClearAbandoned ClearReason = "abandoned"
	// ClearOperator: an operator released it; this also lifts a conviction.
	ClearOperator ClearReason = "operator"
)

// Clear removes a content from the suspects, or ends its trial.
type Clear struct {
	Content fleet.Digest `cbor:"1,keyasint"`
	Reason  ClearReason  `cbor:"2,keyasint"`
}
