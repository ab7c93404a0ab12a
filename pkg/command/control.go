package command

import (
	"context"
	"io"
	"os/signal"
	"syscall"
)

// ControlProgram returns skylarkctl.
func ControlProgram() Program {
	return Program{Name: "skylarkctl", Description: "operators' tool for skylarkloom", Commands: []Command{
		{Name: "config check", Help: "check a configuration file and report every mistake", Example: "skylarkctl config check fleet.yaml", Setup: configCheck},
		{Name: "config publish", Help: "put a configuration file in force", Example: `skylarkctl config publish fleet.yaml --author nino --message "more carts for May"`, Setup: configPublish},
		{Name: "config show", Help: "show the configuration in force, or with --why where each value comes from", Example: "skylarkctl config show --why dezerter-sellers loom-servers", Setup: configShow},
		{Name: "config history", Help: "list the configurations that were in force", Example: "skylarkctl config history", Setup: configHistory},
		{Name: "config diff", Help: "compare a configuration file with the one in force", Example: "skylarkctl config diff fleet.yaml", Setup: configDiff},
		{Name: "config wait", Help: "wait until a revision is in force on every node", Example: "skylarkctl config wait 17 --timeout 10s", Setup: configWait},
		{Name: "status", Help: "show the fleet, the nodes, the log and what is degraded", Example: "skylarkctl status --json", Setup: showStatus},
		{Name: "order", Help: "show the state of a keyed request", Example: "skylarkctl order dezerter-sellers reserve-trolley-7", Setup: showOrder},
		{Name: "bill", Help: "show charges per account and pool against what instances cost", Example: "skylarkctl bill --json", Setup: showBill},
		{Name: "suspect list", Help: "list the contents that crashed endpoints", Example: "skylarkctl suspect list", Setup: suspectList},
		{Name: "suspect release", Help: "lift the suspicion of, or the conviction on, a content", Example: "skylarkctl suspect release DIGEST", Setup: suspectRelease},
		{Name: "burn", Help: "show how fast each account and pool uses up its error budget, and what burned it", Example: "skylarkctl burn --address 10.0.0.1:7001 --address 10.0.0.2:7001 --html burn.html", Setup: showBurn},
		{Name: "explain", Help: "tell from nodes' logs what became of a request, and why", Example: "skylarkctl explain 9c41d07be2a35f68 --files node1.log,node2.log", Setup: explainFlags},
		{Name: "load", Help: "put a bounded open-loop load on a fleet and measure latency, cost and recomputed tokens", Example: "skylarkctl load --callers http://127.0.0.1:8080 --key-file key --model loom-servers --rate 50 --duration 30s", Setup: putLoad},
	}}
}

// Control runs skylarkctl with its arguments and returns the exit code.
func RunControl(args []string, out, errs io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return ControlProgram().Run(ctx, args, Streams{Out: out, Err: errs})
}
