// Package platform contains the clients of the platform's services: the log, the
// instance list and the cloud. Each client is a concrete type with function
// fields. The Dial functions set them to HTTP calls; tests and stand-ins set them
// to other implementations.
package platform

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// StreamName is the name of a stream of the log.
type StreamName string

// The streams that the system writes.
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

// NotExecutedError reports a call that certainly had no effect.
type NotExecutedError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *NotExecutedError) Error() string {
	return fmt.Sprintf("%s did not execute the call: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *NotExecutedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a call that may or may not have taken effect.
type UnknownOutcomeError struct {
	Service string
	Cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s gave no usable response, the call may have taken effect: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// OffsetExpiredError reports a read from an offset that is no longer retained.
type OffsetExpiredError struct {
	Stream StreamName
	From   fleet.Offset
	Oldest fleet.Offset
}

// Error implements error.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("stream %s starts at offset %d, offset %d has expired", e.Stream, e.Oldest, e.From)
}

// MayHaveExecuted reports whether a failed call may have taken effect.
func MayHaveExecuted(err error) bool {
	var notExecuted *NotExecutedError
	return err != nil && !errors.As(err, &notExecuted)
}

// Entry is one entry of a stream.
type Entry struct {
	Offset fleet.Offset `json:"offset"`
	Time   time.Time    `json:"time"`
	Data   []byte       `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// Oldest is the oldest retained offset, Next the offset of the next append.
	Oldest  fleet.Offset `json:"oldest"`
	Next    fleet.Offset `json:"next"`
	Entries []Entry      `json:"entries"`
}
