package event

import "go.uber.org/zap/zapcore"

// The events of requests that wait for room.
const (
	ShortageBegan ID = 2501 + iota
	ShortageEnded
)

var waitingEvents = []Definition{
	{ShortageBegan, SubsystemLimit, zapcore.WarnLevel, "too little room", "The engines of a pool have too little room: requests wait at this node, or are refused with a time to come back.", "See the handbook's page on waiting. If this continues, request more engines."},
	{ShortageEnded, SubsystemLimit, zapcore.InfoLevel, "room for all", "No request waited or was refused for lack of room for two seconds.", "None."},
}
