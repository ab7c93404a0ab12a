package event_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/skylarkloom/skylarkloom/pkg/event"
)

// output is a writer that blocks until stuck, if set, is closed.
type output struct {
	mu    sync.Mutex
	lines bytes.Buffer
	stuck chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.stuck != nil {
		<-o.stuck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.Write(p)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lines.String()
}

var _ = Describe("The log sink", func() {
	It("never blocks the caller, and counts the lines that a blocked output does not accept", func() {
		out := &output{stuck: make(chan struct{})}
		sink := event.NewSink(out)
		for range 5000 {
			_, err := sink.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(sink.Dropped()).To(BeNumerically(">", 3000))
		close(out.stuck)
		sink.Close(time.Minute)
	})

	It("limits the rate of each event, so that many successes do not displace failures", func() {
		out := &output{}
		sink := event.NewSink(out)
		logs := &event.Logs{Base: sink.Logger(), Level: zapcore.InfoLevel}
		for range 1000 {
			logs.Emit(event.RequestServed)
		}
		logs.Emit(event.RequestFailed, zap.String("request", "r1"))
		sink.Close(time.Minute)
		Expect(strings.Count(out.text(), "request served")).To(BeNumerically("<", 200))
		Expect(out.text()).To(ContainSubstring(`"request":"r1"`))
		Expect(sink.Dropped()).To(BeNumerically(">", 800))
	})
})
