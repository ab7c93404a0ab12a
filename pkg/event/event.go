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

// Definition describes one event.
type Definition struct {
	ID        ID
	Subsystem Subsystem
	Level     zapcore.Level
	Message   string
	// Meaning describes the event, Action what an operator should do about it.
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
	paceEvents,
	operatorEvents,
	serveEvents,
	waitingEvents,
	canaryEvents,
	intakeEvents,
)

func sortByID(tables ...[]Definition) []Definition {
	definitions := slices.Concat(tables...)
	slices.SortFunc(definitions, func(a, b Definition) int { return cmp.Compare(a.ID, b.ID) })
	return definitions
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
	for _, d := range Catalogue {
		if d.ID == id {
			l.write(d, fields)
			return
		}
	}
	l.Base.Error(fmt.Sprintf("unknown event %d", id), fields...)
}

func (l *Logs) write(d Definition, fields []zap.Field) {
	level, ok := l.Levels[d.Subsystem]
	if !ok {
		level = l.Level
	}
	if d.Level < level {
		return
	}
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			// Only the message is logged; stack traces would fill the log.
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	allFields := append([]zap.Field{zap.Int("event", int(d.ID)), zap.String("subsystem", string(d.Subsystem))}, fields...)
	l.Base.Log(d.Level, d.Message, allFields...)
}
