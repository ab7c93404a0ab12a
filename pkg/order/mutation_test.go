//go:build mutate

package order_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// edit replaces a text that occurs exactly once in a file of the module.
type edit struct{ file, old, new string }

// mutation breaks one rule on purpose. The fuzz, or the specs of another package, run on the
// broken source by means of a compiler overlay, so that the program needs no switch for it.
type mutation struct {
	rule  string
	edits []edit
	// specs is the package whose specs run in place of the fuzz, if set.
	specs string
}

const (
	acceptFile   = "pkg/order/accept.go"
	executeFile  = "pkg/order/execute.go"
	executorFile = "pkg/order/executor.go"
	stateFile    = "pkg/order/order.go"
	workerFile   = "pkg/order/worker.go"
)

var mutations = []mutation{
	{"send before the dispatch is read back", []edit{{
		acceptFile, "	waitCtx, cancel :=",
		"	if (a.grant != record.ID{}) {\n\t\treturn Order{Accept: a.id, Request: a.request, Status: StatusDispatched, Owner: x.Node, Term: 1, Grant: a.grant}, nil\n\t}\n\twaitCtx, cancel :=",
	}}, ""},
	{"report not run after an accept without a response", []edit{{
		acceptFile, "if err != nil || t.Wait(ctx) != nil {\n\t\treturn local, &UnknownError", "if err != nil || t.Wait(ctx) != nil {\n\t\treturn local, &NotRunError",
	}}, ""},
	{"report a record in an append as withdrawn", []edit{{"pkg/journal/write.go", "return !sb.inFlight && !sb.sent && !sb.applied", "return !sb.applied"}}, ""},
	{"reassign a dispatched order", []edit{{stateFile, "if o.Status == StatusDispatched && o.Request.Repeatable {", "if o.Status == StatusDispatched {"}}, ""},
	{"apply a cancel after the dispatch", []edit{
		{stateFile, "{Name: string(EventCancel), Src: []string{string(StatusAccepted)}", "{Name: string(EventCancel), Src: []string{string(StatusAccepted), string(StatusDispatched)}"},
		{stateFile, "if o.DispatchedBefore {", "if o.DispatchedBefore && o.Request.Repeatable {"},
	}, ""},
	{"send from any call on the node of the holder", []edit{
		{executorFile, "o.Accept != a.id || r.Repeatable", "r.Repeatable"},
		{executorFile, "if o.Grant != a.grant {", "if !o.Holds(x.Node) {"},
	}, ""},
	{"send in the background on any dispatch of the node", []edit{{workerFile, "if err == nil && o.Grant == grant {", "if _ = grant; err == nil {"}}, ""},
	{"apply the dispatch of an earlier owner", []edit{{
		stateFile, "func (s *State) dispatch(pos record.Position, id record.ID, r record.Dispatch) {\n\to := s.lookup(r.Ref, r.Accept)\n\tif o == nil || r.Term != o.Term || r.Owner != o.Owner {",
		"func (s *State) dispatch(pos record.Position, id record.ID, r record.Dispatch) {\n\to := s.lookup(r.Ref, r.Accept)\n\tif o == nil {",
	}}, ""},
	{"apply a cancelled accept", []edit{{stateFile, "if _, rejected := s.Rejected[id]; rejected {", "if _, rejected := s.Rejected[id]; rejected && false {"}}, ""},
	{"send again without a response", []edit{{executeFile, "return x.settleUnknown(ctx, p, o, err)", "_, _ = x.Send(sendCtx, o)\n\t\treturn x.settleUnknown(ctx, p, o, err)"}}, ""},
	{"report not run without a response", []edit{{executeFile, "if err != nil && x.NotStarted(err) {", "if err != nil {"}}, ""},
	{"leave an order without a response dispatched", []edit{{executeFile, "_, _ = x.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeUnknown, Detail: cause.Error()})", ""}}, ""},
	{"drop an outcome while the log is unavailable", []edit{{executeFile, "p.Stream.SubmitRequired(e)", "p.Stream.Submit(e)"}}, ""},
	{"do not record an abandoned accept", []edit{{acceptFile, "	x.abandon(a)\n", ""}}, ""},
	{"report dispatched repeatable work as not run", []edit{{stateFile, "if o.DispatchedBefore {", "if false {"}}, ""},
	{"join a request with a different body", []edit{{executorFile, "if o.Request.Digest != r.Digest {", "if false {"}}, ""},
	{"write a snapshot with an offset that is one too high", []edit{{"pkg/journal/snapshot.go", "return s.Next(), state, err", "return s.Next() + 1, state, err"}}, ""},
	{"encode times as floats", []edit{{"pkg/api/record/record.go", "o.Time = cbor.TimeRFC3339NanoUTC", "o.Time = cbor.TimeUnixMicro"}}, ""},
	{"apply a revision that is not higher", []edit{{"pkg/config/store.go", "if c.Revision <= s.Revision() {", "if c.Revision == 0 {"}}, ""},
	{"accept a publish with an outdated base", []edit{{"pkg/config/config.go", "if r.Base == current {", "if r.Base <= current {"}}, ""},
	{"apply a charge batch twice", []edit{{"pkg/ledger/ledger.go", "if r.Sequence <= batches[r.Writer.Incarnation].Sequence {", "if false {"}}, ""},
	{"charge a request of two nodes twice", []edit{{"pkg/ledger/ledger.go", "charged := s.Keyed[c.Request]; charged {", "charged := s.Keyed[c.Request]; charged && false {"}}, ""},
	{"charge an order at every settle", []edit{
		{stateFile, "o.Fence == 0 || o.Final() {", "o.Fence == 0 {"},
		{stateFile, "	if s.transition(o, settleEvent(r.Outcome)) {", "	if s.transition(o, settleEvent(r.Outcome)) || o.Status == StatusSettled {"},
	}, ""},
}

