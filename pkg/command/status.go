package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

func setupStatus(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	fetch := func(ctx context.Context, c *operator.Client) (operate.Status, error) { return c.Status(ctx) }
	return query(sub, fetch, writeStatus)
}

func writeStatus(w io.Writer, s operate.Status) error {
	fmt.Fprintf(w, "node %s in %s: ready %t, revision %d\n\n", s.Node, s.DataCentre, s.Ready, s.Revision)
	if len(s.Degraded) == 0 {
		fmt.Fprintf(w, "nothing is degraded\n\n")
	}
	for _, d := range s.Degraded {
		fmt.Fprintf(w, "degraded since %s: %s\n", d.Since.UTC().Format(time.RFC3339), d.Problem)
	}
	if err := writeTable(w, fleetRows(s.Instances)...); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows := []string{row("NODE", "DATA CENTRE", "REVISION", "ALIVE", "HEARD")}
	for _, n := range s.Nodes {
		rows = append(rows, row(n.Name, n.DataCentre, n.Revision, n.Alive, n.Heard.UTC().Format(time.RFC3339)))
	}
	if err := writeTable(w, rows...); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows = []string{row("STREAM", "APPENDS", "FAILED", "RECORDS", "FOLDED", "UNREADABLE", "SNAPSHOTS")}
	for _, name := range slices.Sorted(maps.Keys(s.Streams)) {
		stats := s.Streams[name]
		rows = append(rows, row(name, stats.Appends, stats.FailedWrites, stats.Records, stats.Folded, stats.Unreadable, stats.Snapshots))
	}
	return writeTable(w, rows...)
}

// location is a pool and a zone in which the pool has instances.
type location struct {
	pool fleet.PoolName
	zone fleet.ZoneName
}

// fleetRows returns the rows of the table of instances, counted by pool, zone and
// condition.
func fleetRows(instances []fleet.Instance) []string {
	counts := map[location]map[fleet.Condition]int{}
	for _, i := range instances {
		loc := location{i.Pool, i.Zone}
		if counts[loc] == nil {
			counts[loc] = map[fleet.Condition]int{}
		}
		counts[loc][i.Condition]++
	}
	locations := slices.SortedFunc(maps.Keys(counts), func(a, b location) int {
		return slices.Compare([]string{string(a.pool), string(a.zone)}, []string{string(b.pool), string(b.zone)})
	})
	rows := []string{row("POOL", "ZONE", "LIVE", "LEAVING", "GONE")}
	for _, loc := range locations {
		c := counts[loc]
		rows = append(rows, row(loc.pool, loc.zone, c[fleet.ConditionLive], c[fleet.ConditionLeaving], c[fleet.ConditionGone]))
	}
	return rows
}

func setupOrder(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var account, key string
	sub.AddPositionalValue(&account, "ACCOUNT", 1, true, "the client account")
	sub.AddPositionalValue(&key, "KEY", 2, true, "the idempotency key")
	fetch := func(ctx context.Context, c *operator.Client) (edge.State, error) {
		state, err := c.Order(ctx, fleet.KeyRef{Account: fleet.AccountName(account), Key: fleet.Key(key)})
		var response *operator.ResponseError
		if errors.As(err, &response) && response.Status == http.StatusNotFound {
			return state, errors.Newf("account %q has no request with key %q", account, key)
		}
		return state, err
	}
	return query(sub, fetch, writeOrder)
}

func writeOrder(w io.Writer, state edge.State) error {
	rows := []string{row("key", state.Key), row("pool", state.Pool), row("status", state.Status), row("outcome", state.Outcome)}
	if !state.Deadline.IsZero() {
		rows = append(rows, row("deadline", state.Deadline.UTC().Format(time.RFC3339)))
	}
	if state.Response != nil {
		rows = append(rows, row("answer", state.Response.Status))
	}
	if state.Detail != "" {
		rows = append(rows, row("detail", state.Detail))
	}
	return writeTable(w, rows...)
}

func setupBill(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	fetch := func(ctx context.Context, c *operator.Client) (operate.Bill, error) { return c.Bill(ctx) }
	return query(sub, fetch, writeBill)
}

func writeBill(w io.Writer, b operate.Bill) error {
	if b.Since.IsZero() {
		fmt.Fprintln(w, "no charges are recorded")
	} else {
		fmt.Fprintf(w, "charges since %s\n", b.Since.UTC().Format(time.RFC3339))
	}
	rows := []string{row("ACCOUNT", "POOL", "REQUESTS", "PROMPT", "GENERATED", "RECOMPUTED", "CHARGED")}
	for _, l := range b.Lines {
		rows = append(rows, row(l.Account, l.Pool, l.Requests, l.Prompt, l.Generated, l.Recomputed, money(l.Charged)))
	}
	if err := writeTable(w, rows...); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows = []string{row("POOL", "MARKET", "INSTANCES", "COST AN HOUR")}
	for _, c := range b.Costs {
		rows = append(rows, row(c.Pool, c.Market, c.Instances, money(c.HourlyPrice)))
	}
	return writeTable(w, rows...)
}
