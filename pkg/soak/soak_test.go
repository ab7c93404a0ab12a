package soak

import (
	"context"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	seedCount    = flag.Int("seeds", 1, "number of seeds to run in addition to the regression seeds")
	firstSeed    = flag.Uint64("first", 1, "first seed")
	parallelRuns = flag.Int("jobs", 4, "number of runs in parallel")
)

// regressionSeeds are seeds that have failed before and are run each time. Each
// has a comment on its cause.
var regressionSeeds = []uint64{
	// Crashes of an engine that was back after half a second counted as one crash.
	916,
	// An endpoint that had announced that it leaves got requests again once its entry showed
	// another birth.
	35,
	// The rest of a long body reached an endpoint seconds after the caller had left.
	4043,
	// The check took refusals on connections that the endpoint's crash had reset for answers.
	4030,
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test runs in real time")
	}
	program := buildProgram(t)
	allSeeds := regressionSeeds
	for n := range *seedCount {
		allSeeds = append(allSeeds, *firstSeed+uint64(n))
	}
	t.Run("seeds", func(t *testing.T) {
		slots := make(chan struct{}, *parallelRuns)
		for _, seed := range allSeeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				runSeed(t, seed, program)
			})
		}
	})
	if err := background.Wait(); err != nil {
		t.Error(err)
	}
}

// buildProgram builds the program under test and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "skylarkloomd")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/skylarkloomd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// runSeed runs the plan of one seed and reports the rules that were violated.
func runSeed(t *testing.T, seed uint64, program string) {
	cl, err := newCluster(seed, program, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer cl.close()
	if !cl.awaitReady() {
		t.Fatal("nodes did not become ready in time")
	}
	cl.startedAt = time.Now()
	steps := append(plan(seed), planAnnouncements(seed)...)
	var faults errgroup.Group
	for _, s := range steps {
		faults.Go(func() error {
			time.Sleep(s.start)
			return cl.runStep(s)
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), faultTime+recoveryTime)
	defer cancel()
	cl.sendCalls(ctx)
	if err := faults.Wait(); err != nil {
		t.Error(err)
	}
	// A request that was reported as not run must not run later.
	time.Sleep(callDeadline)
	// Nodes still call the platform's API.
	cl.mu.Lock()
	violations := cl.verify()
	cl.mu.Unlock()
	if len(violations) == 0 {
		return
	}
	var report strings.Builder
	fmt.Fprintf(&report, "seed %d, started at %s\n", seed, cl.startedAt.Format(time.RFC3339Nano))
	for _, s := range steps {
		fmt.Fprintln(&report, s)
	}
	for _, line := range violations {
		fmt.Fprintln(&report, "broken:", line)
	}
	dir, err := cl.saveLogs(report.String())
	t.Errorf("%slogs: %s %v", report.String(), dir, err)
}

// awaitReady waits until all nodes are ready and reports whether they are in time.
func (cl *cluster) awaitReady() bool {
	const maxWait = 20 * time.Second
	for expires := time.Now().Add(maxWait); time.Now().Before(expires); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range cl.nodes {
			if p.ready() {
				ready++
			}
		}
		if ready == nodeCount {
			return true
		}
	}
	return false
}
