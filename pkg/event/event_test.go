package event_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/skylarkloom/skylarkloom/pkg/event"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("The catalogue", func() {
	It("lists each number once, with its meaning and an action", func() {
		seen := map[event.ID]bool{}
		for _, e := range event.Catalogue {
			Expect(seen[e.ID]).To(BeFalse(), "event %d", e.ID)
			seen[e.ID] = true
			for _, text := range []string{string(e.Subsystem), e.Message, e.Meaning, e.Action} {
				Expect(text).NotTo(BeEmpty(), "event %d", e.ID)
				Expect(text).NotTo(ContainSubstring("|"), "event %d would break the table in docs/events.md", e.ID)
			}
		}
	})

	It("logs events with their number, filtered by the level of their subsystem", func() {
		core, lines := observer.New(zapcore.DebugLevel)
		logs := &event.Logs{Base: zap.New(core), Level: zapcore.WarnLevel, Levels: map[event.Subsystem]zapcore.Level{event.SubsystemOperator: zapcore.InfoLevel}}
		logs.Emit(event.NodeReady)
		logs.Emit(event.OperatorRestored, zap.String("what", "x"))
		Expect(lines.Len()).To(Equal(1))
		Expect(lines.All()[0].ContextMap()).To(Equal(map[string]any{"event": int64(1702), "subsystem": "operator", "what": "x"}))
	})
})
