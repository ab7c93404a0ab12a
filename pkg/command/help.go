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

// help lists the commands that begin with the words of the arguments; a single
// one is shown with its flags.
func (p Program) help(w io.Writer, leaves []leaf, args []string) {
	prefix := commandWords(args)
	var chosen []leaf
	for _, l := range leaves {
		if !l.command.Hidden && strings.HasPrefix(l.command.Name+" ", prefix) {
			chosen = append(chosen, l)
		}
	}
	if len(chosen) == 0 {
		fmt.Fprintf(w, "%s has no command %q; its commands are:\n\n", p.Name, strings.TrimSpace(prefix))
		p.list(w, leaves)
		return
	}
	if len(chosen) == 1 {
		chosen[0].describe(w, p.Name)
		return
	}
	fmt.Fprintf(w, "%s: %s\n\n", p.Name, p.Description)
	p.list(w, chosen)
	fmt.Fprintf(w, "\n%s help COMMAND shows the flags and an example.\n", p.Name)
}

// commandWords returns the words of the arguments that name commands, each
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

func (p Program) list(w io.Writer, leaves []leaf) {
	for _, l := range leaves {
		if !l.command.Hidden {
			fmt.Fprintf(w, "  %-18s %s\n", l.command.Name, l.command.Help)
		}
	}
}

// usage returns the command with its values, as in a synopsis.
func (l leaf) usage(program string) string {
	parts := []string{program, l.command.Name}
	for _, v := range l.sub.PositionalFlags {
		if v.Required {
			parts = append(parts, v.Name)
			continue
		}
		parts = append(parts, "["+v.Name+"]")
	}
	if len(l.sub.Flags) > 0 {
		parts = append(parts, "[flags]")
	}
	return strings.Join(parts, " ")
}

func (l leaf) describe(w io.Writer, program string) {
	fmt.Fprintf(w, "%s\n\n  %s\n", l.command.Help, l.usage(program))
	if len(l.sub.Flags) > 0 {
		fmt.Fprintln(w)
	}
	for _, f := range l.sub.Flags {
		fmt.Fprintf(w, "  %-24s %s\n", flagUsage(f), f.Description)
	}
	if l.command.Example != "" {
		fmt.Fprintf(w, "\nExample: %s\n", l.command.Example)
	}
}

// flagUsage returns a flag with its short form.
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
