package event

import "go.uber.org/zap/zapcore"

// The events of the peers.
const (
	PeerResponding ID = 1601 + iota
	PeerSilent
	PeerExchangeFailed
	ConfigReceived
)

var peerEvents = []Definition{
	{PeerResponding, SubsystemPeer, zapcore.InfoLevel, "peer alive", "Heartbeats from a node of this data centre arrive.", "None."},
	{PeerSilent, SubsystemPeer, zapcore.WarnLevel, "peer silent", "No heartbeat from a node arrived for eight seconds, or longer in a large data centre; its duties pass to other nodes.", "None if the node was replaced; otherwise see the handbook's page on partitions."},
	{PeerExchangeFailed, SubsystemPeer, zapcore.InfoLevel, "exchange with a peer failed", "A peer did not respond, or refused the exchange; logged at most once in ten seconds.", "If the error names a token or an identity, compare the settings of the two nodes."},
	{ConfigReceived, SubsystemPeer, zapcore.InfoLevel, "configuration received from a peer", "A peer had a higher revision than this node has read from the log.", "If this continues, find out why this node does not read the log."},
}
