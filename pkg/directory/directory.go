// Package directory builds the list of known endpoints from their entries in
// the store. An entry that is missing after an outage of the store is kept for
// RenewalGrace, because the endpoint may not have renewed it yet.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// RenewalGrace is how long after an outage of the store an endpoint without an
// entry still counts as present. Live endpoints renew their entries within about
// two seconds.
const RenewalGrace = 2 * time.Second

// Change is one change of an entry. A nil Endpoint removes the entry.
type Change struct {
	ID       fleet.InstanceID  `cbor:"1,keyasint"`
	Endpoint *serving.Endpoint `cbor:"2,keyasint,omitempty"`
}

// Directory holds the known endpoints. The zero value is ready to use.
type Directory struct {
	// OnChange, if set, is called when an endpoint is added, restarted or removed,
	// or changes its state.
	OnChange func(e serving.Endpoint, gone bool)

	mu      sync.Mutex
	entries map[fleet.InstanceID]*entry
	// restoredAt is when the last outage of the store ended; valid if restored.
	restoredAt clock.Instant
	restored   bool
	// byPool holds the endpoints of each pool, sorted by ID.
	byPool map[fleet.PoolName][]serving.Endpoint
	// leaving holds the endpoints that announced in a response that they leave. It
	// outlives the entries, which may lapse and return.
	leaving map[fleet.InstanceID]departure
}

// departure is the departure of all incarnations of an endpoint that were born up to a
// time, and when it was last known to be of use.
type departure struct {
	born int64
	at   clock.Instant
}

// departureRetention is how long a departure is kept after the endpoint's entry is
// gone. No endpoint needs that long to leave.
const departureRetention = 10 * time.Minute

type entry struct {
	endpoint serving.Endpoint
	// lapsed is set if the entry was missing within RenewalGrace of an outage.
	lapsed bool
	// announced is set if the endpoint drains although its entry says that it is ready.
	announced bool
}

// MarkStoreRestored records that the store responds again after an outage.
func (d *Directory) MarkStoreRestored(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restoredAt, d.restored = now, true
}

// Apply applies changes in order.
func (d *Directory) Apply(changes []Change, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(changes, now)
	d.indexByPool()
}

// Replace applies a complete list and removes the entries that it lacks.
func (d *Directory) Replace(list []Change, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[fleet.InstanceID]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
	}
	for id := range d.entries {
		if !listed[id] {
			d.apply([]Change{{ID: id}}, now)
		}
	}
	d.apply(list, now)
	d.indexByPool()
}

func (d *Directory) apply(changes []Change, now clock.Instant) {
	if d.entries == nil {
		d.entries = make(map[fleet.InstanceID]*entry)
	}
	for _, c := range changes {
		announced := c.Endpoint != nil && c.Endpoint.State == serving.StateReady && d.isLeaving(c.Endpoint)
		if announced {
			draining := *c.Endpoint
			draining.State = serving.StateDraining
			c.Endpoint = &draining
		}
		switch e := d.entries[c.ID]; {
		case c.Endpoint != nil:
			if e == nil || e.endpoint.State != c.Endpoint.State || e.endpoint.Born != c.Endpoint.Born {
				d.notify(*c.Endpoint, false)
			}
			d.entries[c.ID] = &entry{endpoint: *c.Endpoint, announced: announced}
		case e == nil:
		case d.inRenewalGrace(now) && e.endpoint.State == serving.StateReady:
			e.lapsed = true
		default:
			d.notify(e.endpoint, true)
			delete(d.entries, c.ID)
		}
	}
}

// isLeaving reports whether the incarnation announced that it leaves, or is older than one
// that did.
func (d *Directory) isLeaving(e *serving.Endpoint) bool {
	known, ok := d.leaving[e.ID]
	return ok && e.Born <= known.born
}

