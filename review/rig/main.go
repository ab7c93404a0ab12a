// Command rig plays the cases of the review that cannot be put as a day. It starts nodes
// as processes on loopback addresses, with stand-ins of the platform, endpoints and
// callers in its own process, and judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is when a run that has not ended is given up.
const maxRunTime = 115 * time.Second

// cases are the cases by name. A case reports what broke its rule.
var cases = map[string]func(r *rig, trouble bool) (broken []string, err error){
	"replaced": playReplaced,
	"silence":  playSilence,
	"early":    playEarly,
	"deadly":   playDeadly,
	"outlived": playOutlived,
}

func main() {
	const argumentCount = 4
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, program, recordPath string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	r, err := newRig(program, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ended := make(chan struct{})
	r.group.Go(func() error { return r.giveUp(ended) })
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble: %t", name, trouble)
	broken, err := play(r, trouble)
	close(ended)
	err = firstError(err, r.close(), r.interrupted())
	for _, line := range broken {
		r.note("BROKEN %s", line)
	}
	code := exitHeld
	switch {
	case err != nil:
		r.note("NOT RUN %v", err)
		code = exitNotRun
	case len(broken) > 0:
		code = exitBroken
	}
	r.note("exit code %d", code)
	if err := r.record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// giveUp ends the nodes when the run is interrupted or takes too long.
func (r *rig) giveUp(ended <-chan struct{}) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-ended:
		return nil
	case <-signals:
	case <-time.After(maxRunTime):
	}
	r.gaveUp.Store(true)
	return r.killNodes()
}

// interrupted returns an error if the run was given up.
func (r *rig) interrupted() error {
	if r.gaveUp.Load() {
		return errGaveUp
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
