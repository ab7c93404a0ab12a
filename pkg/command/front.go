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
	// memoryLimitFraction is the fraction of the process's memory that is set as the
	// memory limit of the Go runtime. Near the limit the garbage collector runs more
	// often.
	memoryLimitFraction = 0.7
	// logFlushTimeout bounds the flush of buffered log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func setupFront(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var file string
	sub.String(&file, "s", "settings", "the settings file of the platform; default: the variable SKYLARKLOOM_SETTINGS")
	return func(ctx context.Context, s Streams) error {
		if file == "" {
			file = os.Getenv(platform.SettingsVariable)
		}
		if file == "" {
			return &Error{Code: ExitUsage, Cause: errors.Newf("no settings file is named; give --settings FILE or set %s", platform.SettingsVariable)}
		}
		return runFront(ctx, s, file)
	}
}

// runFront runs a node on the users' platform until SIGTERM or SIGINT. SIGHUP
// checks the settings file without applying it.
func runFront(ctx context.Context, s Streams, file string) (err error) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	// The node has a fraction of one CPU core, so more threads would not run in
	// parallel.
	runtime.GOMAXPROCS(1)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * (1 << 20)))
	}
	sink := event.NewSink(s.Out)
	defer sink.Close(logFlushTimeout)
	logs := &event.Logs{Base: sink.Logger().With(zap.String("node", string(settings.Node))), Level: zapcore.InfoLevel}
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		sink.Report(logs, done)
		return nil
	})
	defer close(done)
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
		checkSettingsFile(logs, file, settings)
	}
	return f.Stop(ctx)
}

// checkSettingsFile reads the settings file again, and logs whether it is valid and
// differs from the settings in use. It applies nothing: changed addresses and limits
// require a new process, which the platform starts.
func checkSettingsFile(logs *event.Logs, file string, inUse platform.Settings) {
	next, err := platform.LoadSettings(file)
	if err != nil {
		logs.Emit(event.SettingsInvalid, zap.Error(err))
		return
	}
	logs.Emit(event.SettingsReread, zap.Bool("changed", !next.Equal(&inUse)))
}