// MarkLeaving records that an endpoint announced that it leaves. Its incarnations born up
// to the given time, in Unix milliseconds, are draining from then on, whatever its entry
// says. It reports whether this was not known.
func (d *Directory) MarkLeaving(id fleet.InstanceID, born int64, now clock.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.leaving[id]
	if ok && known.born >= born {
		return false
	}
	if d.leaving == nil {
		d.leaving = make(map[fleet.InstanceID]departure)
	}
	d.leaving[id] = departure{born: born, at: now}
	e := d.entries[id]
	if e == nil {
		return !ok
	}
	if e.endpoint.Born > born || e.endpoint.State == serving.StateDraining {
		return false
	}
	e.endpoint.State, e.announced = serving.StateDraining, true
	d.notify(e.endpoint, false)
	d.indexByPool()
	return true
}

// maxAnnounced bounds the result of Announced, which has to fit into a datagram.
const maxAnnounced = 64

// Announced returns the births of the incarnations that are known to leave only from
// responses, not from their entries, by ID.
func (d *Directory) Announced() map[fleet.InstanceID]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	announced := make(map[fleet.InstanceID]int64)
	for id := range d.leaving {
		if e := d.entries[id]; e != nil && e.announced && len(announced) < maxAnnounced {
			announced[id] = e.endpoint.Born
		}
	}
	return announced
}

// Accepts reports whether requests may be sent to an incarnation of an endpoint now.
func (d *Directory) Accepts(id fleet.InstanceID, born int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	return e != nil && e.endpoint.Born == born && e.endpoint.State == serving.StateReady
}

func (d *Directory) notify(e serving.Endpoint, gone bool) {
	if d.OnChange != nil {
		d.OnChange(e, gone)
	}
}

// inRenewalGrace reports whether endpoints may still be renewing their entries
// after an outage.
func (d *Directory) inRenewalGrace(now clock.Instant) bool {
	return d.restored && now.Sub(d.restoredAt) < RenewalGrace
}

// Expire removes the entries that were not renewed within RenewalGrace of an
// outage.
func (d *Directory) Expire(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inRenewalGrace(now) {
		return
	}
	for id, known := range d.leaving {
		switch {
		case d.entries[id] != nil:
			d.leaving[id] = departure{born: known.born, at: now}
		case now.Sub(known.at) > departureRetention:
			delete(d.leaving, id)
		}
	}
	for id, e := range d.entries {
		if e.lapsed {
			d.notify(e.endpoint, true)
			delete(d.entries, id)
		}
	}
	d.indexByPool()
}

// indexByPool rebuilds byPool. It includes lapsed endpoints only where most
// entries of the pool lapsed, which indicates that the store was unavailable. If
// only a few lapsed, their endpoints left while this node alone could not reach
// the store.
func (d *Directory) indexByPool() {
	listedCount, lapsedCount := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	for _, e := range d.entries {
		if e.lapsed {
			lapsedCount[e.endpoint.Pool]++
		} else {
			listedCount[e.endpoint.Pool]++
		}
	}
	byPool := make(map[fleet.PoolName][]serving.Endpoint)
	for _, e := range d.entries {
		pool := e.endpoint.Pool
		if !e.lapsed || lapsedCount[pool] > listedCount[pool] {
			byPool[pool] = append(byPool[pool], e.endpoint)
		}
	}
	for _, endpoints := range byPool {
		slices.SortFunc(endpoints, func(a, b serving.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	d.byPool = byPool
}

// Endpoints returns the endpoints of a pool, including draining ones, sorted by
// ID. Callers must not modify the slice.
func (d *Directory) Endpoints(pool fleet.PoolName) []serving.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byPool[pool]
}

// Listed returns the endpoints that have an entry, in the state that the entry says. It
// omits lapsed endpoints.
func (d *Directory) Listed() []serving.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make([]serving.Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		if e.lapsed {
			continue
		}
		endpoint := e.endpoint
		if e.announced {
			endpoint.State = serving.StateReady
		}
		listed = append(listed, endpoint)
	}
	return listed
}

// Find returns the endpoint with an ID, including a lapsed one.
func (d *Directory) Find(id fleet.InstanceID) (serving.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return serving.Endpoint{}, false
	}
	return e.endpoint, true
}
