package replay

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
)

// host is an instance with a simulated engine. Prefills run one after the other,
// and the time per token increases with the number of running requests.
type host struct {
	instance fleet.Instance
	model    EngineModel
	cache    *simplelru.LRU[uint64, struct{}]
	running  map[*job]struct{}
	waiting  []*job
	// prefillBusyUntil is when the last scheduled prefill ends, exportBusyUntil
	// when the last scheduled export of KV cache ends.
	prefillBusyUntil time.Duration
	exportBusyUntil  time.Duration
	leaving          bool
	terminated       bool
	// terminatedAt is when the instance was terminated; it is paid for until then.
	terminatedAt time.Duration
	// unreadEvents are the cache events since the last report.
	unreadEvents []engine.CacheEvent
	nextSequence uint64
}

// job is a request in progress.
type job struct {
	request *Request
	node    *node
	host    *host
	// emitted is the number of tokens that earlier attempts have delivered to the
	// caller.
	emitted fleet.Tokens
	// firstToken is when the caller receives the first token, negative if not
	// known yet.
	firstToken time.Duration
	// importedTokens is the number of tokens whose KV cache is imported by the
	// next host.
	importedTokens fleet.Tokens
	// decodeStart is when the current host emits its first token, negative while
	// the job waits. tokenTime is the time between tokens there.
	decodeStart time.Duration
	tokenTime   time.Duration
	// attempt counts the starts, so that events of earlier attempts are ignored.
	attempt int
	// moved reports whether the job left its last host by a move and not by a
	// termination.
	moved bool
}

func newHost(i fleet.Instance, m EngineModel) *host {
	h := &host{instance: i, model: m, running: make(map[*job]struct{})}
	h.cache, _ = simplelru.NewLRU(m.CacheBlocks, func(hash uint64, _ struct{}) { h.recordEvent(engine.CacheEvicted, hash) })
	return h
}

// recordEvent adds a cache event for the next report.
func (h *host) recordEvent(c engine.CacheChange, hash uint64) {
	h.unreadEvents = append(h.unreadEvents, engine.CacheEvent{Sequence: h.nextSequence, Change: c, Prefix: hash, Tokens: prefix.BlockTokens})
	h.nextSequence++
}

// cachePrompt caches all blocks of a prompt and returns the length of the prefix
// that was cached before.
func (h *host) cachePrompt(hashes []uint64) (cached fleet.Tokens) {
	prefixCached := true
	for _, hash := range hashes {
		_, ok := h.cache.Get(hash)
		prefixCached = prefixCached && ok
		if prefixCached {
			cached += prefix.BlockTokens
		}
		if !ok {
			h.cache.Add(hash, struct{}{})
			h.recordEvent(engine.CacheStored, hash)
		}
	}
	return cached
}

// requestCount is the number of requests in a load report.
func (h *host) requestCount() int { return len(h.running) + len(h.waiting) }

// delivered returns the number of tokens that the caller has received by a time.
func (j *job) delivered(now time.Duration) fleet.Tokens {
	if j.decodeStart < 0 || now < j.decodeStart {
		return j.emitted
	}
	return min(j.request.OutputTokens, j.emitted+1+fleet.Tokens((now-j.decodeStart)/j.tokenTime))
}
