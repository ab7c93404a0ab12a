package event

import "go.uber.org/zap/zapcore"

// The events of the limits on what callers send.
const (
	CallersRefused ID = 2401 + iota
)

var intakeEvents = []Definition{
	{CallersRefused, SubsystemLimit, zapcore.WarnLevel, "callers refused", "Callers sent more than there was room for, stalled, or exceeded a limit. They were refused as not run, or their connections were closed. The other fields count them by cause in the last second.", "Look up the causes on the page on callers; find who sends this if it continues."},
}
