package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

// Limits of what is read from an engine.
const (
	// initialFrameBytes is the initial size of the frame buffer, enough for a usual
	// frame. It grows up to maxFrameBytes.
	initialFrameBytes = 1 << 10
	maxFrameBytes     = 1 << 20
	maxFailureBytes   = 64 << 10
	maxResultBytes    = 8 << 20
	// noLimit is for exported KV caches, which have any length.
	noLimit = math.MaxInt64 - 1
)

// errResultTooLong reports a result that exceeds its limit.
var errResultTooLong = errors.New("result exceeds the size limit")

// Engine is the client of one model engine.
type Engine struct {
	Instance fleet.Instance
	// GenerateFunc passes the frames of a response to emit until the last frame, an
	// error, or an error of emit. Ending the context cancels the stream.
	GenerateFunc func(ctx context.Context, g engine.GenerateRequest, emit func(engine.Frame) error) error
	// CancelFunc cancels a request on the engine.
	CancelFunc func(ctx context.Context, id fleet.RequestID) error
	// LoadFunc returns the engine's load report.
	LoadFunc func(ctx context.Context) (engine.Load, error)
	// EventsFunc returns the cache events from a sequence number on.
	EventsFunc func(ctx context.Context, from uint64) ([]engine.CacheEvent, error)
	// ExportFunc and ImportFunc move the KV cache of a request between engines.
	ExportFunc func(ctx context.Context, e engine.ExportRequest) (engine.KVCache, error)
	ImportFunc func(ctx context.Context, cache engine.KVCache) error
	// CommandFunc sets a desired state of the engine.
	CommandFunc func(ctx context.Context, c engine.Command) error
}

// DialEngine returns a client of the engine on an instance.
func DialEngine(i fleet.Instance, client *http.Client) *Engine {
	c := &engineClient{instance: i, client: client}
	return &Engine{
		Instance:     i,
		GenerateFunc: c.generate,
		CancelFunc: func(ctx context.Context, id fleet.RequestID) error {
			return c.call(ctx, http.MethodDelete, engine.GeneratePath+"/"+url.PathEscape(string(id)), nil, nil)
		},
		LoadFunc: func(ctx context.Context) (l engine.Load, err error) {
			err = c.call(ctx, http.MethodGet, engine.LoadPath, nil, &l)
			return l, err
		},
		EventsFunc: func(ctx context.Context, from uint64) (events []engine.CacheEvent, err error) {
			err = c.call(ctx, http.MethodGet, engine.EventsPath+"?from="+strconv.FormatUint(from, 10), nil, &events)
			return events, err
		},
		ExportFunc: func(ctx context.Context, e engine.ExportRequest) (cache engine.KVCache, err error) {
			err = c.callFenced(ctx, http.MethodPost, engine.ExportPath, 0, e, &cache, noLimit)
			return cache, err
		},
		ImportFunc: func(ctx context.Context, cache engine.KVCache) error {
			return c.call(ctx, http.MethodPost, engine.ImportPath, cache, nil)
		},
		CommandFunc: func(ctx context.Context, cmd engine.Command) error {
			return c.callFenced(ctx, http.MethodPost, engine.CommandPath, cmd.Fence, cmd, nil, maxResultBytes)
		},
	}
}

type engineClient struct {
	instance fleet.Instance
	client   *http.Client
}

func (c *engineClient) do(ctx context.Context, method, path string, fence fleet.Fence, body any) (res *http.Response, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return nil, &NotStartedError{Instance: c.instance.ID, Cause: err}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.instance.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &NotStartedError{Instance: c.instance.ID, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if fence > 0 {
		req.Header.Set(engine.FenceHeader, strconv.FormatUint(uint64(fence), 10))
	}
	res, err = c.client.Do(req)
	if err != nil {
		return nil, transportError(c.instance.ID, err)
	}
	if err := forward.CheckHead(res); err != nil {
		return nil, errors.CombineErrors(&NotFinishedError{Instance: c.instance.ID, Cause: err}, res.Body.Close())
	}
	if res.StatusCode/100 == 2 {
		return res, nil
	}
	return nil, errors.CombineErrors(c.responseError(res), res.Body.Close())
}

// responseError returns the error for a response that is not a success. The request
// counts as started unless the body says otherwise.
func (c *engineClient) responseError(res *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(res.Body, maxFailureBytes))
	f := engine.Failure{Started: true}
	if err := json.Unmarshal(data, &f); err != nil {
		f.Error = http.StatusText(res.StatusCode)
	}
	status := &StatusError{Code: res.StatusCode, Message: f.Error}
	if !f.Started {
		return &NotStartedError{Instance: c.instance.ID, Cause: status}
	}
	return &NotFinishedError{Instance: c.instance.ID, Cause: status}
}

func (c *engineClient) call(ctx context.Context, method, path string, body, result any) error {
	return c.callFenced(ctx, method, path, 0, body, result, maxResultBytes)
}

// callFenced makes a call with a fencing number, or without one if it is 0. It reads a result
// of limit bytes at most.
func (c *engineClient) callFenced(ctx context.Context, method, path string, fence fleet.Fence, body, result any, limit int64) (err error) {
	res, err := c.do(ctx, method, path, fence, body)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	if result == nil {
		return nil
	}
	limited := &io.LimitedReader{R: res.Body, N: limit + 1}
	err = json.NewDecoder(limited).Decode(result)
	if limited.N <= 0 {
		err = errResultTooLong
	}
	return errors.Wrap(err, "decode response of engine")
}

func (c *engineClient) generate(ctx context.Context, g engine.GenerateRequest, emit func(engine.Frame) error) (err error) {
	res, err := c.do(ctx, http.MethodPost, engine.GeneratePath, g.Fence, g)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, res.Body.Close()) }()
	for event, err := range Events(res.Body) {
		if err != nil {
			return &NotFinishedError{Instance: c.instance.ID, Cause: err}
		}
		var f engine.Frame
		if err := json.Unmarshal(event, &f); err != nil {
			return &NotFinishedError{Instance: c.instance.ID, Cause: err}
		}
		if err := emit(f); err != nil {
			return err
		}
		if f.Done {
			return nil
		}
	}
	return &NotFinishedError{Instance: c.instance.ID, Cause: io.ErrUnexpectedEOF}
}

// Events iterates over the data of the server-sent events in r, until its end or an
// error. Every data line counts as one event. A yielded slice is valid until the next
// iteration.
func Events(r io.Reader) func(yield func([]byte, error) bool) {
	return func(yield func([]byte, error) bool) {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(make([]byte, 0, initialFrameBytes), maxFrameBytes)
		for scanner.Scan() {
			data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
			if ok && !yield(bytes.TrimSpace(data), nil) {
				return
			}
		}
		if err := scanner.Err(); err != nil {
			yield(nil, err)
		}
	}
}
