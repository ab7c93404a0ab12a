package command_test

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

var root = filepath.Join("..", "..")

// readPages returns the content of the files with the extension below a folder.
func readPages(folder, extension string) map[string]string {
	pages := map[string]string{}
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != extension {
			return err
		}
		data, err := os.ReadFile(path)
		pages[path] = string(data)
		return err
	})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, pages).NotTo(BeEmpty())
	return pages
}

// metricName matches the name of a metric. For a series of a histogram the match
// includes its suffix, such as _bucket.
var metricName = regexp.MustCompile(`skylarkloom_[a-z_]+`)

// unknownMetrics returns the metrics in a text that are not on the metrics page.
func unknownMetrics(text string) (unknown []string) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "metrics.md"))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	for _, name := range metricName.FindAllString(text, -1) {
		name = strings.TrimSuffix(name, "_bucket")
		if !strings.Contains(string(page), "| `"+name+"` |") {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// ruleFile is a file of Prometheus rules.
type ruleFile struct {
	Groups []ruleGroup `yaml:"groups"`
}

type ruleGroup struct {
	Name  string      `yaml:"name"`
	Rules []alertRule `yaml:"rules"`
}

type alertRule struct {
	Alert       string            `yaml:"alert"`
	Expr        string            `yaml:"expr"`
	For         time.Duration     `yaml:"for"`
	Labels      map[string]string `yaml:"labels"`
	Annotations map[string]string `yaml:"annotations"`
}

// dashboard holds the fields of the dashboard that are checked.
type dashboard struct {
	Panels []struct {
		Title   string `json:"title"`
		Targets []struct {
			Expr string `json:"expr"`
		} `json:"targets"`
	} `json:"panels"`
}

// balanced reports whether the brackets of an expression are balanced.
func balanced(expr string) bool {
	var open []rune
	pairs := map[rune]rune{')': '(', ']': '[', '}': '{'}
	for _, c := range expr {
		switch {
		case strings.ContainsRune("([{", c):
			open = append(open, c)
		case pairs[c] != 0 && (len(open) == 0 || open[len(open)-1] != pairs[c]):
			return false
		case pairs[c] != 0:
			open = open[:len(open)-1]
		}
	}
	return len(open) == 0
}

var _ = Describe("The pages", func() {
	It("that are generated from the code are up to date", func(ctx context.Context) {
		pages, err := command.Pages(context.WithoutCancel(ctx))
		Expect(err).NotTo(HaveOccurred())
		for _, p := range pages {
			written, err := os.ReadFile(filepath.Join(root, "docs", p.File))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(written)).To(Equal(p.Text), "run make docs")
		}
	}, NodeTimeout(time.Minute))

	It("link to files that exist", func() {
		link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
		for file, text := range readPages("docs", ".md") {
			for _, found := range link.FindAllStringSubmatch(text, -1) {
				Expect(filepath.Join(filepath.Dir(file), found[1])).To(BeAnExistingFile(), file)
			}
		}
	})

	It("of the handbook name events, metrics and commands that exist", func() {
		known := map[string]bool{}
		for _, e := range event.Catalogue {
			known[strconv.Itoa(int(e.ID))] = true
		}
		number := regexp.MustCompile(`\b[12]\d{3}\b`)
		called := regexp.MustCompile("`skylarkctl ([a-z]+(?: [a-z]+)?)")
		for file, text := range readPages("docs/operators", ".md") {
			for _, n := range number.FindAllString(text, -1) {
				Expect(known).To(HaveKey(n), file)
			}
			Expect(unknownMetrics(text)).To(BeEmpty(), file)
			for _, found := range called.FindAllStringSubmatch(text, -1) {
				Expect(isCommand(found[1])).To(BeTrue(), "%s: skylarkctl %s", file, found[1])
			}
		}
	})

	It("of the handbook are named by the alerts, and the metrics of the alerts exist", func() {
		file := filepath.Join(root, "examples", "monitoring", "alerts.yaml")
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		var r ruleFile
		Expect(strict.Decode(file, data, &r).Err()).To(Succeed())
		Expect(r.Groups).To(HaveLen(1))
		for _, a := range r.Groups[0].Rules {
			Expect(unknownMetrics(a.Expr)).To(BeEmpty(), a.Alert)
			Expect(metricName.FindString(a.Expr)).NotTo(BeEmpty(), a.Alert)
			Expect(balanced(a.Expr)).To(BeTrue(), a.Alert)
			Expect(a.Labels["severity"]).To(BeElementOf("page", "ticket"), a.Alert)
			Expect(filepath.Join(root, a.Annotations["page"])).To(BeAnExistingFile(), a.Alert)
		}
	})

	It("come with a dashboard whose metrics exist", func() {
		data, err := os.ReadFile(filepath.Join(root, "examples", "monitoring", "dashboard.json"))
		Expect(err).NotTo(HaveOccurred())
		var d dashboard
		Expect(json.Unmarshal(data, &d)).To(Succeed())
		for _, p := range d.Panels {
			Expect(p.Targets).NotTo(BeEmpty(), p.Title)
			for _, t := range p.Targets {
				Expect(unknownMetrics(t.Expr)).To(BeEmpty(), p.Title)
				Expect(balanced(t.Expr)).To(BeTrue(), p.Title)
			}
		}
	})
})

// isCommand reports whether the words, or the first of them, are a command of
// skylarkctl.
func isCommand(words string) bool {
	first, _, _ := strings.Cut(words, " ")
	for _, c := range command.ControlProgram().Commands {
		if c.Name == words || c.Name == first {
			return true
		}
	}
	return false
}
