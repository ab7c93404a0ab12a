package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/entry"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

// Drain is the first half of a planned stop. The node is not ready from the
// first moment and serves on for the notice; then it refuses new requests. Drain
// returns once those in flight are finished and their records are in the log.
func (d *Daemon) Drain(ctx context.Context) (err error) {
	d.Logs.Emit(event.NodeDraining)
	d.leaving.Store(true)
	if err := d.giveNotice(ctx); err != nil {
		return err
	}
	err = d.kernel.Drain(ctx)
	return errors.CombineErrors(err, d.flush(ctx))
}

// giveNotice serves on while balancers and callers go over to other nodes.
func (d *Daemon) giveNotice(ctx context.Context) error {
	h, err := kernel.Find[*entry.Handler](&d.kernel, ServiceEntry)
	if err != nil {
		return err
	}
	h.DisableKeepAlives()
	t := time.NewTimer(d.Settings.Shutdown.UnreadyDelay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush waits until the log holds every record of this node's orders. Other
// records do no harm if they are lost: a lease lapses, and charges are written
// when the ledger ends.
func (d *Daemon) flush(ctx context.Context) error {
	var g errgroup.Group
	for _, s := range d.required {
		g.Go(func() error {
			err := s.Flush(ctx)
			if err != nil {
				d.Logs.Emit(event.RecordsNotWritten, zap.String("stream", string(s.Name)), zap.Error(err))
			}
			return errors.Wrapf(err, "write the last records of stream %s", s.Name)
		})
	}
	return g.Wait()
}

// Stop ends the services, those first that use others. Without a Drain before
// it, requests in flight are cut when the context ends.
func (d *Daemon) Stop(ctx context.Context) error {
	defer d.Logs.Emit(event.NodeStopped)
	defer d.client.CloseIdleConnections()
	defer d.cancel()
	return d.kernel.Stop(ctx)
}

// running returns a service that runs until it is stopped. Stop waits for its
// end, so that what it uses outlives it.
func running(name kernel.ServiceName, value any, run func(ctx context.Context) error) kernel.Service {
	done := make(chan struct{})
	var g errgroup.Group
	var cancel context.CancelFunc
	return kernel.Service{
		Name:  name,
		Value: value,
		Done:  done,
		Start: func(ctx context.Context) error {
			ctx, cancel = context.WithCancel(ctx)
			g.Go(func() error {
				defer close(done)
				return run(ctx)
			})
			return nil
		},
		Stop: func(ctx context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	}
}
