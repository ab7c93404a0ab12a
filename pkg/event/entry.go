package event

import "go.uber.org/zap/zapcore"

// The events of the callers' side.
const (
	RecordsNotWritten ID = 1801 + iota
)

var entryEvents = []Entry{
	{RecordsNotWritten, SubsystemEntry, zapcore.ErrorLevel, "records not written before the stop", "The log did not take the last records of this node in time: orders it carried out may be reported as unknown, and charges are lost.", "Check the log; ask the service about the orders that are unknown."},
}
