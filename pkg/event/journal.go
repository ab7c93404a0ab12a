package event

import "go.uber.org/zap/zapcore"

// The events of the platform's log.
const (
	LogAppendFailed ID = 1201 + iota
	LogReadFailed
	LogRecordUnreadable
	LogEntriesExpired
	ChargeDropped
)

var journalEvents = []Definition{
	{LogAppendFailed, SubsystemJournal, zapcore.WarnLevel, "append failed", "The platform's log did not accept an append; it is retried.", "If this continues, see the handbook's page on log outages."},
	{LogReadFailed, SubsystemJournal, zapcore.WarnLevel, "read failed", "The platform's log could not be read; the read is retried.", "If this continues, see the handbook's page on log outages."},
	{LogRecordUnreadable, SubsystemJournal, zapcore.ErrorLevel, "record cannot be read", "A record of a stream was skipped because it cannot be read.", "Compare the versions of the nodes; find the writer by the record's offset."},
	{LogEntriesExpired, SubsystemJournal, zapcore.WarnLevel, "entries expired unread", "The log no longer kept the next entry to read; the node continued from the newest snapshot.", "None for a node that was partitioned for a long time; otherwise compare the snapshot interval with the log's retention."},
	{ChargeDropped, SubsystemJournal, zapcore.WarnLevel, "charge dropped", "The queue of charges is full because the log accepts none; a request is not billed.", "None if the log is down; the metric skylarkloom_charges_dropped_total counts the dropped charges."},
}
