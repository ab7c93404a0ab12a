package command

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// checkArgs checks the arguments against the flags and values that the command
// declares, before flaggy parses them, to report each mistake with a specific
// message.
func (c boundCommand) checkArgs(args []string) error {
	values := 0
	for i := 0; i < len(args); i++ {
		if !isFlag(args[i]) {
			values++
			if values > len(c.sub.PositionalFlags) {
				return errors.Newf("unexpected argument %q", args[i])
			}
			continue
		}
		skip, err := c.checkFlag(args[i:])
		if err != nil {
			return err
		}
		i += skip
	}
	for _, v := range c.sub.PositionalFlags {
		if v.Required && v.Position > values {
			return errors.Newf("expected %s", v.Name)
		}
	}
	return nil
}

// checkFlag checks the first argument, a flag, and returns the number of arguments
// after it that hold its value.
func (c boundCommand) checkFlag(args []string) (skip int, err error) {
	name, _, hasValue := strings.Cut(strings.TrimLeft(args[0], "-"), "=")
	f := c.flag(name)
	if f == nil {
		return 0, errors.Newf("unknown flag %s", args[0])
	}
	if _, isBool := f.AssignmentVar.(*bool); isBool || hasValue {
		return 0, nil
	}
	if len(args) < 2 {
		return 0, errors.Newf("flag --%s requires a value", f.LongName)
	}
	return 1, nil
}

func (c boundCommand) flag(name string) *flaggy.Flag {
	for _, f := range c.sub.Flags {
		if name != "" && f.HasName(name) {
			return f
		}
	}
	return nil
}

func isFlag(arg string) bool { return len(arg) > 1 && arg[0] == '-' }
