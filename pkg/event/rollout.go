package event

import "go.uber.org/zap/zapcore"

// The events of the rollouts.
const (
	RolloutStep ID = 2101 + iota
	RolloutFailed
)

var rolloutEvents = []Entry{
	{RolloutStep, SubsystemRollout, zapcore.InfoLevel, "rollout step", "An engine was kept from new work, given its commands, or freed again.", "None."},
	{RolloutFailed, SubsystemRollout, zapcore.WarnLevel, "rollout step failed", "A step of a rollout failed; it is tried again.", "If it goes on, check the engine."},
}
