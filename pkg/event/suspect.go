package event

import "go.uber.org/zap/zapcore"

// The events of suspect contents.
const (
	ContentSuspect ID = 1901 + iota
	ContentQuarantined
	SuspectNotReported
)

var suspectEvents = []Definition{
	{ContentSuspect, SubsystemSuspect, zapcore.WarnLevel, "content suspected", "An endpoint crashed while it processed a content; the content runs only in trials.", "None, unless contents are quarantined."},
	{ContentQuarantined, SubsystemSuspect, zapcore.ErrorLevel, "content quarantined", "A content crashed two endpoints and is not run again.", "Look at the engine's crash; release the content with skylarkctl suspect release once the engine is fixed."},
	{SuspectNotReported, SubsystemSuspect, zapcore.WarnLevel, "suspect not reported", "The log did not accept a report of a suspected or cleared content; this node still treats it as suspected.", "If this continues, see the handbook's page on log outages."},
}
