// Package command holds the tables of commands of both programs. Each command
// is one row with one help line; the parser, the help texts and the pages in
// docs/cli are made from the table.
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
	// ExitFailed: the command was carried out and failed.
	ExitFailed = 1
	// ExitUsage: the command line or a file it names is wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict: another change came first.
	ExitConflict = 3
	// ExitUnknown: whether the command had its effect is not known.
	ExitUnknown = 4
	// ExitUnavailable: the node or the platform does not answer; nothing was done.
	ExitUnavailable = 5
)

// Error is an error with the exit code that it stands for.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Command is one row of a table.
type Command struct {
	// Name is the command, with a space before a subcommand.
	Name string
	// Help is the one help line.
	Help    string
	Example string
	// Flags declares the flags on the parser and returns what runs the command.
	Flags func(sub *flaggy.Subcommand) func(ctx context.Context, s Streams) error
}

// Streams are where a command writes to.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// run parses the arguments by a table and runs the command they name.
func run(ctx context.Context, program, about string, table []Command, args []string, s Streams) int {
	p := flaggy.NewParser(program)
	p.Description = about
	p.ShowHelpOnUnexpected = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	if len(args) == 0 || wantsHelp(args) {
		help(s.Out, program, about, table, args)
		return ExitOK
	}
	groups := map[string]*flaggy.Subcommand{}
	actions := map[*flaggy.Subcommand]func(context.Context, Streams) error{}
	for _, c := range table {
		parent, leaf, nested := strings.Cut(c.Name, " ")
		name := parent
		if nested {
			name = leaf
		}
		sub := flaggy.NewSubcommand(name)
		sub.Description = c.Help
		actions[sub] = c.Flags(sub)
		if !nested {
			p.AttachSubcommand(sub, 1)
			continue
		}
		if groups[parent] == nil {
			groups[parent] = flaggy.NewSubcommand(parent)
			p.AttachSubcommand(groups[parent], 1)
		}
		groups[parent].AttachSubcommand(sub, 1)
	}
	if err := parse(p, args); err != nil {
		fmt.Fprintf(s.Err, "%s: %v\n", program, err)
		return ExitUsage
	}
	for sub, action := range actions {
		if sub.Used {
			return finish(program, action(ctx, s), s)
		}
	}
	fmt.Fprintf(s.Err, "%s: no command %q; see %s help\n", program, strings.Join(args, " "), program)
	return ExitUsage
}

// parse parses the arguments; flaggy's panics and exits become errors.
func parse(p *flaggy.Parser, args []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("%v", r)
		}
	}()
	flaggy.PanicInsteadOfExit = true
	return p.ParseArgs(args)
}

func finish(program string, err error, s Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(s.Err, "%s: %v\n", program, err)
	var known *Error
	if errors.As(err, &known) {
		return known.Code
	}
	return ExitFailed
}

func wantsHelp(args []string) bool {
	for _, a := range args {
		if a == "help" || a == "-h" || a == "--help" {
			return true
		}
	}
	return false
}

// help lists the commands that begin with the words of the arguments.
func help(w io.Writer, program, about string, table []Command, args []string) {
	fmt.Fprintf(w, "%s: %s\n\n", program, about)
	var words []string
	for _, a := range args {
		if a != "help" && !strings.HasPrefix(a, "-") {
			words = append(words, a)
		}
	}
	prefix := strings.Join(words, " ")
	for _, c := range table {
		if !strings.HasPrefix(c.Name, prefix) {
			continue
		}
		fmt.Fprintf(w, "  %-18s %s\n", c.Name, c.Help)
		if prefix != "" && c.Example != "" {
			fmt.Fprintf(w, "  %-18s example: %s\n", "", c.Example)
		}
	}
}
