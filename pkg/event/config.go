package event

import "go.uber.org/zap/zapcore"

// The events of the configuration.
const (
	ConfigInForce ID = 1101 + iota
	ConfigUnreadable
)

var configEvents = []Entry{
	{ConfigInForce, SubsystemConfig, zapcore.InfoLevel, "configuration in force", "The node works by a new revision.", "None."},
	{ConfigUnreadable, SubsystemConfig, zapcore.ErrorLevel, "configuration cannot be read", "A revision in force cannot be read by this node; it keeps the last good one.", "Compare the versions of the nodes; publish a document that all of them read."},
}
