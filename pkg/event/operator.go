package event

import "go.uber.org/zap/zapcore"

// The events of the operator interface.
const (
	OperatorDegraded ID = 1701 + iota
	OperatorRestored
)

var operatorEvents = []Definition{
	{OperatorDegraded, SubsystemOperator, zapcore.WarnLevel, "degraded", "The node has a problem; the field what describes it.", "See skylarkctl status and the handbook's page on the problem."},
	{OperatorRestored, SubsystemOperator, zapcore.InfoLevel, "restored", "The problem reported by event 1701 is resolved.", "None."},
}
