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

// Page is a page of docs/ that is made from the code.
type Page struct {
	// File is the path below docs/.
	File string
	Text string
}

func docsFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
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

// Pages returns the pages that are made from the code. It starts a try-out,
// whose nodes describe their metrics.
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

const madeBy = "<!-- Made by make docs from the code; do not edit. -->\n\n"

// page returns the program's page.
func (p Program) page() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s# %s\n\n%s.\n", madeBy, p.Name, p.Description)
	for _, l := range p.leaves() {
		if l.command.Hidden {
			continue
		}
		fmt.Fprintf(&b, "\n## %s %s\n\n%s.\n\n    %s\n", p.Name, l.command.Name, l.command.Help, l.usage(p.Name))
		if len(l.sub.Flags)+len(l.sub.PositionalFlags) > 0 {
			fmt.Fprint(&b, "\n| argument | meaning |\n| --- | --- |\n")
		}
		for _, v := range l.sub.PositionalFlags {
			fmt.Fprintf(&b, "| `%s` | %s |\n", v.Name, v.Description)
		}
		for _, f := range l.sub.Flags {
			fmt.Fprintf(&b, "| `%s` | %s |\n", flagUsage(f), f.Description)
		}
		if l.command.Example != "" {
			fmt.Fprintf(&b, "\nExample: `%s`\n", l.command.Example)
		}
	}
	fmt.Fprint(&b, "\n## Exit codes\n\n| code | meaning |\n| --- | --- |\n")
	for _, e := range ExitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", e.Code, e.Meaning)
	}
	return b.String()
}

// eventsPage returns the catalogue of the log's events.
func eventsPage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s# Events of the log\n\nEvery line of the daemon's log carries one of these numbers in its field `event`.\n\n", madeBy)
	fmt.Fprint(&b, "| number | subsystem | level | message | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range event.Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.ID, e.Subsystem, e.Level, e.Message, e.Meaning, e.Action)
	}
	return b.String()
}

// metric is the description of one metric.
type metric struct{ name, help, labels string }

// descText matches the text form of a description.
var descText = regexp.MustCompile(`^Desc\{fqName: "([^"]+)", help: "([^"]*)", .*variableLabels: \{([^}]*)\}\}$`)

func metricsPage(ctx context.Context) (string, error) {
	list, err := describedMetrics(ctx)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s# Metrics\n\nEach node serves these at `/metrics` on its operators' address, under the operators' token. Names that\nare not configured count under the label `other`.\n\n| metric | labels | meaning |\n| --- | --- | --- |\n", madeBy)
	for _, m := range list {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.name, strings.ReplaceAll(m.labels, ",", ", "), m.help)
	}
	return b.String(), nil
}

// describedMetrics returns what a node of a try-out says of its metrics.
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
		if found := descText.FindStringSubmatch(d.String()); found != nil {
			list = append(list, metric{found[1], found[2], found[3]})
		}
	}
	_ = g.Wait()
	slices.SortFunc(list, func(a, b metric) int { return strings.Compare(a.name, b.name) })
	return list, t.Stop(context.WithoutCancel(ctx))
}
