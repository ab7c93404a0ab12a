package event

import "go.uber.org/zap/zapcore"

// The events of the rollouts.
const (
	RolloutStep ID = 2101 + iota
	RolloutFailed
)

var rolloutEvents = []Definition{
	{RolloutStep, SubsystemRollout, zapcore.InfoLevel, "rollout step", "An engine was excluded from new work, received its commands, or was released again.", "None."},
	{RolloutFailed, SubsystemRollout, zapcore.WarnLevel, "rollout step failed", "A step of a rollout failed; it is retried.", "If this continues, check the engine."},
}
