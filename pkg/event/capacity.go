package event

import "go.uber.org/zap/zapcore"

// The events of capacity management.
const (
	InstanceStarted ID = 2001 + iota
	StartRefused
	StartUnconfirmed
	StartLost
	InstanceRetiring
	InstanceStopped
)

var capacityEvents = []Definition{
	{InstanceStarted, SubsystemCapacity, zapcore.InfoLevel, "instance started", "The cloud accepted a request to start an instance.", "None."},
	{StartRefused, SubsystemCapacity, zapcore.WarnLevel, "start refused", "The cloud refused to start an instance; this offer is avoided for a while and others are used.", "If every offer is refused, add offers to the pool."},
	{StartUnconfirmed, SubsystemCapacity, zapcore.WarnLevel, "start not confirmed", "The cloud's response to a start request was lost; the request's tag in the instance list shows whether the instance runs.", "None."},
	{StartLost, SubsystemCapacity, zapcore.WarnLevel, "start lost", "No instance with the tag of a start request appeared in the instance list in time; another one is started.", "If this continues, look for an instance with the tag: it may run without being listed."},
	{InstanceRetiring, SubsystemCapacity, zapcore.InfoLevel, "instance retiring", "The pool has more instances than it needs; this one receives no new work.", "None."},
	{InstanceStopped, SubsystemCapacity, zapcore.InfoLevel, "instance stopped", "A retiring instance finished its work and was stopped.", "None."},
}
