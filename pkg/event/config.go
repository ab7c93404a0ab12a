package event

import "go.uber.org/zap/zapcore"

// The events of the configuration.
const (
	ConfigInForce ID = 1101 + iota
	ConfigUnreadable
)

var configEvents = []Definition{
	{ConfigInForce, SubsystemConfig, zapcore.InfoLevel, "configuration in force", "The node uses a new revision.", "None."},
	{ConfigUnreadable, SubsystemConfig, zapcore.ErrorLevel, "configuration cannot be read", "This node cannot read a revision in force; it keeps the last valid one.", "Compare the versions of the nodes; publish a document that all of them can read."},
}
