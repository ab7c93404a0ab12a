package prefix

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/skylarkloom/skylarkloom/pkg/api/engine"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const (
	// DefaultMaxBlocks is the default maximum number of blocks in an index.
	DefaultMaxBlocks = 1 << 16
	// maxHolders is the maximum number of endpoints that are recorded for a block.
	maxHolders = 32
	// maxEntryAge is how long an entry counts as confirmed after it was recorded.
	maxEntryAge = 10 * time.Minute
)

// Hit is the prefix of a prompt that one endpoint has cached.
type Hit struct {
	Instance fleet.InstanceRef
	// Tokens is the length of the confirmed cached prefix.
	Tokens fleet.Tokens
	// UnconfirmedTokens is the number of further tokens that are cached unless an
	// eviction was missed.
	UnconfirmedTokens fleet.Tokens

	holder *holder
}

// Index is an inverted index from blocks to the endpoints that have them cached.
// The zero value is ready to use. It is not safe for concurrent use.
type Index struct {
	// MaxBlocks bounds the number of blocks; 0 means DefaultMaxBlocks.
	MaxBlocks int

	blocks    *simplelru.LRU[uint64, *block]
	endpoints map[fleet.InstanceRef]*holder
}

// holder is an incarnation of an endpoint that has blocks cached.
type holder struct {
	ref fleet.InstanceRef
	// epoch increases when events were lost; entries of earlier epochs are
	// unconfirmed.
	epoch uint32
	// nextSequence is the sequence number of the next event.
	nextSequence uint64
	dropped      bool
}

// entry records that an endpoint had a block cached.
type entry struct {
	holder     *holder
	epoch      uint32
	recordedAt time.Time
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

// NextSequence returns the sequence number of the next event to request from an
// endpoint.
func (x *Index) NextSequence(ref fleet.InstanceRef) uint64 {
	if h := x.endpoints[ref]; h != nil {
		return h.nextSequence
	}
	return 0
}

// Apply applies cache events of an endpoint. Events that were applied before are
// skipped. After a gap in the sequence numbers all earlier entries of the endpoint are
// unconfirmed until they are recorded again.
func (x *Index) Apply(ref fleet.InstanceRef, events []engine.CacheEvent, now time.Time) {
	h := x.holder(ref)
	for _, e := range events {
		if e.Sequence < h.nextSequence {
			continue
		}
		if e.Sequence > h.nextSequence {
			h.epoch++
		}
		h.nextSequence = e.Sequence + 1
		if e.Change == engine.CacheEvicted {
			x.remove(e.Prefix, h)
			continue
		}
		x.store(e.Prefix, h, now)
	}
}

// MarkUnconfirmed makes all entries of an endpoint unconfirmed.
func (x *Index) MarkUnconfirmed(ref fleet.InstanceRef) {
	if h := x.endpoints[ref]; h != nil {
		h.epoch++
	}
}

// Confirm records the number of cached tokens that an endpoint reported for a request
// it served: these were cached, the block after them was not, and the whole prompt is
// cached now.
func (x *Index) Confirm(ref fleet.InstanceRef, hashes []uint64, cached fleet.Tokens, now time.Time) {
	h := x.holder(ref)
	cachedBlocks := min(int(cached/BlockTokens), len(hashes))
	if cachedBlocks < len(hashes) {
		x.remove(hashes[cachedBlocks], h)
	}
	x.AddPrompt(ref, hashes, now)
}

// AddPrompt records that an endpoint has been sent a prompt and will have it cached.
func (x *Index) AddPrompt(ref fleet.InstanceRef, hashes []uint64, now time.Time) {
	h := x.holder(ref)
	for _, hash := range hashes {
		x.store(hash, h, now)
	}
}

// Drop removes an endpoint. Its entries are ignored and deleted when their blocks are
// next stored.
func (x *Index) Drop(ref fleet.InstanceRef) {
	if h := x.endpoints[ref]; h != nil {
		h.dropped = true
		delete(x.endpoints, ref)
	}
}

// Retain drops the endpoints for which keep reports false.
func (x *Index) Retain(keep func(fleet.InstanceRef) bool) {
	for ref := range x.endpoints {
		if !keep(ref) {
			x.Drop(ref)
		}
	}
}

// Len returns the number of blocks.
func (x *Index) Len() int {
	if x.blocks == nil {
		return 0
	}
	return x.blocks.Len()
}

// Find appends a hit for each endpoint that has a prefix of the prompt cached. An
// entry is unconfirmed if events were lost after it was recorded or if it is older
// than maxEntryAge.
func (x *Index) Find(hashes []uint64, now time.Time, hits []Hit) []Hit {
	if x.blocks == nil {
		return hits
	}
	for depth, hash := range hashes {
		b, ok := x.blocks.Get(hash)
		if !ok {
			break
		}
		found := false
		for _, e := range b.entries {
			if e.holder.dropped {
				continue
			}
			confirmed := e.epoch == e.holder.epoch && now.Sub(e.recordedAt) < maxEntryAge
			hits = extendHit(hits, e.holder, depth, confirmed)
			found = true
		}
		if !found {
			break
		}
	}
	return hits
}

// extendHit adds one block to the holder's hit if it has all earlier blocks cached.
func extendHit(hits []Hit, holder *holder, depth int, confirmed bool) []Hit {
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
		if confirmed && h.UnconfirmedTokens == 0 {
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
		x.blocks = newBlockCache(x.MaxBlocks)
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
	b.entries = append(b.entries, entry{holder: h, epoch: h.epoch, recordedAt: now})
}

func newBlockCache(size int) *simplelru.LRU[uint64, *block] {
	if size <= 0 {
		size = DefaultMaxBlocks
	}
	// NewLRU fails only if the size is not positive.
	blocks, _ := simplelru.NewLRU[uint64, *block](size, nil)
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
