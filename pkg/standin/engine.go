package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
)

// Engine is a stand-in of a model engine. Its answers are a function of the
// prompt and the position, so an answer continued elsewhere is the same answer.
// The zero value works, without delays.
type Engine struct {
	// TokenTime is the time a token takes, PromptTime that of a prompt's token
	// that is not cached.
	TokenTime  time.Duration
	PromptTime time.Duration
	Slots      int
	// Fenced refuses commands with a fencing number below the highest seen.
	Fenced bool
	// Length is how many tokens an answer has; 0 derives it from the prompt.
	Length int
	// CacheBlocks bounds the prefix cache; 0 takes 4096.
	CacheBlocks int
	Switch      Switch
	// Lag is how old the load report is.
	Lag time.Duration
	// Crash is called when a prompt crashes the engine; the caller closes it.
	Crash func()

	mu       sync.Mutex
	poison   []string
	crashed  bool
	running  map[fleet.RequestID]context.CancelFunc
	cache    map[uint64]bool
	age      []uint64
	events   []engine.CacheEvent
	fence    fleet.Fence
	version  string
	model    string
	role     string
	cancels  int
	imported map[fleet.RequestID]fleet.Tokens
	served   map[fleet.RequestID]int
	// report is the load as of the time reported.
	report   engine.Load
	reported time.Time
}

// Poison makes prompts that hold the text crash the engine.
func (e *Engine) Poison(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = append(e.poison, text)
}

// Running returns how many requests run.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Cancels returns how many streams ended before their last frame was sent.
func (e *Engine) Cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

// Text returns the token of an answer at a position.
func Text(prompt string, position int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, position)
	return words[h.Sum64()%uint64(len(words))] + " "
}

var words = strings.Fields("the cart stall morning rent flower market tooth letter moon river small bright paper gate seller plum coin night tale")

// Answer returns the whole answer to a prompt.
func Answer(prompt string, length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(Text(prompt, i))
	}
	return b.String()
}

// LengthOf returns how many tokens the stand-in's answer to a prompt has.
func LengthOf(prompt string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return 16 + int(h.Sum64()%32)
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.GeneratePath, e.generate)
	mux.HandleFunc("DELETE "+engine.GeneratePath+"/{id}", e.cancel)
	mux.HandleFunc("GET "+engine.LoadPath, e.load)
	mux.HandleFunc("GET "+engine.EventsPath, e.listEvents)
	mux.HandleFunc("POST "+engine.ExportPath, e.export)
	mux.HandleFunc("POST "+engine.ImportPath, e.importKV)
	mux.HandleFunc("POST "+engine.CommandPath, e.command)
	return e.Switch.guard(mux, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusServiceUnavailable, engine.Failure{Error: "not started"})
	})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g engine.Generate
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.enter(g, cancel) {
		panic(http.ErrAbortHandler)
	}
	defer e.leave(g.ID)
	e.stream(ctx, w, g)
}

// enter counts a request in; it reports false if the prompt crashes the engine.
func (e *Engine) enter(g engine.Generate, cancel context.CancelFunc) bool {
	e.mu.Lock()
	poisoned := e.crashed
	for _, p := range e.poison {
		poisoned = poisoned || strings.Contains(g.Prompt, p)
	}
	if poisoned {
		first := !e.crashed
		e.crashed = true
		e.mu.Unlock()
		if first && e.Crash != nil {
			e.Crash()
		}
		return false
	}
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = make(map[fleet.RequestID]context.CancelFunc)
	}
	e.running[g.ID] = cancel
	return true
}

