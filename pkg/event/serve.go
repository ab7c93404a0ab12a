package event

import "go.uber.org/zap/zapcore"

// The events of serving on the platform.
const (
	StoreLost ID = 2201 + iota
	StoreRestored
	TopicRecordsExpired
	DirectoryEntryInvalid
	ConfigAdopted
	EndpointChanged
	RequestServed
	RequestRefused
	RequestFailed
	RequestAborted
	RequestRetried
	EndpointFailed
	LinesDropped
	DutiesAcquired
	DutiesEnded
	UsageReported
	UsageFailed
	ScaleRequested
	ScaleFailed
	NodeResponding
	NodeSilent
	ContentRefused
	SettingsReloaded
	SettingsInvalid
	PacketFailed
	SnapshotUnavailable
	PlanChanged
	AnnounceFailed
)

var serveEvents = []Entry{
	{StoreLost, SubsystemConfig, zapcore.WarnLevel, "store lost", "A topic of the platform's store could not be read; the node goes on with what it knows.", "If it goes on, check the store and the path to it."},
	{StoreRestored, SubsystemConfig, zapcore.InfoLevel, "store regained", "A topic of the platform's store can be read again.", "None."},
	{TopicRecordsExpired, SubsystemConfig, zapcore.InfoLevel, "history dropped", "The records to read next were no longer kept; the newest ones are read instead.", "None."},
	{DirectoryEntryInvalid, SubsystemRoute, zapcore.WarnLevel, "entry cannot be used", "An endpoint's entry cannot be read and names no endpoint to use.", "Find out who wrote the entry."},
	{ConfigAdopted, SubsystemConfig, zapcore.InfoLevel, "configuration adopted", "The node serves by a newer version.", "None."},
	{EndpointChanged, SubsystemRoute, zapcore.InfoLevel, "endpoint changed", "An endpoint came, is draining, or left.", "None."},
	{RequestServed, SubsystemEntry, zapcore.InfoLevel, "request served", "A request got its endpoint's whole answer.", "None."},
	{RequestRefused, SubsystemEntry, zapcore.InfoLevel, "request refused", "A request was not run; the reason says why.", "Look the reason up in the operations page."},
	{RequestFailed, SubsystemEntry, zapcore.WarnLevel, "request failed", "A request may have run and got no whole answer.", "Look at the endpoint that the line names."},
	{RequestAborted, SubsystemEntry, zapcore.InfoLevel, "request cut", "A stream was broken off, or the caller left.", "Look at the endpoint that the line names."},
	{RequestRetried, SubsystemRoute, zapcore.InfoLevel, "request tried again", "A request goes to another endpoint.", "None."},
	{EndpointFailed, SubsystemRoute, zapcore.WarnLevel, "endpoint failed", "An exchange with an endpoint failed; it gets less work for a while.", "None, unless it goes on."},
	{LinesDropped, SubsystemNode, zapcore.WarnLevel, "log lines left out", "Lines were left out because too many came or the reader is slow.", "Look at the counters of the metrics."},
	{DutiesAcquired, SubsystemCapacity, zapcore.InfoLevel, "duties taken", "The node reports usage and orders endpoints from now on.", "None."},
	{DutiesEnded, SubsystemCapacity, zapcore.InfoLevel, "duties given up", "The node no longer acts for the deployment.", "None."},
	{UsageReported, SubsystemCapacity, zapcore.InfoLevel, "usage reported", "The usage of a window was reported.", "None."},
	{UsageFailed, SubsystemCapacity, zapcore.WarnLevel, "usage report failed", "A report of usage was not taken; it is repeated as it is.", "If it goes on, check the platform's API."},
	{ScaleRequested, SubsystemCapacity, zapcore.InfoLevel, "endpoints ordered", "A number of endpoints was ordered for a data centre.", "None."},
	{ScaleFailed, SubsystemCapacity, zapcore.WarnLevel, "order of endpoints failed", "An order was not taken; it is given again.", "If it goes on, check the platform's API."},
	{NodeResponding, SubsystemPeer, zapcore.InfoLevel, "node heard", "Another node answers.", "None."},
	{NodeSilent, SubsystemPeer, zapcore.WarnLevel, "node silent", "Another node has not answered for a while; its even share of the limits is left to it.", "None, unless it goes on."},
	{SettingsReloaded, SubsystemNode, zapcore.InfoLevel, "settings read again", "The settings file was read again after a signal.", "Restart the node if its addresses or bounds changed."},
	{SettingsInvalid, SubsystemNode, zapcore.ErrorLevel, "settings cannot be read", "The settings file cannot be used; the node goes on with the former ones.", "Correct the file."},
	{PacketFailed, SubsystemPeer, zapcore.WarnLevel, "packet cannot be used", "A packet between nodes could not be read or sent.", "Compare the versions of the nodes."},
	{SnapshotUnavailable, SubsystemPeer, zapcore.WarnLevel, "view not to be had", "Another node's view of configuration and endpoints could not be had.", "If it goes on, check the paths between the nodes."},
	{PlanChanged, SubsystemCapacity, zapcore.InfoLevel, "plan of endpoints changed", "The number of endpoints that should be there changed with the demand or the market.", "None."},
	{AnnounceFailed, SubsystemPeer, zapcore.WarnLevel, "node not announced", "The store did not take the node's address; it is tried again, and other nodes do not find this one meanwhile.", "If it goes on, check the store."},
	{ContentRefused, SubsystemSuspect, zapcore.WarnLevel, "content suspected", "A content broke several endpoints and is refused.", "Ask the caller for the content."},
}
