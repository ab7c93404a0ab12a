// Command rig3 runs the scripted cases of the third review: nodes as processes, with stand-ins
// of the platform, of workers and of clients. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. With trouble false they run without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"dark":   runDark,
	"deadly": runDeadly,
	"leaves": runLeaves,
}

func main() {
	// The nodes end with the thread that started them.
	runtime.LockOSThread()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	var group errgroup.Group
	group.Go(func() error {
		<-ended
		os.Exit(exitNotRun)
		return nil
	})
	os.Exit(run())
}

// run runs the case that the arguments name: its name and the path of its record.
func run() int {
	const wantArgs = 3
	if len(os.Args) != wantArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return exitNotRun
	}
	r := &record{}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("not run: %v", err)
	}
	if writeErr := r.write(os.Args[2]); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}
