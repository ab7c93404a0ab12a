package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// Page is a page of docs/ that is generated from the code.
type Page struct {
	// File is the path below docs/.
	File string
	Text string
}

func setupDocs(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	dir := "docs"
	sub.AddPositionalValue(&dir, "FOLDER", 1, false, "the folder of the pages")
	return func(ctx context.Context, _ Streams) error {
		pages, err := Pages(ctx)
		if err != nil {
			return err
		}
		for _, p := range pages {
			file := filepath.Join(dir, p.File)
			if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(file, []byte(p.Text), 0o644); err != nil {
				return err
			}
		}
		return nil
	}
}

// Pages returns the pages that are generated from the code. It starts a trial to
// read the descriptions of the metrics from one of its nodes.
func Pages(ctx context.Context) (pages []Page, err error) {
	metrics, err := metricsPage(ctx)
	if err != nil {
		return nil, err
	}
	return []Page{
		{"cli/" + DaemonProgram().Name + ".md", DaemonProgram().page()},
		{"cli/" + ControlProgram().Name + ".md", ControlProgram().page()},
		{"events.md", eventsPage()},
		{"metrics.md", metrics},
	}, nil
}

const generatedNotice = "<!-- Made by make docs from the code; do not edit. -->\n\n"

// page returns the page of the program.
func (p Program) page() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s# %s\n\n%s.\n", generatedNotice, p.Name, p.Description)
	for _, c := range p.bindAll() {
		if c.command.Hidden {
			continue
		}
		fmt.Fprintf(&b, "\n## %s %s\n\n%s.\n\n    %s\n", p.Name, c.command.Name, c.command.Help, c.usage(p.Name))
		if len(c.sub.Flags)+len(c.sub.PositionalFlags) > 0 {
			fmt.Fprint(&b, "\n| argument | meaning |\n| --- | --- |\n")
		}
		for _, v := range c.sub.PositionalFlags {
			fmt.Fprintf(&b, "| `%s` | %s |\n", v.Name, v.Description)
		}
		for _, f := range c.sub.Flags {
			fmt.Fprintf(&b, "| `%s` | %s |\n", flagUsage(f), f.Description)
		}
		if c.command.Example != "" {
			fmt.Fprintf(&b, "\nExample: `%s`\n", c.command.Example)
		}
	}
	fmt.Fprint(&b, "\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for _, e := range ExitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", e.Code, e.Meaning)
	}
	return b.String()
}

// eventsPage returns the page with the catalogue of log events.
func eventsPage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s# Events of the log\n\nEvery line of the daemon's log carries one of these numbers in its field `event`.\n\n", generatedNotice)
	fmt.Fprint(&b, "| number | subsystem | level | message | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range event.Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.ID, e.Subsystem, e.Level, e.Message, e.Meaning, e.Action)
	}
	return b.String()
}

// metric holds the name, help text and labels of a Prometheus metric.
type metric struct{ name, help, labels string }

// descPattern matches the string form of a prometheus.Desc.
var descPattern = regexp.MustCompile(`^Desc\{fqName: "([^"]+)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}\}$`)

func metricsPage(ctx context.Context) (string, error) {
	list, err := describedMetrics(ctx)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s# Metrics\n\nEach node serves these at `/metrics` on its operators' address, under the operators' token. Names that\nare not configured count under the label `other`.\n\n| metric | labels | meaning |\n| --- | --- | --- |\n", generatedNotice)
	for _, m := range list {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.name, strings.ReplaceAll(m.labels, ",", ", "), m.help)
	}
	return b.String(), nil
}

// describedMetrics returns the metrics that a node of a trial describes, by name.
func describedMetrics(ctx context.Context) (list []metric, err error) {
	t := &trial.Trial{}
	if err := t.Start(ctx); err != nil {
		return nil, err
	}
	descs := make(chan *prometheus.Desc)
	var g errgroup.Group
	g.Go(func() error {
		defer close(descs)
		t.Nodes[0].Describe(descs)
		return nil
	})
	for d := range descs {
		if found := descPattern.FindStringSubmatch(d.String()); found != nil {
			list = append(list, metric{found[1], found[2], found[3]})
		}
	}
	_ = g.Wait()
	slices.SortFunc(list, func(a, b metric) int { return strings.Compare(a.name, b.name) })
	return list, t.Stop(context.WithoutCancel(ctx))
}
