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

// Engine is a stand-in for a model engine. Each token of a response is a function
// of the prompt and the position, so a response that another engine continues is
// the same. The zero value is ready to use and has no delays.
type Engine struct {
	// TokenTime is the time per generated token, PromptTokenTime the time per
	// prompt token that is not cached.
	TokenTime       time.Duration
	PromptTokenTime time.Duration
	// Slots is the number of slots in the load report. The engine does not limit its
	// concurrent requests to it.
	Slots int
	// Fenced makes the engine refuse commands with a fencing number below the
	// highest one that it has received.
	Fenced bool
	// ResponseLength is the number of tokens of a response; 0 derives it from the
	// prompt.
	ResponseLength int
	// MaxCacheBlocks is the maximum number of blocks in the prefix cache; 0 means 4096.
	MaxCacheBlocks int
	FaultState     FaultState
	// Lag is the maximum age of the load report.
	Lag time.Duration
	// OnCrash is called when a prompt crashes the engine. The callee must close the
	// engine's server. It may be nil.
	OnCrash func()

	mu         sync.Mutex
	crashTexts []string
	crashed    bool
	running    map[fleet.RequestID]context.CancelFunc
	cache      map[uint64]bool
	// blocks are the blocks in the cache, oldest first.
	blocks  []uint64
	events  []engine.CacheEvent
	fence   fleet.Fence
	version string
	model   string
	role    string
	cancels int
	// importedTokens is the number of tokens that were imported for each request.
	importedTokens map[fleet.RequestID]fleet.Tokens
	// cachedTokens is the number of tokens of each request in the KV cache.
	cachedTokens map[fleet.RequestID]int
	// report is the load at the time reportedAt.
	report     engine.Load
	reportedAt time.Time
}

// CrashOn makes the engine crash on prompts that contain the text.
func (e *Engine) CrashOn(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashTexts = append(e.crashTexts, text)
}

// Running returns the number of running requests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Cancels returns the number of streams that ended before their last frame was
// sent.
func (e *Engine) Cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancels
}

// ResponseToken returns the token at a position of the response to a prompt.
func ResponseToken(prompt string, position int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, position)
	return words[h.Sum64()%uint64(len(words))] + " "
}

var words = strings.Fields("the cart stall morning rent flower market tooth letter moon river small bright paper gate seller plum coin night tale")

// Response returns the complete response to a prompt.
func Response(prompt string, length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(ResponseToken(prompt, i))
	}
	return b.String()
}

// ResponseLength returns the number of tokens of the response to a prompt.
func ResponseLength(prompt string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return 16 + int(h.Sum64()%32)
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.GeneratePath, e.generate)
	mux.HandleFunc("DELETE "+engine.GeneratePath+"/{id}", e.cancel)
	mux.HandleFunc("GET "+engine.LoadPath, e.load)
	mux.HandleFunc("GET "+engine.EventsPath, e.listEvents)
	mux.HandleFunc("POST "+engine.ExportPath, e.export)
	mux.HandleFunc("POST "+engine.ImportPath, e.importKV)
	mux.HandleFunc("POST "+engine.CommandPath, e.command)
	return e.FaultState.applyState(mux, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusServiceUnavailable, engine.Failure{Error: "not started"})
	})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g engine.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.addRequest(g, cancel) {
		panic(http.ErrAbortHandler)
	}
	defer e.removeRequest(g.ID)
	e.stream(ctx, w, g)
}

