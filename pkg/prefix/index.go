package prefix

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Bounds of an index.
const (
	// DefaultLimit is how many blocks an index holds.
	DefaultMaxBlocks = 1 << 16
	// maxHolders is how many endpoints are remembered for one block.
	maxHolders = 32
	// maxAge is how long an entry counts without being confirmed.
	maxAge = 10 * time.Minute
)

// Hit is what one endpoint holds of a prompt.
type Hit struct {
	Instance fleet.InstanceRef
	// Tokens is the length of the cached prefix.
	Tokens fleet.Tokens
	// Doubtful is how many tokens more are cached if no eviction was missed.
	UnconfirmedTokens fleet.Tokens

	holder *holder
}

// Index is the inverted index from blocks to the endpoints that hold them. The
// zero value is ready to use. It is not safe for concurrent use.
type Index struct {
	// Limit is how many blocks are held; 0 takes DefaultLimit.
	MaxBlocks int

	blocks    *simplelru.LRU[uint64, *block]
	endpoints map[fleet.InstanceRef]*holder
}

// holder is one life of an endpoint.
type holder struct {
	ref fleet.InstanceRef
	// epoch rises when events were lost, which taints all earlier entries.
	epoch uint32
	// next is the sequence number of the next event.
	next    uint64
	dropped bool
}

// entry says that an endpoint held a block.
type entry struct {
	holder *holder
	epoch  uint32
	seen   time.Time
}

type block struct{ entries []entry }

func (x *Index) holder(ref fleet.InstanceRef) *holder {
	h := x.endpoints[ref]
	if h != nil {
		return h
	}
	if x.endpoints == nil {
		x.endpoints = make(map[fleet.InstanceRef]*holder)
	}
	h = &holder{ref: ref}
	x.endpoints[ref] = h
	return h
}

// Next returns the sequence number from which an endpoint's events are wanted.
func (x *Index) NextSequence(ref fleet.InstanceRef) uint64 {
	if h := x.endpoints[ref]; h != nil {
		return h.next
	}
	return 0
}

// Apply merges events of an endpoint. Events that were seen before are
// skipped; a gap taints everything known of the endpoint until it is proved.
func (x *Index) Apply(ref fleet.InstanceRef, events []engine.CacheEvent, now time.Time) {
	h := x.holder(ref)
	for _, e := range events {
		if e.Sequence < h.next {
			continue
		}
		if e.Sequence > h.next {
			h.epoch++
		}
		h.next = e.Sequence + 1
		if e.Change == engine.CacheEvicted {
			x.remove(e.Prefix, h)
			continue
		}
		x.store(e.Prefix, h, now)
	}
}

// Taint makes everything known of an endpoint doubtful.
func (x *Index) MarkUnconfirmed(ref fleet.InstanceRef) {
	if h := x.endpoints[ref]; h != nil {
		h.epoch++
	}
}

// Prove records what an endpoint reported of a request that it served: the
// first cached tokens were there, the next block was not, and all of the
// prompt is there now.
func (x *Index) Confirm(ref fleet.InstanceRef, chain []uint64, cached fleet.Tokens, now time.Time) {
	h := x.holder(ref)
	proved := min(int(cached/BlockTokens), len(chain))
	if proved < len(chain) {
		x.remove(chain[proved], h)
	}
	x.AddPrompt(ref, chain, now)
}

// Expect records that an endpoint was sent a prompt and so will hold it.
func (x *Index) AddPrompt(ref fleet.InstanceRef, chain []uint64, now time.Time) {
	h := x.holder(ref)
	for _, hash := range chain {
		x.store(hash, h, now)
	}
}

// Drop forgets an endpoint. Its entries go as their blocks are looked at.
func (x *Index) Drop(ref fleet.InstanceRef) {
	if h := x.endpoints[ref]; h != nil {
		h.dropped = true
		delete(x.endpoints, ref)
	}
}

// Keep drops the endpoints for which keep reports false.
func (x *Index) Retain(keep func(fleet.InstanceRef) bool) {
	for ref := range x.endpoints {
		if !keep(ref) {
			x.Drop(ref)
		}
	}
}

// Len returns how many blocks are held.
func (x *Index) Len() int {
	if x.blocks == nil {
		return 0
	}
	return x.blocks.Len()
}

// Find appends to hits, for each endpoint that holds a prefix of the chain, how
// much of it. An entry is doubtful if events were lost since or if it is old.
func (x *Index) Find(chain []uint64, now time.Time, hits []Hit) []Hit {
	if x.blocks == nil {
		return hits
	}
	for depth, hash := range chain {
		b, ok := x.blocks.Get(hash)
		if !ok {
			break
		}
		found := false
		for _, e := range b.entries {
			if e.holder.dropped {
				continue
			}
			sure := e.epoch == e.holder.epoch && now.Sub(e.seen) < maxAge
			hits = extend(hits, e.holder, depth, sure)
			found = true
		}
		if !found {
			break
		}
	}
	return hits
}

// extend adds one block to an endpoint's hit if it holds all blocks before.
func extend(hits []Hit, holder *holder, depth int, sure bool) []Hit {
	if depth == 0 {
		hits = append(hits, Hit{Instance: holder.ref, holder: holder})
	}
	for i := range hits {
		h := &hits[i]
		if h.holder != holder {
			continue
		}
		if h.Tokens+h.UnconfirmedTokens != fleet.Tokens(depth)*BlockTokens {
			return hits
		}
		if sure && h.UnconfirmedTokens == 0 {
			h.Tokens += BlockTokens
		} else {
			h.UnconfirmedTokens += BlockTokens
		}
		return hits
	}
	return hits
}

func (x *Index) store(hash uint64, h *holder, now time.Time) {
	if x.blocks == nil {
		x.blocks = newBlocks(x.MaxBlocks)
	}
	b, ok := x.blocks.Get(hash)
	if !ok {
		b = &block{}
		x.blocks.Add(hash, b)
	}
	b.entries = slices.DeleteFunc(b.entries, func(e entry) bool { return e.holder == h || e.holder.dropped })
	if len(b.entries) == maxHolders {
		b.entries = slices.Delete(b.entries, 0, 1)
	}
	b.entries = append(b.entries, entry{holder: h, epoch: h.epoch, seen: now})
}

func newBlocks(limit int) *simplelru.LRU[uint64, *block] {
	if limit <= 0 {
		limit = DefaultMaxBlocks
	}
	// The only error is that of a size below one.
	blocks, _ := simplelru.NewLRU[uint64, *block](limit, nil)
	return blocks
}

func (x *Index) remove(hash uint64, h *holder) {
	if x.blocks == nil {
		return
	}
	b, ok := x.blocks.Peek(hash)
	if !ok {
		return
	}
	b.entries = slices.DeleteFunc(b.entries, func(e entry) bool { return e.holder == h })
	if len(b.entries) == 0 {
		x.blocks.Remove(hash)
	}
}
