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

// DaemonProgram returns the program skylarkloomd.
func DaemonProgram() Program {
	return Program{Name: "skylarkloomd", Description: "entry daemon for model engines and plain services", Commands: []Command{
		{Name: "run", Help: "run an entry node", Example: "skylarkloomd run --settings node.yaml", Setup: setupRun},
		{Name: "front", Help: "run a node on the users' platform", Example: "skylarkloomd front", Setup: setupFront},
		{Name: "check", Help: "check a settings file and report every mistake", Example: "skylarkloomd check --settings node.yaml", Setup: setupCheck},
		{Name: "try", Help: "demonstrate chat, an order, a configuration change and a reclaim on embedded stand-ins; --stay keeps them running", Example: "skylarkloomd try --stay", Setup: setupTry},
		{Name: "docs", Help: "write the documentation pages that are generated from the code", Hidden: true, Setup: setupDocs},
	}}
}

// RunDaemon runs skylarkloomd with the arguments and returns the exit code.
func RunDaemon(args []string, stdout, stderr io.Writer) int {
	return DaemonProgram().Run(context.Background(), args, Streams{Out: stdout, Err: stderr})
}

func setupRun(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	sub.String(&file, "s", "settings", "the settings file")
	return func(ctx context.Context, _ Streams) error { return runNode(ctx, file) }
}

func setupCheck(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	file := "skylarkloomd.yaml"
	var forPlatform bool
	sub.String(&file, "s", "settings", "the settings file")
	sub.Bool(&forPlatform, "p", "platform", "check a settings file of the users' platform, as used by front")
	return func(_ context.Context, s Streams) error {
		load := func() (err error) { _, err = settings.Load(file); return err }
		if forPlatform {
			load = func() (err error) { _, err = platform.LoadSettings(file); return err }
		}
		if err := load(); err != nil {
			return &Error{Code: ExitUsage, Cause: err}
		}
		fmt.Fprintf(s.Out, "%s: no mistakes found\n", file)
		return nil
	}
}

// runNode runs an entry node until a signal is received. The first signal drains
// the node, a second one stops it immediately.
func runNode(ctx context.Context, file string) (err error) {
	nodeSettings, err := settings.Load(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	zapConfig := zap.NewProductionConfig()
	zapConfig.Level.SetLevel(zap.DebugLevel)
	logger, err := zapConfig.Build()
	if err != nil {
		return err
	}
	logs := &event.Logs{Base: logger, Level: nodeSettings.Log.Level, Levels: nodeSettings.Log.Levels}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	d := &daemon.Daemon{Settings: nodeSettings, Logs: logs}
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-signals
	return stopSequence{
		Drain:        d.Drain,
		Stop:         d.Stop,
		DrainTimeout: nodeSettings.Shutdown.DrainTimeout,
		OnForced:     func() { logs.Emit(event.NodeForcedStop) },
	}.run(ctx, signals)
}

func setupTry(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var stay, bare bool
	sub.Bool(&stay, "", "stay", "keep running, for tests in other processes")
	sub.Bool(&bare, "", "bare", "with --stay: start only the stand-ins, for daemons that run as separate processes")
	return func(ctx context.Context, s Streams) error {
		if bare && !stay {
			return &Error{Code: ExitUsage, Cause: errors.New("--bare requires --stay")}
		}
		return try(ctx, s, stay, bare)
	}
}

// try starts a trial and runs the demonstration, or with stay prints the addresses
// of the trial and waits for a signal.
func try(ctx context.Context, s Streams, stay, bare bool) (err error) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	t := &trial.Trial{StandinsOnly: bare}
	if err := t.Start(ctx); err != nil {
		return err
	}
	defer func() {
		shutdown := stopSequence{Drain: t.Drain, Stop: t.Stop, DrainTimeout: settings.DefaultDrainTimeout, OnForced: func() {}}
		if stopErr := shutdown.run(ctx, signals); err == nil {
			err = stopErr
		}
	}()
	addresses, err := t.Open()
	if err != nil {
		return err
	}
	if !stay {
		return t.RunDemo(ctx, s.Out, addresses)
	}
	if err := json.NewEncoder(s.Out).Encode(addresses); err != nil {
		return err
	}
	<-signals
	return nil
}
