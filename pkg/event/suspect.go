package event

import "go.uber.org/zap/zapcore"

// The events of the suspects.
const (
	ContentSuspect ID = 1901 + iota
	ContentQuarantined
	SuspectNotReported
)

var suspectEvents = []Entry{
	{ContentSuspect, SubsystemSuspect, zapcore.WarnLevel, "content suspect", "An endpoint crashed while it ran a content; the content runs only on trial.", "None, unless contents are convicted."},
	{ContentQuarantined, SubsystemSuspect, zapcore.ErrorLevel, "content convicted", "A content crashed two endpoints and is not run again.", "Look at the engine's crash; release the content with skylarkctl suspect release once the engine is mended."},
	{SuspectNotReported, SubsystemSuspect, zapcore.WarnLevel, "suspect not reported", "The log took no report of a suspect or cleared content; this node holds it suspect all the same.", "If it goes on, see the handbook's page on log outages."},
}
