package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/burn"
)

func showBurn(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c      connection
		asJSON bool
		html   string
	)
	c.declare(sub)
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.String(&html, "", "html", "write the report with plots to this HTML file")
	return func(ctx context.Context, s Streams) error {
		report, err := readBurn(ctx, &c, s)
		if err != nil {
			return err
		}
		if html != "" {
			if err := writeBurnPage(html, report); err != nil {
				return err
			}
		}
		if asJSON {
			return writeJSON(s.Out, report)
		}
		return writeBurn(s.Out, report)
	}
}

// readBurn merges the answers of the nodes. A node that does not answer is
// named on the error stream; the report is of the others.
func readBurn(ctx context.Context, c *connection, s Streams) (r burn.Report, err error) {
	clients, err := c.clients()
	if err != nil {
		return r, err
	}
	var (
		answers []burn.Answer
		failed  error
	)
	for _, client := range clients {
		a, err := client.Burn(ctx)
		if err != nil {
			failed = explain(err)
			fmt.Fprintf(s.Err, "left out of the report: %v\n", failed)
			continue
		}
		answers = append(answers, a)
	}
	if len(answers) == 0 {
		return r, failed
	}
	return burn.Merge(answers), nil
}

func writeBurn(w io.Writer, r burn.Report) error {
	fmt.Fprintf(w, "counted by %d node(s) since %s\n", len(r.Nodes), r.Since.UTC().Format(time.RFC3339))
	head := []any{"ACCOUNT", "POOL", "OBJECTIVE", "BUDGET LEFT"}
	for _, window := range burn.Windows {
		head = append(head, "BURN "+window.Label())
	}
	rows := []string{row(append(head, "REQUESTS", "REFUSED", "FAILED", "LATE", "SLOW")...)}
	for _, l := range r.Lines {
		cells := []any{l.Account, l.Pool, l.Objective, fmt.Sprintf("%.1f%%", 100*l.Left)}
		for _, span := range l.Windows {
			cells = append(cells, fmt.Sprintf("%.2f", span.Rate))
		}
		n := l.Windows[len(l.Windows)-1].Counts
		rows = append(rows, row(append(cells, n.Total, n.Refused, n.Failed, n.Late, n.Slow)...))
	}
	return table(w, rows...)
}

func writeBurnPage(file string, r burn.Report) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return burn.WritePage(f, r)
}
