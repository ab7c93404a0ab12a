package command

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// scan checks arguments against the flags and values that the command
// declares, so that a mistake is reported by its own message.
func (l leaf) scan(args []string) error {
	values := 0
	for i := 0; i < len(args); i++ {
		if !isFlag(args[i]) {
			values++
			if values > len(l.sub.PositionalFlags) {
				return errors.Newf("unexpected argument %q", args[i])
			}
			continue
		}
		skip, err := l.scanFlag(args[i:])
		if err != nil {
			return err
		}
		i += skip
	}
	for _, v := range l.sub.PositionalFlags {
		if v.Required && v.Position > values {
			return errors.Newf("expected %s", v.Name)
		}
	}
	return nil
}

// scanFlag checks the flag that comes first and returns how many arguments
// after it are its value.
func (l leaf) scanFlag(args []string) (skip int, err error) {
	name, _, valued := strings.Cut(strings.TrimLeft(args[0], "-"), "=")
	f := l.flag(name)
	if f == nil {
		return 0, errors.Newf("unknown flag %s", args[0])
	}
	if _, isBool := f.AssignmentVar.(*bool); isBool || valued {
		return 0, nil
	}
	if len(args) < 2 {
		return 0, errors.Newf("flag --%s needs a value", f.LongName)
	}
	return 1, nil
}

func (l leaf) flag(name string) *flaggy.Flag {
	for _, f := range l.sub.Flags {
		if name != "" && f.HasName(name) {
			return f
		}
	}
	return nil
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }
