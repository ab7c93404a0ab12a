package replay_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/replay"
)

var (
	measure = flag.String("measure", "", "write a comparison of the policies to this file")
	burst   = flag.Bool("burst", false, "print a comparison of a burst with and without admission")
	seeds   = flag.Int("seeds", 4, "number of seeds of the comparison")
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

// TestMeasure writes docs/measured/policy.txt when it is run by make measure.
func TestMeasure(t *testing.T) {
	if *measure == "" {
		t.Skip("-measure is not set")
	}
	commit, err := exec.CommandContext(t.Context(), "git", "describe", "--always", "--dirty").Output()
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	start := time.Now()
	fmt.Fprintf(&b, "Comparison of the policies by pkg/replay, in virtual time\ncommit %s, %s/%s, %d cores, %s\n",
		strings.TrimSpace(string(commit)), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	replay.Measure(&b, *seeds)
	replay.MeasureBurst(&b, *seeds, 10)
	fmt.Fprintf(&b, "\nsimulated in %v\n", time.Since(start).Round(time.Second))
	if err := os.WriteFile(*measure, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestBurst prints only the comparison of a burst with and without admission.
func TestBurst(t *testing.T) {
	if !*burst {
		t.Skip("-burst is not set")
	}
	var b bytes.Buffer
	replay.MeasureBurst(&b, *seeds, 10)
	t.Log(b.String())
}

var _ = Describe("Replay", func() {
	It("gives the same result for the same trace and seed", func() {
		p := replay.Policies()[0]
		first := replay.Simulate(replay.Night(1), p, 8, 1)
		Expect(replay.Simulate(replay.Night(1), p, 8, 1)).To(Equal(first))
		Expect(first.Requests).To(BeNumerically(">", 500))
	})

	It("loses no requests when the capacity suffices, except with the policy of the cheapest zone only", func() {
		for _, p := range replay.Policies() {
			if p.Name == "cheapest zone only" {
				// All its instances are in the reclaimed zone.
				continue
			}
			Expect(replay.Simulate(replay.Night(1), p, 30, 1).Lost).To(BeZero(), p.Name)
		}
	})

	It("dispatches no new requests to a leaving instance after the nodes know of the notice", func() {
		Expect(replay.Simulate(replay.Night(2), replay.Policies()[0], 8, 2).LastDispatchAfterNotice).To(BeNumerically("<=", 500*time.Millisecond))
	})
})
