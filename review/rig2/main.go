// Command rig2 runs the cases of the second independent review as scripts. It starts nodes as
// separate processes on loopback addresses, beside stand-ins of the platform, of workers and
// of clients, and judges what those have seen.
package main

import (
	"fmt"
	"os"
	"slices"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	troubleName = "TROUBLE"
)

// cases are the cases by name. A case reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"budget":  runBudget,
	"copies":  runCopies,
	"crowd":   runCrowd,
	"deadly":  runDeadly,
	"options": runOptions,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case that the arguments name, and returns the exit code.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := !slices.Contains([]string{"0", "no"}, os.Getenv(troubleName))
	r.printf("case %s, with the disruption: %t", args[0], trouble)
	f, err := newFleet(r)
	defer f.close()
	f.variant = os.Getenv(troubleName)
	broken := false
	if err == nil {
		broken, err = cases[args[0]](f, trouble)
	}
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	default:
		r.printf("result: the rule held")
		return exitHeld
	}
}
