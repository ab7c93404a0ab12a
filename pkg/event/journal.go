package event

import "go.uber.org/zap/zapcore"

// The events of the journal.
const (
	LogAppendFailed ID = 1201 + iota
	LogReadFailed
	LogRecordUnreadable
	LogEntriesExpired
	ChargeDropped
)

var journalEvents = []Entry{
	{LogAppendFailed, SubsystemJournal, zapcore.WarnLevel, "append failed", "The platform's log did not take an append; it is tried again.", "If it goes on, see the handbook's page on log outages."},
	{LogReadFailed, SubsystemJournal, zapcore.WarnLevel, "read failed", "The platform's log could not be read; it is tried again.", "If it goes on, see the handbook's page on log outages."},
	{LogRecordUnreadable, SubsystemJournal, zapcore.ErrorLevel, "record cannot be read", "A record of a stream was skipped because it cannot be read.", "Compare the versions of the nodes; find the writer by the record's offset."},
	{LogEntriesExpired, SubsystemJournal, zapcore.WarnLevel, "entries lapsed unread", "The next entry to read was no longer kept; the node went on from the newest snapshot.", "None for a node that was cut off for long; else compare the snapshots' interval with the log's retention."},
	{ChargeDropped, SubsystemJournal, zapcore.WarnLevel, "charge dropped", "The queue of charges is full because the log takes none; a request is not billed.", "None if the log is down; the metric skylarkloom_charges_dropped_total counts them."},
}
