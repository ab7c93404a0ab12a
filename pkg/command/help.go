package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

func wantsHelp(args []string) bool {
	if args[0] == "help" {
		return true
	}
	for _, a := range args {
		if a == "-h" || a == "--help" {
			return true
		}
	}
	return false
}

// help lists the commands whose names begin with the words of the arguments. If
// only one matches, it is shown with its flags.
func (p Program) help(w io.Writer, commands []boundCommand, args []string) {
	prefix := commandWords(args)
	var matching []boundCommand
	for _, c := range commands {
		if !c.command.Hidden && strings.HasPrefix(c.command.Name+" ", prefix) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		fmt.Fprintf(w, "%s has no command %q; its commands are:\n\n", p.Name, strings.TrimSpace(prefix))
		p.list(w, commands)
		return
	}
	if len(matching) == 1 {
		matching[0].describe(w, p.Name)
		return
	}
	fmt.Fprintf(w, "%s: %s\n\n", p.Name, p.Description)
	p.list(w, matching)
	fmt.Fprintf(w, "\n%s help COMMAND shows the flags and an example.\n", p.Name)
}

// commandWords returns the arguments that are neither flags nor "help", each
// followed by a space.
func commandWords(args []string) string {
	var b strings.Builder
	for _, a := range args {
		if a != "help" && !isFlag(a) {
			b.WriteString(a)
			b.WriteByte(' ')
		}
	}
	return b.String()
}

func (p Program) list(w io.Writer, commands []boundCommand) {
	for _, c := range commands {
		if !c.command.Hidden {
			fmt.Fprintf(w, "  %-18s %s\n", c.command.Name, c.command.Help)
		}
	}
}

// usage returns the synopsis of the command.
func (c boundCommand) usage(program string) string {
	parts := []string{program, c.command.Name}
	for _, v := range c.sub.PositionalFlags {
		if v.Required {
			parts = append(parts, v.Name)
			continue
		}
		parts = append(parts, "["+v.Name+"]")
	}
	if len(c.sub.Flags) > 0 {
		parts = append(parts, "[flags]")
	}
	return strings.Join(parts, " ")
}

func (c boundCommand) describe(w io.Writer, program string) {
	fmt.Fprintf(w, "%s\n\n  %s\n", c.command.Help, c.usage(program))
	if len(c.sub.Flags) > 0 {
		fmt.Fprintln(w)
	}
	for _, f := range c.sub.Flags {
		fmt.Fprintf(w, "  %-24s %s\n", flagUsage(f), f.Description)
	}
	if c.command.Example != "" {
		fmt.Fprintf(w, "\nExample: %s\n", c.command.Example)
	}
}

// flagUsage returns a flag with its short form and the placeholder of its value.
func flagUsage(f *flaggy.Flag) string {
	name := "--" + f.LongName
	if f.ShortName != "" {
		name = "-" + f.ShortName + ", " + name
	}
	if _, isBool := f.AssignmentVar.(*bool); !isBool {
		name += " " + strings.ToUpper(f.LongName)
	}
	return name
}
