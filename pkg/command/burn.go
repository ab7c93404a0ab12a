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

func setupBurn(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c        connection
		asJSON   bool
		htmlFile string
	)
	c.declare(sub)
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.String(&htmlFile, "", "html", "write the report with plots to this HTML file")
	return func(ctx context.Context, s Streams) error {
		report, err := readBurn(ctx, &c, s)
		if err != nil {
			return err
		}
		if htmlFile != "" {
			if err := writeBurnPage(htmlFile, report); err != nil {
				return err
			}
		}
		if asJSON {
			return writeJSON(s.Out, report)
		}
		return writeBurn(s.Out, report)
	}
}

// readBurn merges the reports of the nodes. A node that does not respond is
// omitted and named on the error stream.
func readBurn(ctx context.Context, c *connection, s Streams) (r burn.Report, err error) {
	clients, err := c.clients()
	if err != nil {
		return r, err
	}
	var (
		responses []burn.NodeReport
		lastErr   error
	)
	for _, client := range clients {
		response, err := client.Burn(ctx)
		if err != nil {
			lastErr = withExitCode(err)
			fmt.Fprintf(s.Err, "left out of the report: %v\n", lastErr)
			continue
		}
		responses = append(responses, response)
	}
	if len(responses) == 0 {
		return r, lastErr
	}
	return burn.Merge(responses), nil
}

func writeBurn(w io.Writer, r burn.Report) error {
	fmt.Fprintf(w, "counted by %d node(s) since %s\n", len(r.Nodes), r.Since.UTC().Format(time.RFC3339))
	header := []any{"ACCOUNT", "POOL", "OBJECTIVE", "BUDGET LEFT"}
	for _, window := range burn.Windows {
		header = append(header, "BURN "+window.Label())
	}
	rows := []string{row(append(header, "REQUESTS", "REFUSED", "FAILED", "LATE", "SLOW")...)}
	for _, l := range r.Lines {
		cells := []any{l.Account, l.Pool, l.Objective, fmt.Sprintf("%.1f%%", 100*l.BudgetLeft)}
		for _, lineWindow := range l.Windows {
			cells = append(cells, fmt.Sprintf("%.2f", lineWindow.Rate))
		}
		counts := l.Windows[len(l.Windows)-1].Counts
		rows = append(rows, row(append(cells, counts.Total, counts.Refused, counts.Failed, counts.Late, counts.Slow)...))
	}
	return writeTable(w, rows...)
}

func writeBurnPage(file string, r burn.Report) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return &Error{Code: ExitUsage, Cause: err}
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return burn.WritePage(f, r)
}
