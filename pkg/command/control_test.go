package command_test

import (
	"encoding/json"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// withDeadline returns the document of the trial with another deadline.
func withDeadline(seconds int) string {
	return strings.Replace(string(trial.Document()), "deadline: 30s", fmt.Sprintf("deadline: %ds", seconds), 1)
}

// publishDocument publishes a document and returns its revision.
func publishDocument(document string) int {
	r := control("config", "publish", writeFile("fleet.yaml", document), "--author", "nino", "--message", "a test", "--json")
	ExpectWithOffset(1, r.Code).To(Equal(command.ExitOK), r.Err)
	var published operate.Published
	ExpectWithOffset(1, json.Unmarshal([]byte(r.Out), &published)).To(Succeed())
	return int(published.Revision)
}

var _ = Describe("skylarkctl config", Ordered, func() {
	It("publishes on top of the revision in force and waits until every node has it", func() {
		first := publishDocument(withDeadline(31))
		second := publishDocument(withDeadline(32))
		Expect(second).To(Equal(first + 1))
		r := control("config", "wait", fmt.Sprint(second), "--timeout", "30s")
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		r = control("config", "show")
		Expect(r.Out).To(ContainSubstring("deadline: 32s"))
		r = control("config", "history")
		Expect(r.Out).To(MatchRegexp(`(?m)^%d .* nino +a test$`, first))
	})

	It("names the nodes on which a revision is not in force in time", func() {
		r := control("config", "wait", "999", "--timeout", "300ms")
		Expect(r.Code).To(Equal(command.ExitFailed))
		Expect(r.Err).To(ContainSubstring("entry-1"))
	})

	It("reports a conflict with the difference and changes nothing", func() {
		current := publishDocument(withDeadline(33))
		r := control("config", "publish", writeFile("fleet.yaml", withDeadline(34)), "--author", "a", "--message", "m", "--base", fmt.Sprint(current-1))
		Expect(r.Code).To(Equal(command.ExitConflict))
		Expect(r.Err).To(ContainSubstring("-   deadline: 33s\n+   deadline: 34s\n"))
		Expect(control("config", "show").Out).To(ContainSubstring("deadline: 33s"))
	})

	It("finds the outcome of a change by its ID if the response of the log is lost", func() {
		before := publishDocument(withDeadline(35))
		fleetTrial.Log.Set(standin.StateLost)
		DeferCleanup(func() { fleetTrial.Log.Set(standin.StateUp) })
		Expect(publishDocument(withDeadline(36))).To(Equal(before + 1))
	})

	It("shows the source of each value", func() {
		document := withDeadline(37) + "exceptions:\n  - {account: season-plans, pool: loom-servers, field: price, value: \"3\", reason: plans are made at night}\n"
		publishDocument(document)
		r := control("config", "show", "--why", "season-plans", "loom-servers")
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		Expect(r.Out).To(MatchRegexp(`deadline +37s +defaults`))
		Expect(r.Out).To(MatchRegexp(`latency +2 +pool`))
		Expect(r.Out).To(MatchRegexp(`price +3 +exception +plans are made at night`))
		Expect(r.Out).To(MatchRegexp(`objective +0.95 +built-in`))
	})

	It("compares a file with the configuration in force", func() {
		publishDocument(withDeadline(38))
		r := control("config", "diff", writeFile("fleet.yaml", withDeadline(38)))
		Expect(r).To(Equal(result{Code: command.ExitOK}))
		r = control("config", "diff", writeFile("fleet.yaml", withDeadline(39)))
		Expect(r.Out).To(ContainSubstring("-   deadline: 38s\n+   deadline: 39s\n"))
	})
})

var _ = Describe("skylarkctl", func() {
	It("shows the status as text and JSON", func() {
		r := control("status")
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		Expect(r.Out).To(ContainSubstring("node entry-1 in tb-dezerter: ready true"))
		Expect(r.Out).To(MatchRegexp(`loom-servers +dezerter-1 +3`))
		var s operate.Status
		Expect(json.Unmarshal([]byte(control("status", "--json").Out), &s)).To(Succeed())
		Expect(s.Instances).To(HaveLen(10))
	})

	It("reports that there is no request with an unknown key", func() {
		r := control("order", "dezerter-sellers", "no-such-key")
		Expect(r.Code).To(Equal(command.ExitFailed))
		Expect(r.Err).To(ContainSubstring(`account "dezerter-sellers" has no request with key "no-such-key"`))
	})

	It("lists suspect contents and releases one", func() {
		Expect(control("suspect", "list", "--json").Out).To(MatchJSON("[]"))
		digest := strings.Repeat("ab", 32)
		r := control("suspect", "release", digest)
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		r = control("suspect", "release", "abc")
		Expect(r.Code).To(Equal(command.ExitUsage))
		Expect(r.Err).To(ContainSubstring("expected a digest"))
	})

	It("lists every command in help, with its flags", func() {
		r := run(command.ControlProgram(), "help")
		for _, c := range command.ControlProgram().Commands {
			if !c.Hidden {
				Expect(r.Out).To(ContainSubstring("  " + c.Name + " "))
			}
		}
		r = run(command.ControlProgram(), "help", "config", "publish")
		Expect(r.Out).To(ContainSubstring("--token-file"))
		Expect(r.Out).To(ContainSubstring("Example: skylarkctl config publish"))
	})

	DescribeTable("writes completion scripts", func(shell string) {
		r := run(command.ControlProgram(), "completion", shell)
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		Expect(r.Out).To(ContainSubstring("publish"))
	}, Entry("bash", "bash"), Entry("zsh", "zsh"), Entry("fish", "fish"))
})
