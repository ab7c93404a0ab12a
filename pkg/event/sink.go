package event

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
)

const (
	// maxQueuedLines is the number of lines queued for a slow reader before lines
	// are dropped.
	maxQueuedLines = 1024
	// In each second the first linesPerSecond lines of an event are written, and
	// after them one line in sampleEvery.
	linesPerSecond = 40
	sampleEvery    = 100
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Sink writes log lines without blocking the caller. Lines that the reader does
// not accept in time, or that exceed the rate of an event, are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closing chan struct{}
	dropped atomic.Int64
	group   errgroup.Group
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closing: make(chan struct{})}
	s.group.Go(s.run)
	return s
}

// Write implements io.Writer. It never blocks or fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

func (s *Sink) run() error {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.writeLine(line)
				default:
					return nil
				}
			}
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		// The error has no other output; Report logs the count once out accepts lines again.
		s.dropped.Add(1)
	}
}

// Close writes the queued lines and ends the sink. It waits at most maxWait.
func (s *Sink) Close(maxWait time.Duration) {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(maxWait):
	}
}

// Logger returns a logger that writes JSON lines to the sink and limits the rate
// of each event.
func (s *Sink) Logger() *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), s, zapcore.DebugLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				s.dropped.Add(1)
			}
		}))
	return zap.New(sampled)
}

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Report logs the number of dropped lines periodically, until stop is closed.
func (s *Sink) Report(logs *Logs, stop <-chan struct{}) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := s.Dropped(); n > 0 {
				logs.Emit(LinesDropped, zap.Int64("lines", n))
			}
		case <-stop:
			return
		}
	}
}