// addRequest adds a running request. It returns false if the engine has crashed
// or if the prompt crashes it.
func (e *Engine) addRequest(g engine.GenerateRequest, cancel context.CancelFunc) bool {
	e.mu.Lock()
	crashes := e.crashed
	for _, text := range e.crashTexts {
		crashes = crashes || strings.Contains(g.Prompt, text)
	}
	if crashes {
		firstCrash := !e.crashed
		e.crashed = true
		e.mu.Unlock()
		if firstCrash && e.OnCrash != nil {
			e.OnCrash()
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

func (e *Engine) removeRequest(id fleet.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, g engine.GenerateRequest) {
	length := e.ResponseLength
	if length == 0 {
		length = ResponseLength(g.Prompt)
	}
	reason := engine.FinishStop
	if int(g.Max) < length {
		length, reason = int(g.Max), engine.FinishLength
	}
	promptTokens := fleet.Tokens(len(g.Prompt)/4 + 1)
	cached := e.lookUpPrefix(g, promptTokens)
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	uncached := promptTokens + fleet.Tokens(len(g.Emitted)) - cached
	if !wait(ctx, e.PromptTokenTime*time.Duration(uncached)) {
		e.recordCancel()
		return
	}
	for i := len(g.Emitted); i < length; i++ {
		if !wait(ctx, e.TokenTime) || !writeFrame(w, controller, engine.Frame{Attempt: g.Attempt, Position: i, Text: ResponseToken(g.Prompt, i)}) {
			e.recordCancel()
			return
		}
		e.recordProgress(g.ID, int(promptTokens)+i+1)
	}
	writeFrame(w, controller, engine.Frame{
		Attempt:  g.Attempt,
		Position: max(length, len(g.Emitted)),
		Done:     true,
		Reason:   reason,
		Prompt:   promptTokens,
		Cached:   cached,
	})
}

// writeFrame sends a frame as a server-sent event. It reports whether the write
// succeeded.
func writeFrame(w http.ResponseWriter, controller *http.ResponseController, f engine.Frame) bool {
	data, err := json.Marshal(f)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// wait waits for a duration. It returns false if the context ends first.
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

func (e *Engine) recordCancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancels++
}

// recordProgress records how many tokens of a request, including its prompt, are
// in the KV cache.
func (e *Engine) recordProgress(id fleet.RequestID, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cachedTokens == nil {
		e.cachedTokens = make(map[fleet.RequestID]int)
	}
	e.cachedTokens[id] = tokens
}

// lookUpPrefix returns the number of tokens of a request that are in the prefix cache
// or were imported. It stores the blocks of the prompt in the prefix cache.
func (e *Engine) lookUpPrefix(g engine.GenerateRequest, promptTokens fleet.Tokens) (cached fleet.Tokens) {
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
	if n, ok := e.importedTokens[g.ID]; ok {
		return max(cached, min(promptTokens+fleet.Tokens(len(g.Emitted)), n))
	}
	return cached
}

// store adds a block to the cache and evicts the oldest block if the cache is
// full. The caller must hold the lock.
func (e *Engine) store(block uint64) {
	if e.cache[block] {
		return
	}
	maxBlocks := e.MaxCacheBlocks
	if maxBlocks == 0 {
		maxBlocks = 4096
	}
	if len(e.blocks) >= maxBlocks {
		e.recordEvent(engine.CacheEvicted, e.blocks[0])
		delete(e.cache, e.blocks[0])
		e.blocks = e.blocks[1:]
	}
	e.cache[block] = true
	e.blocks = append(e.blocks, block)
	e.recordEvent(engine.CacheStored, block)
}

func (e *Engine) recordEvent(change engine.CacheChange, block uint64) {
	e.events = append(e.events, engine.CacheEvent{
		Sequence: uint64(len(e.events)),
		Change:   change,
		Prefix:   block,
		Tokens:   prefix.BlockTokens,
	})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cancelRequest := e.running[fleet.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if cancelRequest != nil {
		cancelRequest()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.Lag {
		e.reportedAt = now
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
	var request engine.ExportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, ok := e.cachedTokens[request.ID]
	if !ok {
		writeJSON(w, http.StatusNotFound, engine.Failure{Error: "no such request"})
		return
	}
	writeJSON(w, http.StatusOK, engine.KVCache{ID: request.ID, Tokens: fleet.Tokens(tokens)})
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var cache engine.KVCache
	if err := json.NewDecoder(r.Body).Decode(&cache); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Failure{Error: err.Error()})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.importedTokens == nil {
		e.importedTokens = make(map[fleet.RequestID]fleet.Tokens)
	}
	e.importedTokens[cache.ID] = cache.Tokens
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

// Version returns the version that the last version command set.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
