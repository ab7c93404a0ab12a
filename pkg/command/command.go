// Package command holds the tables of commands of both programs. Each command
// is one row with one help line; the parser, the help texts, the completion
// scripts and the pages in docs/cli are made from the table.
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

// ExitMeaning describes an exit code.
type ExitMeaning struct {
	Code    int
	Meaning string
}

// ExitMeanings lists the exit codes of both programs.
var ExitMeanings = []ExitMeaning{
	{ExitOK, "the command succeeded"},
	{ExitFailed, "the command was carried out and failed"},
	{ExitUsage, "the command line, the token or a file it names is wrong; nothing was done"},
	{ExitConflict, "another change came first; nothing was done"},
	{ExitUnknown, "whether the command had its effect is not known"},
	{ExitUnavailable, "the node or the platform does not answer; nothing was done"},
}

// Error is an error with the exit code that it stands for.
type Error struct {
	Code  int
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// usagef returns an error for a command line that is wrong.
func usagef(format string, args ...any) error {
	return &Error{Code: ExitUsage, Cause: errors.Newf(format, args...)}
}

// Command is one row of a table.
type Command struct {
	// Name is the command, with a space before a subcommand.
	Name string
	// Help is the one help line.
	Help    string
	Example string
	// Hidden commands are left out of help, pages and completion.
	Hidden bool
	// Flags declares the flags on the parser and returns what runs the command.
	Setup func(sub *flaggy.Subcommand) func(ctx context.Context, s Streams) error
}

// Streams are where a command writes to.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Program is one program with its table of commands.
type Program struct {
	Name        string
	Description string
	Commands    []Command
}

// leaf is a command whose flags are declared.
type leaf struct {
	command Command
	sub     *flaggy.Subcommand
	action  func(context.Context, Streams) error
}

func (c Command) declare() leaf {
	words := strings.Fields(c.Name)
	sub := flaggy.NewSubcommand(words[len(words)-1])
	sub.Description = c.Help
	sub.Hidden = c.Hidden
	return leaf{command: c, sub: sub, action: c.Setup(sub)}
}

// leaves declares the flags of every command, the built-in ones included.
func (p Program) leaves() []leaf {
	all := make([]leaf, 0, len(p.Commands)+1)
	for _, c := range append(p.Commands[:len(p.Commands):len(p.Commands)], p.completionCommand()) {
		all = append(all, c.declare())
	}
	return all
}

// parser returns the parser of the program with the commands attached.
func (p Program) parser(leaves []leaf) *flaggy.Parser {
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.ShowCompletion = false
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	groups := map[string]*flaggy.Subcommand{}
	for _, l := range leaves {
		group, _, nested := strings.Cut(l.command.Name, " ")
		if !nested {
			parser.AttachSubcommand(l.sub, 1)
			continue
		}
		if groups[group] == nil {
			groups[group] = flaggy.NewSubcommand(group)
			parser.AttachSubcommand(groups[group], 1)
		}
		groups[group].AttachSubcommand(l.sub, 1)
	}
	return parser
}

// Run parses the arguments and runs the command that they name. It returns the
// exit code.
func (p Program) Run(ctx context.Context, args []string, s Streams) int {
	leaves := p.leaves()
	if len(args) == 0 || wantsHelp(args) {
		p.help(s.Out, leaves, args)
		return ExitOK
	}
	l, rest, found := find(leaves, args)
	if !found {
		fmt.Fprintf(s.Err, "%s: no command %q; see %s help\n", p.Name, strings.Join(args, " "), p.Name)
		return ExitUsage
	}
	if err := l.scan(rest); err != nil {
		fmt.Fprintf(s.Err, "%s %s: %v; see %s help %s\n", p.Name, l.command.Name, err, p.Name, l.command.Name)
		return ExitUsage
	}
	if err := parse(p.parser(leaves), args); err != nil {
		fmt.Fprintf(s.Err, "%s %s: %v\n", p.Name, l.command.Name, err)
		return ExitUsage
	}
	return p.finish(l.action(ctx, s), s)
}

// find returns the command that the first arguments name, and the others.
func find(leaves []leaf, args []string) (l leaf, rest []string, found bool) {
	for _, l := range leaves {
		words := strings.Fields(l.command.Name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == l.command.Name {
			return l, args[len(words):], true
		}
	}
	return l, nil, false
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

func (p Program) finish(err error, s Streams) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(s.Err, "%s: %v\n", p.Name, err)
	var known *Error
	if errors.As(err, &known) {
		return known.Code
	}
	return ExitFailed
}
