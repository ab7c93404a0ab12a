package command

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// stopTimeout bounds the stop after the drain.
const stopTimeout = 10 * time.Second

// stopSequence drains and then stops a server.
type stopSequence struct {
	Drain func(ctx context.Context) error
	Stop  func(ctx context.Context) error
	// DrainTimeout bounds the drain.
	DrainTimeout time.Duration
	// OnForced is called when another signal aborts the drain or the stop.
	OnForced func()
}

// run drains and stops. Another signal cancels both, which makes run return an
// error.
func (s stopSequence) run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch errgroup.Group
	watch.Go(func() error {
		select {
		case <-signals:
			s.OnForced()
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	drainCtx, cancelDrain := context.WithTimeout(ctx, s.DrainTimeout)
	err := s.Drain(drainCtx)
	cancelDrain()
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	stopErr := s.Stop(stopCtx)
	cancelStop()
	cancel()
	_ = watch.Wait()
	if err == nil {
		err = stopErr
	}
	return err
}
