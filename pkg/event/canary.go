package event

import "go.uber.org/zap/zapcore"

// The events of the roll-outs that the operator orders.
const (
	CanaryOrdered ID = 2301 + iota
	CanaryOrderInvalid
	CanaryPhase
	CanaryStopped
	CanaryStateNotStored
	CanaryStatusWritten
	CanaryStatusNotWritten
)

var canaryEvents = []Definition{
	{CanaryOrdered, SubsystemRollout, zapcore.InfoLevel, "roll-out ordered", "The operator ordered that a pool moves to a version.", "None."},
	{CanaryOrderInvalid, SubsystemRollout, zapcore.WarnLevel, "roll-out order invalid", "An order of a roll-out cannot be read; it is ignored.", "Check what was written; the event names the field."},
	{CanaryPhase, SubsystemRollout, zapcore.InfoLevel, "roll-out phase", "A roll-out has come to a phase; the reason and the counts that decided it are given where this node decided.", "After \"rolled back\" compare the counts of both versions by route."},
	{CanaryStopped, SubsystemRollout, zapcore.WarnLevel, "roll-out stopped at this node", "The counts of the new version show that it is bad; the node sends nothing more to it and expects the verdict.", "See event 2303."},
	{CanaryStateNotStored, SubsystemRollout, zapcore.WarnLevel, "roll-out state not stored", "A phase could not be written to the store or read from it; it is tried again.", "If this continues, check the store: no verdict comes without it."},
	{CanaryStatusWritten, SubsystemRollout, zapcore.InfoLevel, "roll-out status written", "The status that the operator reads was written.", "None."},
	{CanaryStatusNotWritten, SubsystemRollout, zapcore.WarnLevel, "roll-out status not written", "The status that the operator reads could not be written; it is tried again.", "If this continues, check the store."},
}
