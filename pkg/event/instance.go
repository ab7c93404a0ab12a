package event

import "go.uber.org/zap/zapcore"

// The events of the instances.
const (
	InstanceLeaving ID = 1301 + iota
	InstanceTerminated
	InstanceListFailed
	EndpointAvoided
)

var instanceEvents = []Definition{
	{InstanceLeaving, SubsystemRoute, zapcore.InfoLevel, "instance leaving", "An instance accepts no new work; its work is moved to other instances.", "None."},
	{InstanceTerminated, SubsystemRoute, zapcore.InfoLevel, "instance terminated", "An instance is known to have terminated.", "None, unless many instances terminate without a notice."},
	{InstanceListFailed, SubsystemRoute, zapcore.WarnLevel, "reading the instance list failed", "The platform's instance list or notices could not be read; the last list read is used.", "If this continues, check the platform."},
	{EndpointAvoided, SubsystemRoute, zapcore.InfoLevel, "endpoint avoided", "An instance refused a connection; it receives no work during a backoff, longer each time, until it responds.", "None, unless this continues while the instance is listed as live."},
}
