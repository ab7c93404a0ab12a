package event

import "go.uber.org/zap/zapcore"

// The events of the request entry.
const (
	RecordsNotWritten ID = 1801 + iota
)

var entryEvents = []Definition{
	{RecordsNotWritten, SubsystemEntry, zapcore.ErrorLevel, "records not written before shutdown", "The log did not accept the last records of this node in time: orders that it carried out may be reported as unknown, and charges are lost.", "Check the log; query the service about the orders reported as unknown."},
}
