package event

import "go.uber.org/zap/zapcore"

// The events of the limits.
const (
	RequestsRefused ID = 1501 + iota
)

var limitEvents = []Entry{
	{RequestsRefused, SubsystemLimit, zapcore.WarnLevel, "requests refused", "The limits refuse requests, of this account and maybe of others; at most one line in ten seconds.", "Reason rate: see the account's limit. Reason capacity: see the handbook's page on load."},
}
