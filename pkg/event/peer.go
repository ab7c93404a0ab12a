package event

import "go.uber.org/zap/zapcore"

// The events of the peers.
const (
	PeerAlive ID = 1601 + iota
	PeerSilent
	PeerFailed
	ConfigReceived
)

var peerEvents = []Entry{
	{PeerAlive, SubsystemPeer, zapcore.InfoLevel, "peer alive", "Heartbeats of a node of this data centre come in.", "None."},
	{PeerSilent, SubsystemPeer, zapcore.WarnLevel, "peer silent", "No heartbeat of a node came for eight seconds, or more in a large data centre; its duties go to others.", "None if the node was replaced; else see the page on partitions."},
	{PeerFailed, SubsystemPeer, zapcore.InfoLevel, "exchange with a peer failed", "A peer did not answer, or refused; at most one line in ten seconds.", "If it names a token or an identity, compare the settings of the two nodes."},
	{ConfigReceived, SubsystemPeer, zapcore.InfoLevel, "configuration learnt from a peer", "A peer had a higher revision than the log has brought to this node.", "If it goes on, see why this node does not read the log."},
}
