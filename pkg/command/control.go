package command

import (
	"context"
	"io"
)

// ControlTable lists the commands of skylarkctl.
var ControlTable = []Command{}

// Control runs skylarkctl with its arguments and returns the exit code.
func Control(args []string, out, errs io.Writer) int {
	return run(context.Background(), "skylarkctl", "operators' tool for skylarkloom", ControlTable, args, Streams{Out: out, Err: errs})
}
