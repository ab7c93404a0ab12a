// Package event holds the numbered log events of the daemon. Every log line
// carries the number of an event of the catalogue, so that operators can look
// it up, and belongs to a subsystem whose level can be set by name.
package event

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of an event. Numbers are never used again.
type ID int

// Subsystem names a part of the daemon that logs.
type Subsystem string

// The subsystems.
const (
	SubsystemNode     Subsystem = "node"
	SubsystemConfig   Subsystem = "config"
	SubsystemJournal  Subsystem = "journal"
	SubsystemOrder    Subsystem = "order"
	SubsystemRoute    Subsystem = "route"
	SubsystemEntry    Subsystem = "entry"
	SubsystemPeer     Subsystem = "peer"
	SubsystemSuspect  Subsystem = "suspect"
	SubsystemCapacity Subsystem = "capacity"
	SubsystemLimit    Subsystem = "limit"
)

// Entry describes one event.
type Entry struct {
	ID        ID
	Subsystem Subsystem
	Level     zapcore.Level
	Message   string
	// Meaning says what happened and Action what an operator does about it.
	Meaning string
	Action  string
}

// The events.
const (
	NodeStarted ID = 1001 + iota
	NodeReady
	NodeDraining
	NodeStopped
	NodeForced
)

// The events of the configuration.
const (
	ConfigInForce ID = 1101 + iota
	ConfigUnusable
)

// The events of the journal.
const (
	LogAppendFailed ID = 1201 + iota
	LogReadFailed
	LogRecordUnreadable
	LogLapsed
	ChargeDropped
)

// The events of the instances.
const (
	InstanceLeaving ID = 1301 + iota
	InstanceGone
	ListFailed
	EndpointShunned
)

// The events of the suspects.
const (
	ContentSuspect ID = 1901 + iota
	ContentConvicted
	SuspectUnreported
)

// The events of the limits.
const (
	RequestsRefused ID = 1501 + iota
)

// Catalogue lists every event in order of number.
var Catalogue = []Entry{
	{NodeStarted, SubsystemNode, zapcore.InfoLevel, "node started", "The daemon listens on the addresses given.", "None."},
	{NodeReady, SubsystemNode, zapcore.InfoLevel, "node ready", "A configuration is in force and the streams are read to their end.", "None."},
	{NodeDraining, SubsystemNode, zapcore.InfoLevel, "node draining", "The node takes no new requests and finishes those in flight.", "None; wait for 1004."},
	{NodeStopped, SubsystemNode, zapcore.InfoLevel, "node stopped", "Every request in flight was finished and the services have ended.", "None."},
	{NodeForced, SubsystemNode, zapcore.WarnLevel, "node stopped by a second signal", "Requests in flight were cut.", "Find out who sent the second signal."},
	{ConfigInForce, SubsystemConfig, zapcore.InfoLevel, "configuration in force", "The node works by a new revision.", "None."},
	{ConfigUnusable, SubsystemConfig, zapcore.ErrorLevel, "configuration cannot be read", "A revision in force cannot be read by this node; it keeps the last good one.", "Compare the versions of the nodes; publish a document that all of them read."},
	{LogAppendFailed, SubsystemJournal, zapcore.WarnLevel, "append failed", "The platform's log did not take an append; it is tried again.", "If it goes on, see the handbook's page on log outages."},
	{LogReadFailed, SubsystemJournal, zapcore.WarnLevel, "read failed", "The platform's log could not be read; it is tried again.", "If it goes on, see the handbook's page on log outages."},
	{LogRecordUnreadable, SubsystemJournal, zapcore.ErrorLevel, "record cannot be read", "A record of a stream was skipped because it cannot be read.", "Compare the versions of the nodes; find the writer by the record's offset."},
	{LogLapsed, SubsystemJournal, zapcore.WarnLevel, "entries lapsed unread", "The next entry to read was no longer kept; the node went on from the newest snapshot.", "None for a node that was cut off for long; else compare the snapshots' interval with the log's retention."},
	{ChargeDropped, SubsystemJournal, zapcore.WarnLevel, "charge dropped", "The queue of charges is full because the log takes none; a request is not billed.", "None if the log is down; the metric skylarkloom_charges_dropped_total counts them."},
	{InstanceLeaving, SubsystemRoute, zapcore.InfoLevel, "instance leaving", "An instance takes no new work; its work moves.", "None."},
	{InstanceGone, SubsystemRoute, zapcore.InfoLevel, "instance gone", "An instance is known to have ended.", "None, unless many go without a notice."},
	{ListFailed, SubsystemRoute, zapcore.WarnLevel, "instance list failed", "The platform's list or notices could not be read; the last view is used.", "If it goes on, check the platform."},
	{EndpointShunned, SubsystemRoute, zapcore.InfoLevel, "endpoint avoided", "An instance refused a connection; it gets no work for a while, longer each time, until it answers.", "None, unless it goes on while the instance is listed as live."},
	{RequestsRefused, SubsystemLimit, zapcore.WarnLevel, "requests refused", "The limits refuse requests, of this account and maybe of others; at most one line in ten seconds.", "Reason rate: see the account's limit. Reason capacity: see the handbook's page on load."},
	{ContentSuspect, SubsystemSuspect, zapcore.WarnLevel, "content suspect", "An endpoint crashed while it ran a content; the content runs only on trial.", "None, unless contents are convicted."},
	{ContentConvicted, SubsystemSuspect, zapcore.ErrorLevel, "content convicted", "A content crashed two endpoints and is not run again.", "Look at the engine's crash; release the content with skylarkctl suspect release once the engine is mended."},
	{SuspectUnreported, SubsystemSuspect, zapcore.WarnLevel, "suspect not reported", "The log took no report of a suspect or cleared content; this node holds it suspect all the same.", "If it goes on, see the handbook's page on log outages."},
}

// Logs makes the loggers of the subsystems.
type Logs struct {
	// Base receives the lines; nil drops them.
	Base *zap.Logger
	// Levels overrides the level of a subsystem.
	Levels map[Subsystem]zapcore.Level
	// Level is the level of the other subsystems.
	Level zapcore.Level
}

// Emit logs an event with fields. An unknown number is a programming error
// and is logged as such.
func (l *Logs) Emit(id ID, fields ...zap.Field) {
	if l == nil || l.Base == nil {
		return
	}
	for _, e := range Catalogue {
		if e.ID == id {
			l.write(e, fields)
			return
		}
	}
	l.Base.Error(fmt.Sprintf("unknown event %d", id), fields...)
}

func (l *Logs) write(e Entry, fields []zap.Field) {
	level, ok := l.Levels[e.Subsystem]
	if !ok {
		level = l.Level
	}
	if e.Level < level {
		return
	}
	all := append([]zap.Field{zap.Int("event", int(e.ID)), zap.String("subsystem", string(e.Subsystem))}, fields...)
	l.Base.Log(e.Level, e.Message, all...)
}
