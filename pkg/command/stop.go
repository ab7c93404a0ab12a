package command

import (
	"context"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// stopTimeout bounds how long the services may take to end.
const stopTimeout = 10 * time.Second

// stopper drains and then stops something that serves.
type stopper struct {
	Drain func(ctx context.Context) error
	Stop  func(ctx context.Context) error
	// Limit bounds the drain.
	Limit time.Duration
	// Forced is called when a second signal cuts the drain short.
	Forced func()
}

// run drains and stops. A signal meanwhile ends both at once, with an error.
func (s stopper) run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	var watch errgroup.Group
	watch.Go(func() error {
		select {
		case <-signals:
			s.Forced()
			cut()
		case <-ctx.Done():
		}
		return nil
	})
	drainCtx, drained := context.WithTimeout(ctx, s.Limit)
	err := s.Drain(drainCtx)
	drained()
	stopCtx, stopped := context.WithTimeout(ctx, stopTimeout)
	stopErr := s.Stop(stopCtx)
	stopped()
	cut()
	_ = watch.Wait()
	if err == nil {
		err = stopErr
	}
	return err
}
