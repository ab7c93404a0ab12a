// Package endpoint provides the clients of endpoints: model engines and plain
// services. A client consists of function fields, which tests replace; DialEngine and
// DialService set them to calls over HTTP.
package endpoint

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// NotStartedError reports a request that the endpoint certainly did not start. It may
// be sent to another endpoint.
type NotStartedError struct {
	Instance fleet.InstanceID
	Cause    error
}

// Error implements error.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("instance %s did not start the request: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// NotFinishedError reports a request that an endpoint started, or may have started,
// and did not finish.
type NotFinishedError struct {
	Instance fleet.InstanceID
	Cause    error
}

// Error implements error.
func (e *NotFinishedError) Error() string {
	return fmt.Sprintf("instance %s did not finish the request: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *NotFinishedError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP status of an endpoint that is not a success.
type StatusError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Code, e.Message) }

// NotStarted reports whether an error proves that no endpoint started the request.
func NotStarted(err error) bool {
	var e *NotStartedError
	return errors.As(err, &e)
}

// transportError wraps an error of the HTTP transport. Only a failed dial proves that
// nothing was sent.
func transportError(id fleet.InstanceID, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotStartedError{Instance: id, Cause: err}
	}
	return &NotFinishedError{Instance: id, Cause: err}
}
