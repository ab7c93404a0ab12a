package returning

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotTime is how exactly a promised time is kept: who comes back earlier by no more
	// than a slot is not told from who keeps the time.
	slotTime = 500 * time.Millisecond
	// generationSlots is the number of slots whose promises one filter holds.
	generationSlots = 8
	// maxGenerations is the maximum number of filters that are kept and reported.
	maxGenerations = 4
	// filterBytes is the size of a filter. With a thousand promises an unrelated request is
	// recognised by mistake about once in twenty times for each slot looked at.
	filterBytes = 1024
	// probes is the number of bits of a promise in a filter.
	probes = 2
	// keptSlots is for how many slots after its own a return is recognised, earlySlots how
	// many slots before it.
	keptSlots, earlySlots = 3, 10
	// aheadSlots is how far ahead of the present a recorded promise may be. The time of day
	// was wrong when one beyond it was recorded.
	aheadSlots = 240
)

// Content identifies what a caller sends; it is the same when the caller comes back.
type Content uint64

// Filters are Bloom filters of promises, by the generation of their time.
type Filters map[int64][]byte

// Visitors recognises callers that come back, on any node. The zero value is ready to use.
type Visitors struct {
	mu sync.Mutex
	// own is what this node recorded, peers what the others report.
	own, peers Filters
}

// slotAt returns the number of the slot of a time.
func slotAt(t time.Time) int64 { return t.UnixMilli() / slotTime.Milliseconds() }

// bits returns the positions of a promise for a slot in a filter.
func bits(c Content, slot int64) (positions [probes]uint32) {
	data := binary.BigEndian.AppendUint64(nil, uint64(c))
	sum := xxhash.Sum64(binary.BigEndian.AppendUint64(data, uint64(slot)))
	for i := range positions {
		positions[i] = uint32(sum>>(32*i)) % (8 * filterBytes)
	}
	return positions
}

// Record records that a caller was told to come back at a time.
func (v *Visitors) Record(c Content, due time.Time) {
	slot := slotAt(due)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.own == nil {
		v.own = make(Filters)
	}
	generation := slot / generationSlots
	filter := v.own[generation]
	if filter == nil {
		filter = make([]byte, filterBytes)
		v.own[generation] = filter
	}
	for _, bit := range bits(c, slot) {
		filter[bit/8] |= 1 << (bit % 8)
	}
	v.own.trim()
}

// Standing returns how a request stands to the promises.
func (v *Visitors) Standing(c Content, now time.Time) Standing {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.own) == 0 && len(v.peers) == 0 {
		return StandingNew
	}
	present := slotAt(now)
	standing := StandingNew
	for slot := present - keptSlots; slot <= present+earlySlots; slot++ {
		if !v.own.contains(c, slot) && !v.peers.contains(c, slot) {
			continue
		}
		if slot <= present {
			return StandingKept
		}
		standing = StandingEarly
	}
	return standing
}

// contains reports whether a promise for a slot was probably recorded.
func (f Filters) contains(c Content, slot int64) bool {
	filter := f[slot/generationSlots]
	if len(filter) != filterBytes {
		return false
	}
	for _, bit := range bits(c, slot) {
		if filter[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// trim removes the oldest filters if there are too many.
func (f Filters) trim() {
	if len(f) <= maxGenerations {
		return
	}
	generations := slices.Sorted(maps.Keys(f))
	for _, g := range generations[:len(generations)-maxGenerations] {
		delete(f, g)
	}
}

// SetPeers sets what the other nodes recorded.
func (v *Visitors) SetPeers(f Filters) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers = f
}

// Or returns the union of two sets of filters, and leaves both as they are.
func (f Filters) Or(other Filters) Filters {
	if len(f) == 0 || len(other) == 0 {
		if len(f) == 0 {
			return other
		}
		return f
	}
	union := make(Filters, len(f))
	for _, filters := range []Filters{f, other} {
		for generation, filter := range filters {
			if len(filter) != filterBytes {
				continue
			}
			merged := union[generation]
			if merged == nil {
				merged = make([]byte, filterBytes)
				union[generation] = merged
			}
			for i, b := range filter {
				merged[i] |= b
			}
		}
	}
	union.trim()
	return union
}

// Report returns the filters of this node whose promises may still be kept; nil if there are none.
func (v *Visitors) Report(now time.Time) (report Filters) {
	v.mu.Lock()
	defer v.mu.Unlock()
	oldest, latest := (slotAt(now)-keptSlots)/generationSlots, (slotAt(now)+aheadSlots)/generationSlots
	maps.DeleteFunc(v.own, func(g int64, _ []byte) bool { return g < oldest || g > latest })
	for generation, filter := range v.own {
		if report == nil {
			report = make(Filters)
		}
		report[generation] = slices.Clone(filter)
	}
	return report
}
