// Package event defines the numbered log events of the daemon. Every log line
// carries the number of an event in the catalogue, so that operators can look it
// up, and belongs to a subsystem with a configurable log level.
package event

import (
	"cmp"
	"fmt"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of an event. Numbers are never reused.
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
	SubsystemRollout  Subsystem = "rollout"
	SubsystemCapacity Subsystem = "capacity"
	SubsystemLimit    Subsystem = "limit"
	SubsystemOperator Subsystem = "operator"
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

// Catalogue lists all events, sorted by number.
var Catalogue = sortByID(
	nodeEvents,
	configEvents,
	journalEvents,
	instanceEvents,
	limitEvents,
	peerEvents,
	suspectEvents,
	entryEvents,
	capacityEvents,
	rolloutEvents,
	operatorEvents,
	serveEvents,
)

func sortByID(tables ...[]Entry) []Entry {
	entries := slices.Concat(tables...)
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Logs logs events, filtered by the levels of their subsystems.
type Logs struct {
	// Base is the logger that writes the lines; nil discards them.
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
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			// Only the message is logged; stack traces would fill the log.
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	allFields := append([]zap.Field{zap.Int("event", int(e.ID)), zap.String("subsystem", string(e.Subsystem))}, fields...)
	l.Base.Log(e.Level, e.Message, allFields...)
}
