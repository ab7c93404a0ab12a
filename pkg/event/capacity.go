package event

import "go.uber.org/zap/zapcore"

// The events of the capacity.
const (
	InstanceStarted ID = 2001 + iota
	StartRefused
	StartUnconfirmed
	StartLost
	InstanceRetiring
	InstanceStopped
)

var capacityEvents = []Entry{
	{InstanceStarted, SubsystemCapacity, zapcore.InfoLevel, "instance started", "The cloud took the start of an instance.", "None."},
	{StartRefused, SubsystemCapacity, zapcore.WarnLevel, "start refused", "The cloud refused a start; the place is left alone for a while and others are used.", "If every place refuses, add offers to the pool."},
	{StartUnconfirmed, SubsystemCapacity, zapcore.WarnLevel, "start without answer", "The cloud's answer to a start was lost; the instance list tells by its tag whether it runs.", "None."},
	{StartLost, SubsystemCapacity, zapcore.WarnLevel, "start lost", "No instance with the tag of a start came into the list in time; another is started.", "Look for an instance with the tag if it goes on: it may run unlisted."},
	{InstanceRetiring, SubsystemCapacity, zapcore.InfoLevel, "instance retiring", "The pool has more instances than it needs; this one takes no new work.", "None."},
	{InstanceStopped, SubsystemCapacity, zapcore.InfoLevel, "instance stopped", "A retired instance has finished its work and was stopped.", "None."},
}
