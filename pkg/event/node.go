package event

import "go.uber.org/zap/zapcore"

// The events of the node.
const (
	NodeStarted ID = 1001 + iota
	NodeReady
	NodeDraining
	NodeStopped
	NodeForcedStop
)

var nodeEvents = []Definition{
	{NodeStarted, SubsystemNode, zapcore.InfoLevel, "node started", "The daemon listens on the configured addresses.", "None."},
	{NodeReady, SubsystemNode, zapcore.InfoLevel, "node ready", "A configuration is in force and the streams are read to their end.", "None."},
	{NodeDraining, SubsystemNode, zapcore.InfoLevel, "node draining", "The node accepts no new requests and finishes those in flight.", "None; wait for event 1004."},
	{NodeStopped, SubsystemNode, zapcore.InfoLevel, "node stopped", "All requests in flight were finished and the services have stopped.", "None."},
	{NodeForcedStop, SubsystemNode, zapcore.WarnLevel, "node stopped by a second signal", "Requests in flight were aborted.", "Find out who sent the second signal."},
}
