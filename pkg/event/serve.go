package event

import "go.uber.org/zap/zapcore"

// The events of a node on the users' platform.
const (
	StoreLost ID = 2201 + iota
	StoreRestored
	TopicRecordsExpired
	StoreEntryInvalid
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
	UsageReportFailed
	ScaleRequested
	ScaleRequestFailed
	NodeResponding
	NodeSilent
	ContentRefused
	SettingsReread
	SettingsInvalid
	PacketFailed
	SnapshotUnavailable
	PlanChanged
	AnnounceFailed
	EndpointCrashed
	QuarantineNotStored
	EndpointLeaving
	EndpointPaused
	PauseInvalid
	CrashesLoaded
)

var serveEvents = []Definition{
	{StoreLost, SubsystemConfig, zapcore.WarnLevel, "store lost", "A topic of the platform's store could not be read; the node continues with the data it has.", "If this continues, check the store and the network path to it."},
	{StoreRestored, SubsystemConfig, zapcore.InfoLevel, "store restored", "A topic of the platform's store can be read again.", "None."},
	{TopicRecordsExpired, SubsystemConfig, zapcore.InfoLevel, "records expired unread", "The store no longer kept the next records to read; the newest ones are read instead.", "None."},
	{StoreEntryInvalid, SubsystemRoute, zapcore.WarnLevel, "entry cannot be used", "The store's entry for an endpoint or a node cannot be read and is not used.", "Find out who wrote the entry."},
	{ConfigAdopted, SubsystemConfig, zapcore.InfoLevel, "configuration adopted", "The node serves requests with a newer version of the configuration.", "None."},
	{EndpointChanged, SubsystemRoute, zapcore.InfoLevel, "endpoint changed", "An endpoint was added, is draining, or was removed.", "None."},
	{RequestServed, SubsystemEntry, zapcore.InfoLevel, "request served", "A request received its endpoint's complete response.", "None."},
	{RequestRefused, SubsystemEntry, zapcore.InfoLevel, "request refused", "A request was not run; the field reason says why.", "Look up the reason in the operations page."},
	{RequestFailed, SubsystemEntry, zapcore.WarnLevel, "request failed", "A request may have run, but received no complete response.", "Check the endpoint that the line names."},
	{RequestAborted, SubsystemEntry, zapcore.InfoLevel, "request cut", "A stream was aborted, or the caller disconnected.", "Check the endpoint that the line names."},
	{RequestRetried, SubsystemRoute, zapcore.InfoLevel, "request retried", "A request is sent to another endpoint.", "None."},
	{EndpointFailed, SubsystemRoute, zapcore.WarnLevel, "endpoint failed", "An exchange with an endpoint failed; the endpoint receives less work for a while.", "None, unless this continues."},
	{LinesDropped, SubsystemNode, zapcore.WarnLevel, "log lines dropped", "Lines were dropped because there were too many or their reader is slow.", "Check the counters in the metrics."},
	{DutiesAcquired, SubsystemCapacity, zapcore.InfoLevel, "duties acquired", "The node reports usage and requests endpoints from now on.", "None."},
	{DutiesEnded, SubsystemCapacity, zapcore.InfoLevel, "duties ended", "The node released, lost or could not acquire the duties; the field why says which.", "None."},
	{UsageReported, SubsystemCapacity, zapcore.InfoLevel, "usage reported", "The usage of a window was reported.", "None."},
	{UsageReportFailed, SubsystemCapacity, zapcore.WarnLevel, "usage report failed", "A usage report was not accepted; it is sent again unchanged.", "If this continues, check the platform's API."},
	{ScaleRequested, SubsystemCapacity, zapcore.InfoLevel, "endpoints requested", "A number of endpoints was requested for a data centre.", "None."},
	{ScaleRequestFailed, SubsystemCapacity, zapcore.WarnLevel, "request for endpoints failed", "A request for endpoints was not accepted; it is sent again.", "If this continues, check the platform's API."},
	{NodeResponding, SubsystemPeer, zapcore.InfoLevel, "node responding", "Another node responds.", "None."},
	{NodeSilent, SubsystemPeer, zapcore.WarnLevel, "node silent", "Another node has not responded for a while; its even share of the limits stays reserved for it.", "None, unless this continues."},
	{SettingsReread, SubsystemNode, zapcore.InfoLevel, "settings reloaded", "The settings file was read again after SIGHUP; the field changed says whether it differs from the settings in use.", "If the field changed is true, restart the node: it uses new settings only after a restart."},
	{SettingsInvalid, SubsystemNode, zapcore.ErrorLevel, "settings cannot be read", "The settings file cannot be used; the node keeps the settings from its start.", "Correct the file."},
	{PacketFailed, SubsystemPeer, zapcore.WarnLevel, "packet not read or sent", "A packet between nodes could not be read or sent.", "Compare the versions of the nodes."},
	{SnapshotUnavailable, SubsystemPeer, zapcore.WarnLevel, "snapshot unavailable", "A snapshot of configuration and endpoints could not be fetched from or served to another node.", "If this continues, check the network paths between the nodes."},
	{PlanChanged, SubsystemCapacity, zapcore.InfoLevel, "endpoint plan changed", "The planned number of endpoints changed with the demand or the market.", "None."},
	{AnnounceFailed, SubsystemPeer, zapcore.WarnLevel, "node not announced", "The store did not accept the node's address; the announcement is retried, and other nodes do not find this one meanwhile.", "If this continues, check the store."},
	{EndpointCrashed, SubsystemSuspect, zapcore.WarnLevel, "endpoint crashed", "An endpoint broke off a request and refuses connections; the field subjects names the request's prefix blocks and its content, which may have caused this.", "None, unless a subject recurs."},
	{QuarantineNotStored, SubsystemSuspect, zapcore.WarnLevel, "quarantine not stored or read", "The store did not accept a quarantine, or could not be read for those of earlier nodes; the call is repeated.", "If this continues, check the store."},
	{EndpointLeaving, SubsystemRoute, zapcore.InfoLevel, "endpoint announced that it leaves", "A response of the endpoint says that it leaves; it receives no further requests, whatever its entry says.", "None."},
	{EndpointPaused, SubsystemRoute, zapcore.InfoLevel, "endpoint asked for a pause", "The endpoint refused a request and wants none of this node for the time in the field pause; it receives none meanwhile.", "If all endpoints of a pool do so, request more."},
	{PauseInvalid, SubsystemRoute, zapcore.WarnLevel, "pause cannot be used", "An endpoint refused a request with a Retry-After that is no number of seconds, or a negative one; it is ignored.", "Correct the endpoint."},
	{CrashesLoaded, SubsystemSuspect, zapcore.InfoLevel, "crashes loaded", "The node learned from the store or from another node which requests may have crashed endpoints before it started, or while it was cut off; the fields suspicions and quarantines count them.", "None."},
	{ContentRefused, SubsystemSuspect, zapcore.WarnLevel, "content refused", "A content, or a prefix block of prompts, crashed several endpoints and is refused.", "Find the callers by the subject in events 2229, and ask them for the content."},
}
