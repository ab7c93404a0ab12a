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

// Drain is the first part of a planned shutdown. The node becomes not ready immediately
// and continues to serve for the UnreadyDelay; then it refuses new requests. Drain
// returns when the requests in flight are finished and their records are in the log.
func (d *Daemon) Drain(ctx context.Context) (err error) {
	d.Logs.Emit(event.NodeDraining)
	d.draining.Store(true)
	if err := d.waitUnready(ctx); err != nil {
		return err
	}
	err = d.kernel.Drain(ctx)
	return errors.CombineErrors(err, d.flushOrders(ctx))
}

// waitUnready disables keep-alive connections and continues to serve for the
// UnreadyDelay, while load balancers and callers switch to other nodes.
func (d *Daemon) waitUnready(ctx context.Context) error {
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

// flushOrders waits until the log holds every record of this node's orders. It does
// not wait for other records, whose loss does no harm: a lease expires, and the
// ledger service writes its charges when it stops.
func (d *Daemon) flushOrders(ctx context.Context) error {
	var g errgroup.Group
	for _, s := range d.orderStreams {
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

// Stop stops the services, each before the services that it uses. Without a preceding
// Drain, requests in flight are aborted when the context ends.
func (d *Daemon) Stop(ctx context.Context) error {
	defer d.Logs.Emit(event.NodeStopped)
	defer d.httpClient.CloseIdleConnections()
	defer d.cancel()
	return d.kernel.Stop(ctx)
}

// backgroundService returns a service that calls run in a goroutine. Its Stop cancels
// the context of run and waits until run returns, so that the services that it uses
// are stopped later.
func backgroundService(name kernel.ServiceName, value any, run func(ctx context.Context) error) kernel.Service {
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
