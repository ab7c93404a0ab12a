//go:build measure

package peer_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/peer"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// appendRate returns the log's appends per second while each node writes to one
// stream at an interval, directly or through a log writer.
func appendRate(nodes int, interval time.Duration, forwarded bool) (rate float64) {
	synctest.Test(suiteT, func(t *testing.T) {
		g := NewWithT(t)
		log := &standin.Log{Delay: 5 * time.Millisecond}
		writer := &peer.LogWriter{Log: log.Client(), MinInterval: 100 * time.Millisecond}
		var running errgroup.Group
		const span = 10 * time.Second
		for n := range nodes {
			data, _ := newGroup(g)
			running.Go(func() error {
				f := &peer.Forwarder{Local: &peer.LogWriter{Log: log.Client()}}
				if forwarded {
					f.Writer = func(platform.StreamName) (peer.Peer, bool) { return peer.Peer{Name: "writer"}, true }
					f.RemoteAppend = func(ctx context.Context, _ peer.Peer, stream platform.StreamName, data []byte) (fleet.Offset, error) {
						time.Sleep(hopLatency)
						defer time.Sleep(hopLatency)
						return writer.Append(ctx, stream, data)
					}
				}
				time.Sleep(time.Duration(n) * interval / time.Duration(nodes))
				for begin := time.Now(); time.Since(begin) < span; {
					next := time.Now().Add(interval)
					if _, err := f.Append(t.Context(), "s", data); err != nil {
						return err
					}
					time.Sleep(time.Until(next))
				}
				return nil
			})
		}
		g.Expect(running.Wait()).To(Succeed())
		rate = float64(log.Appends()) / span.Seconds()
	})
	return rate
}

var _ = Describe("Measure", func() {
	It("the appends saved by a log writer", func() {
		out := os.Stdout
		if name := os.Getenv("MEASURE_FILE"); name != "" {
			f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY|os.O_CREATE, 0o644)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			out = f
		}
		for _, nodes := range []int{7, 20, 57} {
			for _, interval := range []time.Duration{time.Second, 100 * time.Millisecond} {
				fmt.Fprintf(out, "log writer: %d nodes, each one group of records every %s, log responds in 5 ms: %.0f appends/s directly, %.0f through a log writer with an interval of 100 ms\n",
					nodes, interval, appendRate(nodes, interval, false), appendRate(nodes, interval, true))
			}
		}
	})
})
