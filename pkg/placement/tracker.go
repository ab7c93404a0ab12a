package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

const (
	// warmParts bounds how many parts are remembered for an endpoint.
	warmParts = 2048
	// warmFor is how long a part is believed to stay in an engine's cache.
	warmFor = 60 * time.Second
	// faultWeight is the weight of one exchange in the failure rate.
	faultWeight = 0.25
	// faultLeast is the failure rate below which there is none.
	faultLeast = 0.02
	// shunLeast and shunMost bound how long an endpoint that cannot be reached
	// gets no work; the time doubles with each failure in a row.
	shunLeast = 300 * time.Millisecond
	shunMost  = 4 * time.Second
	// fullTime is how long an endpoint that is full gets no work while others may
	// have room; the time in which several requests end there.
	fullTime = 150 * time.Millisecond
	// rateWeight is the weight of one observation in the read rate.
	rateWeight = 0.15
	// rateTokens is the least prompt that tells something about the read rate.
	rateTokens = 1000
	// rateLeast and rateMost bound the read rate, in tokens a millisecond.
	rateLeast, rateMost = 3.0, 60.0
)

// Work is the load of an endpoint by one node.
type Work struct {
	Running int
	Backlog fleet.Tokens
}

// Tracker keeps what a node learns of its endpoints. The zero value is ready to use.
type Tracker struct {
	// Unheard tells whether no node of a data centre has been heard of lately, if
	// set. It raises a doubt where nothing else came from there either.
	DataCentreUnreachable func(fleet.DataCentreName) bool

	mu        sync.Mutex
	endpoints map[fleet.InstanceID]*state
	// answered is when an endpoint of a data centre last sent something.
	answered map[fleet.DataCentreName]clock.Instant
}

// doubtAfter is how long nothing must have come from a data centre, none of whose
// nodes is heard of, until it may be cut off.
const doubtAfter = 400 * time.Millisecond

// Answered notes that an endpoint sent something.
func (t *Tracker) RecordResponse(e serving.Endpoint, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered == nil {
		t.answered = make(map[fleet.DataCentreName]clock.Instant)
	}
	t.answered[e.DataCentre] = now
}

// doubts returns the data centres that may be cut off. The caller holds the lock.
func (t *Tracker) doubts(endpoints []serving.Endpoint, at fleet.DataCentreName, now clock.Instant) map[fleet.DataCentreName]bool {
	doubts := make(map[fleet.DataCentreName]bool)
	if t.DataCentreUnreachable == nil {
		return doubts
	}
	for _, e := range endpoints {
		if _, ok := doubts[e.DataCentre]; !ok {
			doubts[e.DataCentre] = e.DataCentre != at && now.Sub(t.answered[e.DataCentre]) > doubtAfter && t.DataCentreUnreachable(e.DataCentre)
		}
	}
	return doubts
}

// state is what is known of one endpoint.
type state struct {
	work Work
	// others is the load by the other nodes.
	others   Work
	faults   float64
	failures int
	shunned  clock.Instant
	rate     float64
	// readings are the requests without a first event, the oldest first.
	readings []*Prefill
	warm     *lru.Cache[serving.PrefixBlockID, clock.Instant]
}

func (t *Tracker) state(id fleet.InstanceID) *state {
	if t.endpoints == nil {
		t.endpoints = make(map[fleet.InstanceID]*state)
	}
	s := t.endpoints[id]
	if s == nil {
		// The size is positive, which is all that New asks for.
		warm, _ := lru.New[serving.PrefixBlockID, clock.Instant](warmParts)
		s = &state{warm: warm}
		t.endpoints[id] = s
	}
	return s
}

