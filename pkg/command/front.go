package command

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/front"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// memoryShare is the part of the process's memory that the heap may fill
	// before the collector works harder.
	memoryShare = 0.7
	// logFlush is how long the last log lines may take at the end.
	logFlush = 200 * time.Millisecond
)

func frontFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var file string
	sub.String(&file, "s", "settings", "the settings file of the platform; the environment names it otherwise")
	return func(ctx context.Context, s Streams) error {
		if file == "" {
			file = os.Getenv(platform.SettingsVariable)
		}
		if file == "" {
			return &Error{Code: ExitUsage, Cause: errors.Newf("neither --settings nor %s names a settings file", platform.SettingsVariable)}
		}
		return runFront(ctx, s, file)
	}
}

// runFront runs a node on the users' platform until a signal.
func runFront(ctx context.Context, s Streams, file string) (err error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	// The node has a part of one core; more threads would only take turns.
	runtime.GOMAXPROCS(1)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	sink := event.NewSink(s.Out)
	defer sink.Close(logFlush)
	logs := &event.Logs{Base: sink.Logger().With(zap.String("node", string(settings.Node))), Level: zapcore.InfoLevel}
	stopped := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		sink.Report(logs, stopped)
		return nil
	})
	defer close(stopped)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	f := &front.Front{Settings: settings, Logs: logs}
	if err := f.Start(ctx); err != nil {
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(logs, file, settings)
	}
	return f.Stop(ctx)
}

// reload reads the settings again. Addresses and bounds are those of the start;
// a change of them takes a new process, which the platform starts by itself.
func reload(logs *event.Logs, file string, old platform.Settings) {
	next, err := platform.LoadSettings(file)
	if err != nil {
		logs.Emit(event.SettingsInvalid, zap.Error(err))
		return
	}
	logs.Emit(event.SettingsReloaded, zap.Bool("changed", !next.Equal(&old)))
}
