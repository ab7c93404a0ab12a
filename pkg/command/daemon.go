package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/daemon"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// drainTimeout bounds how long a planned stop waits for requests in flight.
const drainTimeout = 15 * time.Minute

// stopTimeout bounds how long the services may take to end.
const stopTimeout = 10 * time.Second

// DaemonProgram returns skylarkloomd.
func DaemonProgram() Program {
	return Program{Name: "skylarkloomd", About: "entry daemon for model engines and plain services", Table: []Command{
		{Name: "run", Help: "run an entry node", Example: "skylarkloomd run --settings node.yaml", Flags: runFlags},
		{Name: "check", Help: "check a settings file and report every mistake", Example: "skylarkloomd check --settings node.yaml", Flags: checkFlags},
		{Name: "try", Help: "show the main job on embedded stand-ins; --stay keeps them running", Example: "skylarkloomd try --stay", Flags: tryFlags},
	}}
}

// Daemon runs skylarkloomd with its arguments and returns the exit code.
func Daemon(args []string, out, errs io.Writer) int {
	return DaemonProgram().Run(context.Background(), args, Streams{Out: out, Err: errs})
}

func runFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	sub.String(&file, "s", "settings", "the settings file")
	return func(ctx context.Context, _ Streams) error { return runNode(ctx, file) }
}

func checkFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	sub.String(&file, "s", "settings", "the settings file")
	return func(_ context.Context, s Streams) error {
		if _, err := settings.Load(file); err != nil {
			return &Error{Code: ExitUsage, Cause: err}
		}
		fmt.Fprintf(s.Out, "%s: no mistakes found\n", file)
		return nil
	}
}

// runNode runs a node until a signal. The first signal drains it, a second one
// ends it at once.
func runNode(ctx context.Context, file string) (err error) {
	checked, err := settings.Load(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	base, err := zap.NewProduction(zap.IncreaseLevel(zap.DebugLevel))
	if err != nil {
		return err
	}
	logs := &event.Logs{Base: base, Level: checked.Log.Level, Levels: checked.Log.Levels}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	d := &daemon.Daemon{Settings: checked, Logs: logs}
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-signals
	return drain(ctx, d, logs, signals)
}

func drain(ctx context.Context, d *daemon.Daemon, logs *event.Logs, signals <-chan os.Signal) error {
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	forced := make(chan struct{})
	var watch errgroup.Group
	watch.Go(func() error {
		select {
		case <-signals:
			close(forced)
			logs.Emit(event.NodeForced)
			cancel()
		case <-drainCtx.Done():
		}
		return nil
	})
	err := d.Drain(drainCtx)
	cancel()
	_ = watch.Wait()
	stopCtx, done := context.WithTimeout(ctx, stopTimeout)
	defer done()
	select {
	case <-forced:
		done()
	default:
	}
	if stopErr := d.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return err
}

func tryFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var stay bool
	sub.Bool(&stay, "", "stay", "keep running for tests from outside")
	return func(ctx context.Context, s Streams) (err error) {
		ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		t := &trial.Trial{}
		if err := t.Start(ctx); err != nil {
			return err
		}
		defer func() {
			stopCtx, done := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer done()
			if stopErr := t.Stop(stopCtx); err == nil {
				err = stopErr
			}
		}()
		addresses, err := t.Open()
		if err != nil {
			return err
		}
		if !stay {
			return t.Show(ctx, s.Out, addresses)
		}
		if err := json.NewEncoder(s.Out).Encode(addresses); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}