// announcementMutations break what nodes of the platform know of endpoints that leave or
// want a pause.
var announcementMutations = []mutation{
	{"forget that an endpoint leaves", []edit{{"pkg/directory/directory.go", "return ok && e.Born <= known.born", "return ok && e.Born < min(0, known.born)"}}, "directory"},
	{"tie a departure to one birth", []edit{{"pkg/directory/directory.go", "return ok && e.Born <= known.born", "return ok && e.Born == known.born"}}, "directory"},
	{"forget that an endpoint wants a pause", []edit{{"pkg/placement/tracker.go", "return e.Born <= s.pausedBorn && now", "return e.Born < 0 && now"}}, "placement"},
	{"let a shorter pause end a longer one", []edit{{"pkg/placement/tracker.go", "until = max(until, s.pausedUntil)", "until = max(until, 0)"}}, "placement"},
	{"send without a last look at the endpoint", []edit{{"pkg/gateway/attempt.go", "if p.callerGone() || !p.handler.Accepts(e) || p.handler.Tracker.Paused(e, clock.Now()) {", "if p.callerGone() {"}}, "gateway"},
	{"send before arrived responses are read", []edit{{"pkg/forward/forward.go", "\tp.settleUnread(ctx, req.Address)\n", ""}}, "gateway"},
	{"reset each request that is given up", []edit{{"pkg/forward/linger.go", "if !p.linger(c, req.Expires) {", "if true {"}}, "gateway"},
	{"deliver all of a request that is given up", []edit{{"pkg/forward/linger.go", "if connection.HasUnacknowledged(c.Conn) {", "if connection.HasUnacknowledged(c.Conn) && false {"}}, "forward"},
	{"ignore announcements of skipped responses", []edit{{"pkg/forward/forward.go", "if req.OnHead != nil {", "if req.OnHead != nil && req.Matches(res.StatusCode, res.Header) {"}}, "gateway"},
}

// brokenRule finds a rule that the fuzz reports as broken, and failedCase the first
// failed spec. A state that the fuzz did not reach does not count as a broken rule.
var (
	brokenRule = regexp.MustCompile(`broken: ([^;\n]*)`)
	failedCase = regexp.MustCompile(`\[It\] ([^\n\x1b]*)`)
)

// failedCheck returns the check that failed.
func failedCheck(out string) string {
	if found := brokenRule.FindStringSubmatch(out); found != nil {
		return "fuzz: " + found[1]
	}
	found := failedCase.FindStringSubmatch(out)
	if found == nil || strings.Contains(found[1], "every rule") {
		return ""
	}
	return "test: " + found[1]
}

var _ = Describe("The oracle", func() {
	It("catches: nothing in the unchanged source", func() {
		out, err := mutation{}.run()
		Expect(err).NotTo(HaveOccurred(), out)
	})

	for _, m := range append(mutations, announcementMutations...) {
		It("catches: "+m.rule, func() {
			out, err := m.run()
			Expect(err).To(HaveOccurred(), "no check failed")
			check := failedCheck(out)
			Expect(check).NotTo(BeEmpty(), "the run failed without a broken rule: %s", out)
			AddReportEntry("| "+m.rule+" | "+check+" |", ReportEntryVisibilityAlways)
		})
	}
})

// run runs the fuzz on the broken source.
func (m mutation) run() (string, error) {
	root, err := filepath.Abs("../..")
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	overlay := struct{ Replace map[string]string }{make(map[string]string)}
	for _, e := range m.edits {
		path := filepath.Join(root, e.file)
		from := path
		if broken, ok := overlay.Replace[path]; ok {
			from = broken
		}
		source, err := os.ReadFile(from)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(source), e.old)).To(Equal(1), "%s: %q", e.file, e.old)
		to := filepath.Join(dir, filepath.Base(e.file))
		Expect(os.WriteFile(to, []byte(strings.Replace(string(source), e.old, e.new, 1)), 0o600)).To(Succeed())
		overlay.Replace[path] = to
	}
	data, err := json.Marshal(overlay)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dir, "overlay.json")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	args := []string{"-run", "TestOrder", ".", "-ginkgo.skip", "Histories"}
	if m.specs != "" {
		args = []string{"../" + m.specs}
	}
	cmd := exec.Command("go", append([]string{"test", "-vet=off", "-overlay", file, "-count=1"}, args...)...)
	cmd.Env = append(os.Environ(), "FUZZ_CHECKS=800", "FUZZ_SHRINK=0s")
	out, err := cmd.CombinedOutput()
	return string(out), err
}
