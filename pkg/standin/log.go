package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
)

// Log is a stand-in for the platform's log. The zero value is an empty log in the
// state StateUp.
type Log struct {
	// Retention is how long entries are kept; 0 keeps them without limit.
	Retention time.Duration
	// Delay is added to every append.
	Delay time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	state   State
	streams map[platform.StreamName]*logStream
	appends int
}

type logStream struct {
	oldest  fleet.Offset
	entries []platform.Entry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Set sets the state.
func (l *Log) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
}

// State returns the state.
func (l *Log) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == "" {
		return StateUp
	}
	return l.state
}

// Appends returns the number of appended entries.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// stream returns a stream and creates it if needed. The caller must hold the
// lock.
func (l *Log) stream(name platform.StreamName) *logStream {
	if l.streams == nil {
		l.streams = make(map[platform.StreamName]*logStream)
	}
	s := l.streams[name]
	if s == nil {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Put appends an entry, whatever the state is.
func (l *Log) Put(name platform.StreamName, data []byte) fleet.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.oldest + fleet.Offset(len(s.entries))
	s.entries = append(s.entries, platform.Entry{Offset: offset, Time: l.now(), Data: data})
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// DropBefore drops the entries with an offset below the given one.
func (l *Log) DropBefore(name platform.StreamName, below fleet.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).dropBefore(below)
}

func (s *logStream) dropBefore(below fleet.Offset) {
	for len(s.entries) > 0 && s.oldest < below {
		s.entries = s.entries[1:]
		s.oldest++
	}
}

func (l *Log) expire(s *logStream) {
	if l.Retention == 0 {
		return
	}
	earliest := l.now().Add(-l.Retention)
	for len(s.entries) > 0 && s.entries[0].Time.Before(earliest) {
		s.dropBefore(s.oldest + 1)
	}
}

var (
	errDown = errors.New("the stand-in is down")
	errLost = errors.New("the response was lost")
)

// Client returns a client that calls the log directly, without HTTP.
func (l *Log) Client() *platform.Log {
	return &platform.Log{AppendFunc: l.append, ReadFunc: l.read}
}

func (l *Log) append(ctx context.Context, name platform.StreamName, data []byte) (fleet.Offset, error) {
	state := l.State()
	if state == StateDown {
		return 0, &platform.NotExecutedError{Service: "log", Cause: errDown}
	}
	if err := l.pause(ctx, state, l.Delay); err != nil {
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: err}
	}
	offset := l.Put(name, data)
	if state == StateLost {
		return 0, &platform.UnknownOutcomeError{Service: "log", Cause: errLost}
	}
	return offset, nil
}

func (l *Log) pause(ctx context.Context, state State, delay time.Duration) error {
	if state == StateSlow {
		delay += SlowDelay
	}
	if delay == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) read(ctx context.Context, name platform.StreamName, from fleet.Offset, limit int, maxWait time.Duration) (platform.Page, error) {
	state := l.State()
	if state == StateDown {
		return platform.Page{}, &platform.NotExecutedError{Service: "log", Cause: errDown}
	}
	if err := l.pause(ctx, state, 0); err != nil {
		return platform.Page{}, err
	}
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	for {
		page, appended, err := l.page(name, from, limit)
		if err != nil || len(page.Entries) > 0 || maxWait == 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			maxWait = 0
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (l *Log) page(name platform.StreamName, from fleet.Offset, limit int) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	next := s.oldest + fleet.Offset(len(s.entries))
	page := platform.Page{Oldest: s.oldest, Next: next}
	if from < s.oldest {
		return page, s.appended, &platform.OffsetExpiredError{Stream: name, From: from, Oldest: s.oldest}
	}
	if from < next {
		available := s.entries[from-s.oldest:]
		page.Entries = available[:min(limit, len(available))]
	}
	return page, s.appended, nil
}

// Handler returns the HTTP handler of the log.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/entries", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		offset, err := l.append(r.Context(), platform.StreamName(r.PathValue("stream")), data)
		if err != nil {
			writeLogError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, struct {
			Offset fleet.Offset `json:"offset"`
		}{offset})
	})
	mux.HandleFunc("GET /v1/streams/{stream}/entries", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		limit, _ := strconv.Atoi(q.Get("limit"))
		maxWait, _ := time.ParseDuration(q.Get("wait"))
		page, err := l.read(r.Context(), platform.StreamName(r.PathValue("stream")), fleet.Offset(from), limit, maxWait)
		if err != nil {
			writeLogError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, page)
	})
	return mux
}

// writeLogError writes the response to a failed request: status 410 for an expired
// offset and 503 for a request that was not executed. It aborts the connection
// without a response if the request may have been executed.
func writeLogError(w http.ResponseWriter, _ *http.Request, err error) {
	var expired *platform.OffsetExpiredError
	if errors.As(err, &expired) {
		writeJSON(w, http.StatusGone, struct {
			Error  string       `json:"error"`
			Oldest fleet.Offset `json:"oldest"`
		}{err.Error(), expired.Oldest})
		return
	}
	if !platform.MayHaveExecuted(err) {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	panic(http.ErrAbortHandler)
}
