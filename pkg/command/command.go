// Package command defines the command lines of skylarkloomd and skylarkctl. Each
// program has one list of commands, from which the parser, the help texts, the
// completion scripts and the pages in docs/cli are generated.
package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// Exit codes of both programs.
const (
	ExitOK = 0
	// ExitFailed reports that the command ran and failed.
	ExitFailed = 1
	// ExitUsage reports an invalid command line, or an invalid file named on it.
	// The command had no effect.
	ExitUsage = 2
	// ExitConflict reports that another change was published first.
	ExitConflict = 3
	// ExitUnknown reports that the command may or may not have taken effect.
	ExitUnknown = 4
	// ExitUnavailable reports that the node or the platform does not respond. The
	// command had no effect.
	ExitUnavailable = 5
)

// ExitMeaning describes an exit code.
type ExitMeaning struct {
	Code    int
	Meaning string
}

// ExitMeanings lists the exit codes of both programs for their documentation.
var ExitMeanings = []ExitMeaning{
	{ExitOK, "the command succeeded"},
	{ExitFailed, "the command ran and failed"},
	{ExitUsage, "the command line, the token or a named file is invalid; nothing was changed"},
	{ExitConflict, "another change was published first; nothing was changed"},
	{ExitUnknown, "the command may or may not have taken effect"},
	{ExitUnavailable, "the node or the platform does not respond; nothing was changed"},
}

// Error is an error with the exit code of the program.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// usagef returns an error with the code ExitUsage.
func usagef(format string, args ...any) error {
	return &Error{Code: ExitUsage, Cause: errors.Newf(format, args...)}
}

// Command is a command of a program.
type Command struct {
	// Name is the name of the command. The name of a subcommand is preceded by
	// that of its group and a space.
	Name string
	// Help is the one-line description.
	Help    string
	Example string
	// Hidden commands are omitted from help, pages and completion.
	Hidden bool
	// Setup declares the flags and arguments on sub and returns the function that
	// runs the command once they are parsed.
	Setup func(sub *flaggy.Subcommand) func(ctx context.Context, s Streams) error
}

// Streams holds the output streams of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Program is a program with its commands.
type Program struct {
	Name        string
	Description string
	Commands    []Command
}

// boundCommand is a command whose flags are declared on a flaggy subcommand.
type boundCommand struct {
	command Command
	sub     *flaggy.Subcommand
	action  func(context.Context, Streams) error
}

func (c Command) bind() boundCommand {
	words := strings.Fields(c.Name)
	sub := flaggy.NewSubcommand(words[len(words)-1])
	sub.Description = c.Help
	sub.Hidden = c.Hidden
	return boundCommand{command: c, sub: sub, action: c.Setup(sub)}
}

// bindAll declares the flags of every command, including completion.
func (p Program) bindAll() []boundCommand {
	commands := make([]boundCommand, 0, len(p.Commands)+1)
	for _, c := range append(p.Commands[:len(p.Commands):len(p.Commands)], p.completionCommand()) {
		commands = append(commands, c.bind())
	}
	return commands
}

// parser returns the parser of the program with the commands attached.
func (p Program) parser(commands []boundCommand) *flaggy.Parser {
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.ShowCompletion = false
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range commands {
		group, _, nested := strings.Cut(c.command.Name, " ")
		if !nested {
			parser.AttachSubcommand(c.sub, 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			parser.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(c.sub, 1)
	}
	return parser
}

// Run parses the arguments, runs the command that they name and returns the exit
// code.
func (p Program) Run(ctx context.Context, args []string, s Streams) int {
	commands := p.bindAll()
	if len(args) == 0 || wantsHelp(args) {
		p.help(s.Out, commands, args)
		return ExitOK
	}
	c, rest, found := findCommand(commands, args)
	if !found {
		fmt.Fprintf(s.Err, "%s: no command %q; see %s help\n", p.Name, strings.Join(args, " "), p.Name)
		return ExitUsage
	}
	if err := c.checkArgs(rest); err != nil {
		fmt.Fprintf(s.Err, "%s %s: %v; see %s help %s\n", p.Name, c.command.Name, err, p.Name, c.command.Name)
		return ExitUsage
	}
	if err := parse(p.parser(commands), args); err != nil {
		fmt.Fprintf(s.Err, "%s %s: %v\n", p.Name, c.command.Name, err)
		return ExitUsage
	}
	return p.report(c.action(ctx, s), s)
}

// findCommand returns the command named by the first arguments, and the remaining
// arguments.
func findCommand(commands []boundCommand, args []string) (c boundCommand, rest []string, found bool) {
	for _, c := range commands {
		words := strings.Fields(c.command.Name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.command.Name {
			return c, args[len(words):], true
		}
	}
	return c, nil, false
}

// parse parses the arguments and converts panics of flaggy into errors. Flaggy is
// set to panic where it would exit the process.
func parse(p *flaggy.Parser, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("%v", r)
		}
	}()
	flaggy.PanicInsteadOfExit = true
	return p.ParseArgs(args)
}

// report prints the error of a command, if any, and returns the exit code.
func (p Program) report(err error, s Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(s.Err, "%s: %v\n", p.Name, err)
	var exitErr *Error
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitFailed
}
