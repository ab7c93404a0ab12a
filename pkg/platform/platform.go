// Package platform holds the clients of the platform's services: the log, the
// instance list, the cloud and the weight store. Each client is a concrete type
// whose function fields are its seams; Dial functions fill them with calls over
// HTTP, tests and stand-ins with their own.
package platform

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// StreamName names a stream of the log.
type StreamName string

// The streams that the system keeps.
const (
	StreamConfig  StreamName = "config"
	StreamCharge  StreamName = "charge"
	StreamLease   StreamName = "lease"
	StreamSuspect StreamName = "suspect"
)

// OrderStream returns the name of a partition of the order stream.
func OrderStream(partition int) StreamName {
	return StreamName(fmt.Sprintf("order.%d", partition))
}

// NotSentError reports a call that certainly had no effect.
type NotExecutedError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("%s took no call: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *NotExecutedError) Unwrap() error { return e.Cause }

// UnsureError reports a call that may or may not have had its effect.
type UnknownOutcomeError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s gave no answer, the call may have had its effect: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// LapsedError reports a read from an offset that is no longer kept.
type OffsetExpiredError struct {
	Stream StreamName
	From   fleet.Offset
	Oldest fleet.Offset
}

// Error implements error.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("stream %s keeps offsets from %d, not %d", e.Stream, e.Oldest, e.From)
}

// Sent reports whether a failed call may have had its effect.
func MayHaveExecuted(err error) bool {
	var not *NotExecutedError
	return err != nil && !errors.As(err, &not)
}

// Entry is one append in a stream.
type Entry struct {
	Offset fleet.Offset `json:"offset"`
	Time   time.Time    `json:"time"`
	Data   []byte       `json:"data"`
}

// Page is the answer of a read.
type Page struct {
	// Oldest is the lowest offset kept, Next the one that the next append takes.
	Oldest  fleet.Offset `json:"oldest"`
	Next    fleet.Offset `json:"next"`
	Entries []Entry      `json:"entries"`
}
