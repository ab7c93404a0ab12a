package event

import "go.uber.org/zap/zapcore"

// The events of the instances.
const (
	InstanceLeaving ID = 1301 + iota
	InstanceTerminated
	InstanceListFailed
	EndpointAvoided
)

var instanceEvents = []Entry{
	{InstanceLeaving, SubsystemRoute, zapcore.InfoLevel, "instance leaving", "An instance takes no new work; its work moves.", "None."},
	{InstanceTerminated, SubsystemRoute, zapcore.InfoLevel, "instance gone", "An instance is known to have ended.", "None, unless many go without a notice."},
	{InstanceListFailed, SubsystemRoute, zapcore.WarnLevel, "instance list failed", "The platform's list or notices could not be read; the last view is used.", "If it goes on, check the platform."},
	{EndpointAvoided, SubsystemRoute, zapcore.InfoLevel, "endpoint avoided", "An instance refused a connection; it gets no work for a while, longer each time, until it answers.", "None, unless it goes on while the instance is listed as live."},
}
