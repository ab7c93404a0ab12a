package front

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/justinas/alice"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/interval"
	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

// callersService serves the requests of callers.
func (f *Front) callersService() kernel.Service {
	done := make(chan struct{})
	s := kernel.Service{Name: ServiceCallers, Done: done}
	s.Start = func(ctx context.Context) error {
		f.callerServer = &http.Server{
			Handler:     alice.New().Then(f.handler()),
			BaseContext: func(net.Listener) context.Context { return ctx },
			ConnContext: connection.NewContext,
			ConnState:   f.callerConns.SetState,
		}
		guard := &connection.Guard{Budget: &f.intake.callers, Limits: f.headLimits}
		var err error
		f.callerListener, err = f.serve(ctx, f.callerServer, guard, f.Settings.CallerAddress, done)
		f.group.Go(func() error {
			interval.Run(ctx, intakeInterval, f.sweepIntake)
			return nil
		})
		return err
	}
	s.Drain = func(ctx context.Context) error { return f.drainCallers(ctx, done) }
	s.Stop = func(context.Context) error { return f.callerServer.Close() }
	return s
}

// drainCallers refuses further requests as not run, closes the listener and the connections
// without requests, and waits for the requests in flight. served is closed when the server
// does not accept connections any more.
func (f *Front) drainCallers(ctx context.Context, served <-chan struct{}) error {
	f.shutdown.Refuse()
	err := f.callerConns.CloseIdle(ctx, f.callerListener, served)
	return errors.CombineErrors(err, f.callerConns.AwaitRequests(ctx))
}
