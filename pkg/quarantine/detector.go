package quarantine

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// probeTimeout limits one probe of an endpoint.
const probeTimeout = 500 * time.Millisecond

// Detector tells crashes of endpoints from exchanges that broke off for other reasons:
// after a crash, the endpoint refuses connections. All functions must be set; otherwise
// the zero value is ready to use.
type Detector struct {
	// Probe opens a connection to an address.
	Probe func(ctx context.Context, address string) error
	// Go runs a function in the background, with a context that ends with the node.
	Go func(func(context.Context))
	// OnCrash is called for each request that was in flight at an endpoint which crashed.
	OnCrash func(e serving.Endpoint, r Run)

	mu sync.Mutex
	// broken holds the runs that broke off at endpoints which are being probed.
	broken map[fleet.InstanceID][]Run
}

// RecordBroken records that an endpoint broke off a run, and finds out in the
// background whether the endpoint crashed.
func (d *Detector) RecordBroken(e serving.Endpoint, r Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.broken == nil {
		d.broken = make(map[fleet.InstanceID][]Run)
	}
	probing := len(d.broken[e.ID]) > 0
	d.broken[e.ID] = append(d.broken[e.ID], r)
	if !probing {
		d.Go(func(ctx context.Context) { d.probe(ctx, e) })
	}
}

// probe finds out whether an endpoint crashed.
func (d *Detector) probe(ctx context.Context, e serving.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.Probe(ctx, e.Address)
	d.mu.Lock()
	broken := d.broken[e.ID]
	delete(d.broken, e.ID)
	d.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	for _, r := range broken {
		d.OnCrash(e, r)
	}
}