// Loads returns the loads of endpoints for a request with the given parts.
func (t *Tracker) Loads(endpoints []serving.Endpoint, parts []serving.PrefixBlock, at fleet.DataCentreName, now clock.Instant) []Load {
	loads := make([]Load, 0, len(endpoints))
	ranked := homesOf(endpoints, parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	doubts := t.doubts(endpoints, at, now)
	for _, e := range endpoints {
		s := t.state(e.ID)
		loads = append(loads, Load{
			Endpoint:              e,
			Running:               s.work.Running + s.others.Running,
			Backlog:               s.work.Backlog + s.others.Backlog,
			CachedTokens:          s.warmTokens(parts, now),
			PreferenceRank:        1 + slices.Index(ranked, e.ID),
			Draining:              e.State == serving.StateDraining,
			PrefillRate:           s.readRate(now),
			FailureRate:           s.faults,
			Remote:                e.DataCentre != at,
			DataCentreUnreachable: doubts[e.DataCentre],
			Avoid:                 now < s.shunned,
		})
	}
	return loads
}

func (s *state) warmTokens(parts []serving.PrefixBlock, now clock.Instant) (tokens fleet.Tokens) {
	for _, p := range parts {
		used, ok := s.warm.Peek(p.ID)
		if !ok || now.Sub(used) > warmFor {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// mostHomes is how many endpoints are ranked as homes of a prompt.
const mostHomes = 3

// homesOf returns the endpoints on which all nodes agree, without a message, for
// the last part that a prompt shares with others; the first choice first.
func homesOf(endpoints []serving.Endpoint, parts []serving.PrefixBlock) (ranked []fleet.InstanceID) {
	if len(parts) == 0 {
		return nil
	}
	key := parts[max(0, len(parts)-2)].ID
	var best [mostHomes + 1]uint64
	ranked = make([]fleet.InstanceID, 0, mostHomes+1)
	for _, e := range endpoints {
		var h xxhash.Digest
		h.Reset()
		// Writes to the hash never fail.
		_, _ = h.WriteString(string(key))
		_, _ = h.WriteString(string(e.ID))
		sum := h.Sum64()
		at := len(ranked)
		for at > 0 && sum > best[at-1] {
			at--
		}
		if at == mostHomes {
			continue
		}
		copy(best[at+1:], best[at:])
		best[at] = sum
		ranked = slices.Insert(ranked, at, e.ID)
		ranked = ranked[:min(len(ranked), mostHomes)]
	}
	return ranked
}

// Shared returns how many leading tokens of a prompt other requests share.
func SharedTokens(parts []serving.PrefixBlock) (tokens fleet.Tokens) {
	for i, p := range parts {
		if i < len(parts)-1 {
			tokens += p.Tokens
		}
	}
	return tokens
}

// Reading is a request of which an endpoint has yet to send the first event.
type Prefill struct {
	id    fleet.InstanceID
	began clock.Instant
	// unread is what the endpoint reads for it, ahead what it reads until then.
	unread, ahead fleet.Tokens
	read          bool
}

// Begin notes a request that is sent to an endpoint.
func (t *Tracker) Begin(id fleet.InstanceID, unread fleet.Tokens, now clock.Instant) *Prefill {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.work.Running++
	s.work.Backlog += unread
	r := &Prefill{id: id, began: now, unread: unread, ahead: s.work.Backlog + s.others.Backlog}
	s.readings = append(s.readings, r)
	return r
}

// First notes the first event of a request: its prompt is read and cached.
func (t *Tracker) RecordFirstEvent(r *Prefill, parts []serving.PrefixBlock, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(r.id)
	if !s.finish(r) {
		return
	}
	for _, p := range parts {
		s.warm.Add(p.ID, now)
	}
	if rate, ok := r.rate(now); ok {
		if s.rate == 0 {
			s.rate = defaultReadRate
		}
		s.rate += rateWeight * (rate - s.rate)
	}
}

// End notes the end of a request.
func (t *Tracker) End(r *Prefill) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(r.id)
	s.finish(r)
	s.work.Running--
}

// finish takes a request out of the backlog. It tells whether it still was there.
func (s *state) finish(r *Prefill) bool {
	if r.read {
		return false
	}
	r.read = true
	s.work.Backlog -= r.unread
	s.readings = slices.DeleteFunc(s.readings, func(o *Prefill) bool { return o == r })
	return true
}

// rate returns the read rate that a request shows if its first event comes now.
func (r *Prefill) rate(now clock.Instant) (rate float64, ok bool) {
	took := now.Sub(r.began) - firstEvent
	if r.ahead < rateTokens || took <= 0 {
		return 0, false
	}
	rate = float64(r.ahead) / (float64(took) / float64(time.Millisecond))
	return min(max(rate, rateLeast), rateMost), true
}

// readRate returns the rate that was learnt, or the lower one that the request
// waiting longest shows already: an engine that turned slow is noticed before it
// answers.
func (s *state) readRate(now clock.Instant) float64 {
	rate := s.rate
	if rate == 0 {
		rate = defaultReadRate
	}
	if len(s.readings) > 0 {
		if bound, ok := s.readings[0].rate(now); ok {
			rate = min(rate, bound)
		}
	}
	return rate
}

// Outcome notes whether an exchange with an endpoint succeeded.
func (t *Tracker) RecordOutcome(id fleet.InstanceID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	if ok {
		s.failures = 0
		s.shunned = 0
		s.faults -= faultWeight * s.faults
		if s.faults < faultLeast {
			s.faults = 0
		}
		return
	}
	s.faults += faultWeight * (1 - s.faults)
}

// Unreachable notes that an endpoint could not be reached or fell silent.
func (t *Tracker) RecordUnreachable(id fleet.InstanceID, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.failures++
	s.faults += faultWeight * (1 - s.faults)
	const doublings = 4
	wait := shunLeast << min(s.failures-1, doublings)
	s.shunned = now.Add(min(wait, shunMost))
	// What it held may be gone.
	s.warm.Purge()
}

// Full notes that an endpoint turned a request away for lack of room.
func (t *Tracker) RecordFull(id fleet.InstanceID, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.shunned = max(s.shunned, now.Add(fullTime))
}

// Others replaces what the other nodes have running.
func (t *Tracker) SetPeerWork(work map[fleet.InstanceID]Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints {
		s.others = Work{}
	}
	for id, w := range work {
		t.state(id).others = w
	}
}

// Own returns the load by this node.
func (t *Tracker) LocalWork() map[fleet.InstanceID]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[fleet.InstanceID]Work)
	for id, s := range t.endpoints {
		if s.work.Running > 0 {
			own[id] = s.work
		}
	}
	return own
}

// Forget drops what is kept of endpoints that are gone and have no requests.
func (t *Tracker) Prune(known func(fleet.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if s.work.Running == 0 && !known(id) {
			delete(t.endpoints, id)
		}
	}
}
