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

// edit replaces text that stands once in a file of the module.
type edit struct{ file, old, new string }

// mutation breaks one rule on purpose. The fuzz runs on the broken source by an
// overlay of the compiler, so that the product holds no switch for it.
type mutation struct {
	rule  string
	edits []edit
}

const (
	acceptFile = "pkg/order/accept.go"
	carryFile  = "pkg/order/carry.go"
	deskFile   = "pkg/order/desk.go"
	foldFile   = "pkg/order/order.go"
	serveFile  = "pkg/order/serve.go"
)

var mutations = []mutation{
	{"send before the dispatch is seen", []edit{{
		acceptFile, "	waitCtx, cancel :=",
		"	if (a.grant != record.ID{}) {\n\t\treturn Order{Accept: a.id, Request: a.request, Status: StatusDispatched, Owner: d.Node, Term: 1, Grant: a.grant}, nil\n\t}\n\twaitCtx, cancel :=",
	}}},
	{"say not run after a lost accept", []edit{{
		acceptFile, "if err != nil || t.Wait(ctx) != nil {\n\t\treturn mine, &UnknownError", "if err != nil || t.Wait(ctx) != nil {\n\t\treturn mine, &NotRunError",
	}}},
	{"call a record withdrawn that is in an append", []edit{{"pkg/journal/write.go", "return !t.sending && !t.sent && !t.written", "return !t.written"}}},
	{"hand a dispatched order to a new owner", []edit{{foldFile, "if o.Status == StatusDispatched && o.Request.Repeatable {", "if o.Status == StatusDispatched {"}}},
	{"count a cancel after the dispatch", []edit{
		{foldFile, "{Name: string(EventCancel), Src: []string{string(StatusAccepted)}", "{Name: string(EventCancel), Src: []string{string(StatusAccepted), string(StatusDispatched)}"},
		{foldFile, "if o.Tried {", "if o.Tried && o.Request.Repeatable {"},
	}},
	{"let any call send that finds its node the holder", []edit{
		{deskFile, "o.Accept != a.id || r.Repeatable", "r.Repeatable"},
		{deskFile, "if o.Grant != a.grant {", "if !o.Holds(d.Node) {"},
	}},
	{"send on any dispatch of the node in the background", []edit{{serveFile, "if err == nil && o.Grant == grant {", "if _ = grant; err == nil {"}}},
	{"count the dispatch of an earlier owner", []edit{{
		foldFile, "func (f *Fold) dispatch(pos record.Position, id record.ID, r record.Dispatch) {\n\to := f.current(r.Ref, r.Accept)\n\tif o == nil || r.Term != o.Term || r.Owner != o.Owner {",
		"func (f *Fold) dispatch(pos record.Position, id record.ID, r record.Dispatch) {\n\to := f.current(r.Ref, r.Accept)\n\tif o == nil {",
	}}},
	{"read a cancelled accept as a new one", []edit{{foldFile, "if _, cancelled := f.Cancelled[id]; cancelled {", "if _, cancelled := f.Cancelled[id]; cancelled && false {"}}},
	{"send again when no answer came", []edit{{carryFile, "return d.doubt(ctx, p, o, err)", "_, _ = d.Send(sendCtx, o)\n\t\treturn d.doubt(ctx, p, o, err)"}}},
	{"say not run when no answer came", []edit{{carryFile, "if err != nil && d.NotStarted(err) {", "if err != nil {"}}},
	{"leave an order without answer dispatched", []edit{{carryFile, "_, _ = d.settle(ctx, p, o, record.Settle{Outcome: fleet.OutcomeUnknown, Detail: cause.Error()})", ""}}},
	{"drop an outcome that the log refuses", []edit{{carryFile, "p.Stream.SubmitRequired(e)", "p.Stream.Submit(e)"}}},
	{"forget an accept that was given up", []edit{{acceptFile, "	d.disown(a)\n", ""}}},
	{"call repeatable work not run that was sent before", []edit{{foldFile, "if o.Tried {", "if false {"}}},
	{"join a request with another body", []edit{{deskFile, "if o.Request.Digest != r.Digest {", "if false {"}}},
	{"put a snapshot one entry too late", []edit{{"pkg/journal/snapshot.go", "return s.Next(), state, err", "return s.Next() + 1, state, err"}}},
	{"keep times as floats", []edit{{"pkg/api/record/record.go", "o.Time = cbor.TimeRFC3339NanoUTC", "o.Time = cbor.TimeUnixMicro"}}},
	{"apply a revision that is not higher", []edit{{"pkg/config/keeper.go", "if c.Revision <= k.Revision() {", "if c.Revision == 0 {"}}},
	{"put a publish on an old base in force", []edit{{"pkg/config/config.go", "if r.Base == current {", "if r.Base <= current {"}}},
	{"fold a charge batch twice", []edit{{"pkg/ledger/ledger.go", "if r.Sequence <= lives[r.Writer.Incarnation].Sequence {", "if false {"}}},
	{"charge a request of two nodes twice", []edit{{"pkg/ledger/ledger.go", "charged := f.Keyed[c.Request]; charged {", "charged := f.Keyed[c.Request]; charged && false {"}}},
	{"charge an order at each settle", []edit{
		{foldFile, "o.Fence == 0 || o.Final() {", "o.Fence == 0 {"},
		{foldFile, "	if f.move(o, settling(r.Outcome)) {", "	if f.move(o, settling(r.Outcome)) || o.Status == StatusSettled {"},
	}},
}

// brokenRule finds a broken rule of the fuzz in the output, and failedCase the
// first test that failed. That the fuzz did not reach a state is no rule.
var (
	brokenRule = regexp.MustCompile(`broken: ([^;\n]*)`)
	failedCase = regexp.MustCompile(`\[It\] ([^\n\x1b]*)`)
)

// caughtBy returns the check that failed.
func caughtBy(out string) string {
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
	It("catches: nothing in the source as it is", func() {
		out, err := mutation{}.run()
		Expect(err).NotTo(HaveOccurred(), out)
	})

	for _, m := range mutations {
		It("catches: "+m.rule, func() {
			out, err := m.run()
			Expect(err).To(HaveOccurred(), "no check caught it")
			check := caughtBy(out)
			Expect(check).NotTo(BeEmpty(), "it failed otherwise: %s", out)
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
	cmd := exec.Command("go", "test", "-vet=off", "-overlay", file, "-run", "TestOrder", "-count=1", ".", "-ginkgo.skip", "Histories")
	cmd.Env = append(os.Environ(), "FUZZ_CHECKS=800", "FUZZ_SHRINK=0s")
	out, err := cmd.CombinedOutput()
	return string(out), err
}
