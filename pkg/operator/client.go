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

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 64 << 20

// Client calls the operators' interface of one node.
type Client struct {
	// Address is the base URL of the node's operators' side.
	Address string
	Token   string
	// HTTP makes the calls; nil takes the default client.
	HTTP *http.Client
}

// UnreachableError reports a call without a whole answer. The node may have
// carried out the call.
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

// AnswerError reports an answer that is not a success.
type ResponseError struct {
	Address string
	Status  int
	Failure operate.Failure
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("node %s answers %d: %s", e.Address, e.Status, e.Failure.Error)
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

// Publish asks to put a document in force.
func (c *Client) Publish(ctx context.Context, p operate.Publish) (done operate.Published, err error) {
	err = c.call(ctx, http.MethodPost, operate.ConfigPath, p, &done)
	return done, err
}

// Outcome returns what became of a published change.
func (c *Client) Outcome(ctx context.Context, id record.ID) (o operate.Outcome, err error) {
	err = c.call(ctx, http.MethodGet, operate.ChangePath+"/"+id.String(), nil, &o)
	return o, err
}

// Status returns what the node knows of itself and the fleet.
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

// Burn returns what the node has counted for the report on service-level burn.
func (c *Client) Burn(ctx context.Context) (a burn.NodeReport, err error) {
	err = c.call(ctx, http.MethodGet, operate.BurnPath, nil, &a)
	return a, err
}

// Suspects returns the contents that crashed endpoints.
func (c *Client) Suspects(ctx context.Context) (list []operate.Suspect, err error) {
	err = c.call(ctx, http.MethodGet, operate.SuspectPath, nil, &list)
	return list, err
}

// Release lifts the suspicion of, or the conviction on, a content.
func (c *Client) Release(ctx context.Context, content string) error {
	var done string
	return c.call(ctx, http.MethodDelete, operate.SuspectPath+"/"+url.PathEscape(content), nil, &done)
}

// call makes one call and decodes its answer. The error is an
// *UnreachableError or an *AnswerError.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) (err error) {
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
	if err := json.Unmarshal(data, answer); err != nil {
		return &UnreachableError{Address: c.Address, Cause: errors.Wrap(err, "the answer is not that of a node's operators' address")}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body any) (status int, data []byte, err error) {
	var raw []byte
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Address, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client().Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	data, err = io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return res.StatusCode, data, err
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
