package command

import (
	"context"
	"io"
	"os/signal"
	"syscall"
)

// ControlProgram returns the program skylarkctl.
func ControlProgram() Program {
	return Program{Name: "skylarkctl", Description: "operators' tool for skylarkloom", Commands: []Command{
		{Name: "config check", Help: "check a configuration file and report every mistake", Example: "skylarkctl config check fleet.yaml", Setup: setupConfigCheck},
		{Name: "config publish", Help: "publish a configuration file", Example: `skylarkctl config publish fleet.yaml --author nino --message "more carts for May"`, Setup: setupConfigPublish},
		{Name: "config show", Help: "show the configuration in force, or with --why the source of each value", Example: "skylarkctl config show --why dezerter-sellers loom-servers", Setup: setupConfigShow},
		{Name: "config history", Help: "list the configurations that were in force", Example: "skylarkctl config history", Setup: setupConfigHistory},
		{Name: "config diff", Help: "compare a configuration file with the one in force", Example: "skylarkctl config diff fleet.yaml", Setup: setupConfigDiff},
		{Name: "config wait", Help: "wait until a revision is in force on every node", Example: "skylarkctl config wait 17 --timeout 10s", Setup: setupConfigWait},
		{Name: "status", Help: "show the fleet, the nodes, the log and what is degraded", Example: "skylarkctl status --json", Setup: setupStatus},
		{Name: "order", Help: "show the state of a keyed request", Example: "skylarkctl order dezerter-sellers reserve-trolley-7", Setup: setupOrder},
		{Name: "bill", Help: "show the charges per account and pool and the cost of the instances", Example: "skylarkctl bill --json", Setup: setupBill},
		{Name: "suspect list", Help: "list the contents that crashed endpoints", Example: "skylarkctl suspect list", Setup: setupSuspectList},
		{Name: "suspect release", Help: "release a suspected or quarantined content", Example: "skylarkctl suspect release DIGEST", Setup: setupSuspectRelease},
		{Name: "burn", Help: "show how fast each account and pool consumes its error budget, and by which failures", Example: "skylarkctl burn --address 10.0.0.1:7001 --address 10.0.0.2:7001 --html burn.html", Setup: setupBurn},
		{Name: "explain", Help: "explain the outcome of a request from the logs of nodes", Example: "skylarkctl explain 9c41d07be2a35f68 --files node1.log,node2.log", Setup: setupExplain},
		{Name: "load", Help: "run a bounded open-loop load test against a fleet and measure latency, cost and recomputed tokens", Example: "skylarkctl load --callers http://127.0.0.1:8080 --key-file key --model loom-servers --rate 50 --duration 30s", Setup: setupLoad},
	}}
}

// RunControl runs skylarkctl with the arguments and returns the exit code.
func RunControl(args []string, stdout, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return ControlProgram().Run(ctx, args, Streams{Out: stdout, Err: stderr})
}
