package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// maxResponseBytes is the limit of a response that is read from a platform service.
const maxResponseBytes = 64 << 20

// StatusError reports an unsuccessful response of a platform service.
type StatusError struct {
	Service string
	Code    int
	Message string `json:"error"`
	// Oldest is the oldest retained offset, with status 410 of the log.
	Oldest fleet.Offset `json:"oldest"`
	// RetryAfter is the delay given by the Retry-After header, which counts whole
	// seconds.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d: %s", e.Service, e.Code, e.Message)
}

// jsonClient makes JSON calls to one platform service.
type jsonClient struct {
	service string
	baseURL string
	token   string
	client  *http.Client
}

// call sends a body and decodes the response. A failed dial and the statuses 400
// to 499 and 503 mean that the call had no effect.
func (c *jsonClient) call(ctx context.Context, method, path string, body []byte, response any) (err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return &NotExecutedError{Service: c.service, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.client.Do(req)
	if err != nil {
		return transportError(c.service, err)
	}
	defer func() {
		err = errors.CombineErrors(err, res.Body.Close())
	}()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return &UnknownOutcomeError{Service: c.service, Cause: err}
	}
	if res.StatusCode/100 != 2 {
		return c.statusError(res, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return &UnknownOutcomeError{Service: c.service, Cause: err}
	}
	return nil
}

func (c *jsonClient) statusError(res *http.Response, data []byte) error {
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
