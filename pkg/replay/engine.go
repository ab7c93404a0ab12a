package replay

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/prefix"
)

// host is an instance with a model of an engine: prompts are computed one after
// the other, and tokens come slower the more requests run.
type host struct {
	instance fleet.Instance
	model    Model
	cache    *simplelru.LRU[uint64, struct{}]
	running  map[*job]struct{}
	waiting  []*job
	// prompts is until when prompts are computed, exports until when the KV
	// cache of others is sent.
	prompts time.Duration
	exports time.Duration
	leaving bool
	gone    bool
	// started and ended bound the time that is paid for.
	ended time.Duration
	// events are the cache events that nobody has read yet.
	events   []engine.CacheEvent
	sequence uint64
}

// job is a request under way.
type job struct {
	request *Request
	node    *node
	host    *host
	// emitted counts the tokens that the caller has.
	emitted fleet.Tokens
	// first is when the caller got its first token; negative before.
	first time.Duration
	// imported is how much KV cache came along to the present host.
	imported fleet.Tokens
	// begin is when the present host gives its first token, pace the time
	// between tokens there; begin is negative while the job waits.
	begin time.Duration
	pace  time.Duration
	// attempt tells stale events.
	attempt int
	moved   bool
}

func newHost(i fleet.Instance, m Model) *host {
	h := &host{instance: i, model: m, running: make(map[*job]struct{})}
	h.cache, _ = simplelru.NewLRU(m.Blocks, func(hash uint64, _ struct{}) { h.note(engine.CacheEvicted, hash) })
	return h
}

func (h *host) note(c engine.CacheChange, hash uint64) {
	h.events = append(h.events, engine.CacheEvent{Sequence: h.sequence, Change: c, Prefix: hash, Tokens: prefix.BlockTokens})
	h.sequence++
}

// look returns how much of a chain is cached and caches all of it.
func (h *host) look(chain []uint64) (cached fleet.Tokens) {
	hit := true
	for _, hash := range chain {
		_, ok := h.cache.Get(hash)
		hit = hit && ok
		if hit {
			cached += prefix.BlockTokens
		}
		if !ok {
			h.cache.Add(hash, struct{}{})
			h.note(engine.CacheStored, hash)
		}
	}
	return cached
}

// work is what a load report tells.
func (h *host) work() int { return len(h.running) + len(h.waiting) }

// delivered returns how many tokens of a job have come by a time.
func (j *job) delivered(now time.Duration) fleet.Tokens {
	if j.begin < 0 || now < j.begin {
		return j.emitted
	}
	return min(j.request.Output, j.emitted+1+fleet.Tokens((now-j.begin)/j.pace))
}
