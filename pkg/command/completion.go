package command

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
)

// completionCommand returns the command that writes the completion script of a
// shell.
func (p Program) completionCommand() Command {
	return Command{
		Name:    "completion",
		Help:    "write the completion script of a shell: bash, zsh or fish",
		Example: "source <(" + p.Name + " completion bash)",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, Streams) error {
			var shell string
			sub.AddPositionalValue(&shell, "SHELL", 1, true, "bash, zsh or fish")
			return func(_ context.Context, s Streams) error { return p.writeCompletion(shell, s) }
		},
	}
}

func (p Program) writeCompletion(shell string, s Streams) error {
	parser := p.parser(p.bindAll())
	switch shell {
	case "bash":
		fmt.Fprint(s.Out, flaggy.GenerateBashCompletion(parser))
	case "zsh":
		fmt.Fprint(s.Out, flaggy.GenerateZshCompletion(parser))
	case "fish":
		fmt.Fprint(s.Out, flaggy.GenerateFishCompletion(parser))
	default:
		return usagef("no completion for shell %q; expected bash, zsh or fish", shell)
	}
	return nil
}
