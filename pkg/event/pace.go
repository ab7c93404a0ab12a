package event

import "go.uber.org/zap/zapcore"

// The events of the model of endpoint speeds.
const (
	PaceChanged ID = 2601 + iota
)

var paceEvents = []Definition{
	{PaceChanged, SubsystemRoute, zapcore.InfoLevel, "speed model changed", "The endpoints of a pool were found to differ clearly in speed, or no longer to; requests are placed by the speed of each, or by that of the pool.", "None. If the endpoints should be equal, compare their machines and neighbours."},
}
