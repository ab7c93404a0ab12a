package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/burn"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// Client calls the operators' interface of one node.
type Client struct {
	// Address is the base URL of the node's operators' interface.
	Address string
	Token   string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// UnreachableError reports a call without a complete, valid response. The node may
// have executed the call.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("node %s does not answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ResponseError reports a response with a status other than 200.
type ResponseError struct {
	Address string
	Status  int
	Failure operate.Failure
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("node %s responded with status %d: %s", e.Address, e.Status, e.Failure.Error)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (change config.Change, err error) {
	err = c.call(ctx, http.MethodGet, operate.ConfigPath, nil, &change)
	return change, err
}

// History returns the changes that the node keeps, oldest first.
func (c *Client) History(ctx context.Context) (changes []config.Change, err error) {
	err = c.call(ctx, http.MethodGet, operate.HistoryPath, nil, &changes)
	return changes, err
}

// Publish requests that a document is put in force as the configuration.
func (c *Client) Publish(ctx context.Context, p operate.Publish) (result operate.Published, err error) {
	err = c.call(ctx, http.MethodPost, operate.ConfigPath, p, &result)
	return result, err
}

// Outcome returns the outcome of a published change.
func (c *Client) Outcome(ctx context.Context, id record.ID) (o operate.Outcome, err error) {
	err = c.call(ctx, http.MethodGet, operate.ChangePath+"/"+id.String(), nil, &o)
	return o, err
}

// Status returns the status of the node and of the fleet as the node sees it.
func (c *Client) Status(ctx context.Context) (s operate.Status, err error) {
	err = c.call(ctx, http.MethodGet, operate.StatusPath, nil, &s)
	return s, err
}

// Order returns the state of a keyed request.
func (c *Client) Order(ctx context.Context, ref fleet.KeyRef) (s edge.State, err error) {
	path := operate.OrderPath + "/" + url.PathEscape(string(ref.Account)) + "/" + url.PathEscape(string(ref.Key))
	err = c.call(ctx, http.MethodGet, path, nil, &s)
	return s, err
}

// Bill returns the charges and costs.
func (c *Client) Bill(ctx context.Context) (b operate.Bill, err error) {
	err = c.call(ctx, http.MethodGet, operate.BillPath, nil, &b)
	return b, err
}

// Burn returns the node's counts for the service-level burn report.
func (c *Client) Burn(ctx context.Context) (report burn.NodeReport, err error) {
	err = c.call(ctx, http.MethodGet, operate.BurnPath, nil, &report)
	return report, err
}

// Suspects returns the contents that are suspect or quarantined because endpoints
// crashed on them.
func (c *Client) Suspects(ctx context.Context) (list []operate.Suspect, err error) {
	err = c.call(ctx, http.MethodGet, operate.SuspectPath, nil, &list)
	return list, err
}

// Release removes the suspicion or quarantine of a content.
func (c *Client) Release(ctx context.Context, content string) error {
	var result string
	return c.call(ctx, http.MethodDelete, operate.SuspectPath+"/"+url.PathEscape(content), nil, &result)
}

// call makes one call and decodes the response into out. The error is an
// *UnreachableError or a *ResponseError.
func (c *Client) call(ctx context.Context, method, path string, body, out any) (err error) {
	status, data, err := c.send(ctx, method, path, body)
	if err != nil {
		return &UnreachableError{Address: c.Address, Cause: err}
	}
	if status != http.StatusOK {
		e := &ResponseError{Address: c.Address, Status: status}
		if json.Unmarshal(data, &e.Failure) != nil || e.Failure.Error == "" {
			e.Failure.Error = http.StatusText(status)
		}
		return e
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UnreachableError{Address: c.Address, Cause: errors.Wrap(err, "the response is not from a node's operators' interface")}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body any) (status int, data []byte, err error) {
	var payload []byte
	if body != nil {
		if payload, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Address, "/")+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.httpClient().Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	data, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, data, err
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