func (e *Engine) leave(id fleet.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, g engine.Generate) {
	length := e.Length
	if length == 0 {
		length = LengthOf(g.Prompt)
	}
	reason := engine.FinishStop
	if int(g.Max) < length {
		length, reason = int(g.Max), engine.FinishLength
	}
	prompt := fleet.Tokens(len(g.Prompt)/4 + 1)
	cached := e.lookUp(g, prompt)
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	uncached := prompt + fleet.Tokens(len(g.Emitted)) - cached
	if !wait(ctx, e.PromptTime*time.Duration(uncached)) {
		e.cancelled()
		return
	}
	for i := len(g.Emitted); i < length; i++ {
		if !wait(ctx, e.TokenTime) || !send(w, control, engine.Frame{Attempt: g.Attempt, Position: i, Text: Text(g.Prompt, i)}) {
			e.cancelled()
			return
		}
		e.progress(g.ID, int(prompt)+i+1)
	}
	send(w, control, engine.Frame{
		Attempt:  g.Attempt,
		Position: max(length, len(g.Emitted)),
		Done:     true,
		Reason:   reason,
		Prompt:   prompt,
		Cached:   cached,
	})
}

func send(w http.ResponseWriter, control *http.ResponseController, f engine.Frame) bool {
	data, err := json.Marshal(f)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return control.Flush() == nil
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) cancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
}

// progress notes how many tokens of a request, prompt included, are in the KV
// cache.
func (e *Engine) progress(id fleet.RequestID, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.served == nil {
		e.served = make(map[fleet.RequestID]int)
	}
	e.served[id] = tokens
}

// lookUp returns how many tokens are cached and stores the prompt's blocks.
func (e *Engine) lookUp(g engine.Generate, prompt fleet.Tokens) (cached fleet.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache == nil {
		e.cache = make(map[uint64]bool)
	}
	hit := true
	for _, b := range prefix.BlockHashes(g.Prompt) {
		hit = hit && e.cache[b]
		if hit {
			cached += prefix.BlockTokens
		}
		e.store(b)
	}
	if n, ok := e.imported[g.ID]; ok {
		return max(cached, min(prompt+fleet.Tokens(len(g.Emitted)), n))
	}
	return cached
}

// store adds a block to the cache, evicting the oldest. The lock is held.
func (e *Engine) store(block uint64) {
	if e.cache[block] {
		return
	}
	limit := e.CacheBlocks
	if limit == 0 {
		limit = 4096
	}
	if len(e.age) >= limit {
		e.note(engine.CacheEvicted, e.age[0])
		delete(e.cache, e.age[0])
		e.age = e.age[1:]
	}
	e.cache[block] = true
	e.age = append(e.age, block)
	e.note(engine.CacheStored, block)
}

func (e *Engine) note(c engine.CacheChange, block uint64) {
	e.events = append(e.events, engine.CacheEvent{
		Sequence: uint64(len(e.events)),
		Change:   c,
		Prefix:   block,
		Tokens:   prefix.BlockTokens,
	})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	stop := e.running[fleet.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reported) >= e.Lag {
		e.reported = now
		e.report = engine.Load{
			Running: len(e.running),
			Slots:   e.Slots,
			Cache:   fleet.Tokens(len(e.cache)) * prefix.BlockTokens,
			Model:   e.model,
			Version: e.version,
			Role:    e.role,
		}
	}
	writeJSON(w, http.StatusOK, e.report)
}

func (e *Engine) listEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	events := e.events[min(from, uint64(len(e.events))):]
	writeJSON(w, http.StatusOK, events[:min(len(events), 4096)])
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var x engine.Export
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n, ok := e.served[x.ID]
	if !ok {
		writeJSON(w, http.StatusNotFound, engine.Failure{Error: "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, engine.Import{ID: x.ID, Tokens: fleet.Tokens(n)})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var i engine.Import
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.imported == nil {
		e.imported = make(map[fleet.RequestID]fleet.Tokens)
	}
	e.imported[i.ID] = i.Tokens
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var c engine.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && c.Fence < e.fence {
		writeJSON(w, http.StatusConflict, engine.Failure{Error: "old fencing number"})
		return
	}
	e.fence = max(e.fence, c.Fence)
	switch c.Kind {
	case engine.CommandModel:
		e.model = c.Value
	case engine.CommandVersion:
		e.version = c.Value
	case engine.CommandRole:
		e.role = c.Value
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// Version returns the version that the engine was commanded to serve.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
