package event

import "go.uber.org/zap/zapcore"

// The events of the operators' view.
const (
	OperatorDegraded ID = 1701 + iota
	OperatorRestored
)

var operatorEvents = []Entry{
	{OperatorDegraded, SubsystemOperator, zapcore.WarnLevel, "degraded", "Something does not work; the field what says what.", "See skylarkctl status and the handbook's page on it."},
	{OperatorRestored, SubsystemOperator, zapcore.InfoLevel, "restored", "What was reported by 1701 works again.", "None."},
}
