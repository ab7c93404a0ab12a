// Package directory folds the entries of endpoints into what is known of them.
// An entry that is gone after the store was away is only missing for a while:
// the endpoint may not have renewed it yet.
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
// entry still counts as present: live ones are back within about two seconds.
const RenewalGrace = 2 * time.Second

// Change is one change of an entry. A nil endpoint drops it.
type Change struct {
	ID       fleet.InstanceID  `cbor:"1,keyasint"`
	Endpoint *serving.Endpoint `cbor:"2,keyasint,omitempty"`
}

// Directory holds the known endpoints. The zero value is ready to use.
type Directory struct {
	// Changed is called when an endpoint comes, changes its state, or is gone, if set.
	Changed func(e serving.Endpoint, gone bool)

	mu      sync.Mutex
	entries map[fleet.InstanceID]*entry
	// outage is the end of the store's last outage.
	outage   clock.Instant
	restored bool
	view     map[fleet.PoolName][]serving.Endpoint
}

type entry struct {
	endpoint serving.Endpoint
	// lapsed tells that the entry was found gone just after an outage.
	lapsed bool
}

// Restored notes that the store answers again after an outage.
func (d *Directory) MarkStoreRestored(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage, d.restored = now, true
}

// Apply folds changes in order.
func (d *Directory) Apply(changes []Change, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(changes, now)
	d.build()
}

// Replace folds a complete list: entries that it lacks are gone.
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
	d.build()
}

func (d *Directory) apply(changes []Change, now clock.Instant) {
	if d.entries == nil {
		d.entries = make(map[fleet.InstanceID]*entry)
	}
	for _, c := range changes {
		switch e := d.entries[c.ID]; {
		case c.Endpoint != nil:
			if e == nil || e.endpoint.State != c.Endpoint.State || e.endpoint.Born != c.Endpoint.Born {
				d.tell(*c.Endpoint, false)
			}
			d.entries[c.ID] = &entry{endpoint: *c.Endpoint}
		case e == nil:
		case d.renewing(now) && e.endpoint.State == serving.StateReady:
			e.lapsed = true
		default:
			d.tell(e.endpoint, true)
			delete(d.entries, c.ID)
		}
	}
}

func (d *Directory) tell(e serving.Endpoint, gone bool) {
	if d.Changed != nil {
		d.Changed(e, gone)
	}
}

// renewing tells whether endpoints may still be renewing their entries.
func (d *Directory) renewing(now clock.Instant) bool {
	return d.restored && now.Sub(d.outage) < RenewalGrace
}

// Expire drops the entries that were not renewed in time after an outage.
func (d *Directory) Expire(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.renewing(now) {
		return
	}
	for id, e := range d.entries {
		if e.lapsed {
			d.tell(e.endpoint, true)
			delete(d.entries, id)
		}
	}
	d.build()
}

// build lists the endpoints by pool. Lapsed ones are listed only where most
// entries of the pool lapsed: then the store was away. Where a few are gone,
// their endpoints have left while only this node did not reach the store.
func (d *Directory) build() {
	listed, lapsed := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	for _, e := range d.entries {
		if e.lapsed {
			lapsed[e.endpoint.Pool]++
		} else {
			listed[e.endpoint.Pool]++
		}
	}
	view := make(map[fleet.PoolName][]serving.Endpoint)
	for _, e := range d.entries {
		pool := e.endpoint.Pool
		if !e.lapsed || lapsed[pool] > listed[pool] {
			view[pool] = append(view[pool], e.endpoint)
		}
	}
	for _, list := range view {
		slices.SortFunc(list, func(a, b serving.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	d.view = view
}

// Endpoints returns the endpoints of a pool, the leaving ones included, in order
// of their ids. The slice must not be changed.
func (d *Directory) Endpoints(pool fleet.PoolName) []serving.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view[pool]
}

// Listed returns the endpoints that have an entry, without those that are only
// kept until they had time to renew it.
func (d *Directory) Listed() []serving.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make([]serving.Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.lapsed {
			listed = append(listed, e.endpoint)
		}
	}
	return listed
}

// Find returns an endpoint by its id.
func (d *Directory) Find(id fleet.InstanceID) (serving.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	if e == nil {
		return serving.Endpoint{}, false
	}
	return e.endpoint, true
}
