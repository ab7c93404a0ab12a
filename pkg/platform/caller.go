package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// maxAnswer bounds the answer that is read from a platform service, in bytes.
const maxAnswer = 64 << 20

// StatusError reports an answer of a platform service that is not a success.
type StatusError struct {
	Service string
	Code    int
	Message string `json:"error"`
	// Oldest is the lowest offset kept, with status 410 of the log.
	Oldest fleet.Offset `json:"oldest"`
	// RetryAfter is what the answer's header says, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Service, e.Code, e.Message)
}

// caller makes JSON calls to one platform service.
type caller struct {
	service string
	base    string
	token   string
	client  *http.Client
}

// call sends a body and decodes the answer. A refused connection and the
// statuses 400 to 499 and 503 mean that the call had no effect.
func (c *caller) call(ctx context.Context, method, path string, body []byte, answer any) (err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &NotExecutedError{Service: c.service, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.client.Do(req)
	if err != nil {
		return c.failed(err)
	}
	defer func() {
		err = errors.CombineErrors(err, res.Body.Close())
	}()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return &UnknownOutcomeError{Service: c.service, Cause: err}
	}
	if res.StatusCode/100 != 2 {
		return c.refused(res, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return &UnknownOutcomeError{Service: c.service, Cause: err}
	}
	return nil
}

func (c *caller) failed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotExecutedError{Service: c.service, Cause: err}
	}
	return &UnknownOutcomeError{Service: c.service, Cause: err}
}

func (c *caller) refused(res *http.Response, data []byte) error {
	code := res.StatusCode
	status := &StatusError{}
	if err := json.Unmarshal(data, status); err != nil {
		status.Message = http.StatusText(code)
	}
	status.Service, status.Code = c.service, code
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		status.RetryAfter = time.Duration(seconds) * time.Second
	}
	if code/100 == 4 || code == http.StatusServiceUnavailable {
		return &NotExecutedError{Service: c.service, Cause: status}
	}
	return &UnknownOutcomeError{Service: c.service, Cause: status}
}
