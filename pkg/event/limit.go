package event

import "go.uber.org/zap/zapcore"

// The events of the limits.
const (
	RequestsRefused ID = 1501 + iota
)

var limitEvents = []Definition{
	{RequestsRefused, SubsystemLimit, zapcore.WarnLevel, "requests refused", "The limits refuse requests of this account and possibly of others; logged at most once in ten seconds.", "Reason rate: check the account's limit. Reason capacity: see the handbook's page on load."},
}
