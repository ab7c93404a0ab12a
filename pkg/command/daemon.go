package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/daemon"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
	"github.com/skylarkloom/skylarkloom/platform"
)

// DaemonProgram returns skylarkloomd.
func DaemonProgram() Program {
	return Program{Name: "skylarkloomd", Description: "entry daemon for model engines and plain services", Commands: []Command{
		{Name: "run", Help: "run an entry node", Example: "skylarkloomd run --settings node.yaml", Setup: runFlags},
		{Name: "front", Help: "run a node on the users' platform", Example: "skylarkloomd front", Setup: frontFlags},
		{Name: "check", Help: "check a settings file and report every mistake", Example: "skylarkloomd check --settings node.yaml", Setup: checkFlags},
		{Name: "try", Help: "show the main job on embedded stand-ins; --stay keeps them running", Example: "skylarkloomd try --stay", Setup: tryFlags},
		{Name: "docs", Help: "write the pages that are made from the code", Hidden: true, Setup: docsFlags},
	}}
}

// Daemon runs skylarkloomd with its arguments and returns the exit code.
func RunDaemon(args []string, out, errs io.Writer) int {
	return DaemonProgram().Run(context.Background(), args, Streams{Out: out, Err: errs})
}

func runFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	sub.String(&file, "s", "settings", "the settings file")
	return func(ctx context.Context, _ Streams) error { return runNode(ctx, file) }
}

func checkFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	var users bool
	sub.String(&file, "s", "settings", "the settings file")
	sub.Bool(&users, "p", "platform", "the file is one of the users' platform, for front")
	return func(_ context.Context, s Streams) error {
		load := func() (err error) { _, err = settings.Load(file); return err }
		if users {
			load = func() (err error) { _, err = platform.LoadSettings(file); return err }
		}
		if err := load(); err != nil {
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
	lines := zap.NewProductionConfig()
	lines.Level.SetLevel(zap.DebugLevel)
	base, err := lines.Build()
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
	return stopper{
		Drain:  d.Drain,
		Stop:   d.Stop,
		Limit:  checked.Stop.Limit,
		Forced: func() { logs.Emit(event.NodeForcedStop) },
	}.run(ctx, signals)
}

func tryFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var stay, bare bool
	sub.Bool(&stay, "", "stay", "keep running for tests from outside")
	sub.Bool(&bare, "", "bare", "with --stay: only the stand-ins, for daemons run as processes")
	return func(ctx context.Context, s Streams) error {
		if bare && !stay {
			return &Error{Code: ExitUsage, Cause: errors.New("--bare goes with --stay")}
		}
		return try(ctx, s, stay, bare)
	}
}

// try runs the try-out: the show, or until a signal.
func try(ctx context.Context, s Streams, stay, bare bool) (err error) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	t := &trial.Trial{Bare: bare}
	if err := t.Start(ctx); err != nil {
		return err
	}
	defer func() {
		end := stopper{Drain: t.Drain, Stop: t.Stop, Limit: settings.DefaultStopLimit, Forced: func() {}}
		if stopErr := end.run(ctx, signals); err == nil {
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
	<-signals
	return nil
}
