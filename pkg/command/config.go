package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

// pollInterval is the interval between two checks of a condition that is waited
// for.
const pollInterval = 200 * time.Millisecond

func setupConfigCheck(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var file string
	sub.AddPositionalValue(&file, "FILE", 1, true, "the configuration file")
	return func(_ context.Context, s Streams) error {
		if _, err := readDocument(file); err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "%s: no mistakes found\n", file)
		return nil
	}
}

func readDocument(file string) (data []byte, err error) {
	data, err = readFile(file)
	if err != nil {
		return nil, err
	}
	if _, err := fleet.ParseDocument(file, data); err != nil {
		return nil, &Error{Code: ExitUsage, Cause: err}
	}
	return data, nil
}

func setupConfigShow(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c             connection
		asJSON, why   bool
		account, pool string
	)
	c.declare(sub)
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.Bool(&why, "w", "why", "show the source of each value in effect for ACCOUNT on POOL")
	sub.AddPositionalValue(&account, "ACCOUNT", 1, false, "with --why: the account")
	sub.AddPositionalValue(&pool, "POOL", 2, false, "with --why: the pool")
	return func(ctx context.Context, s Streams) error {
		if why != (pool != "") || why != (account != "") {
			return usagef("--why requires ACCOUNT and POOL, and they require --why")
		}
		change, err := currentChange(ctx, &c)
		if err != nil {
			return err
		}
		if why {
			return writeSources(s, change, fleet.AccountName(account), fleet.PoolName(pool), asJSON)
		}
		if asJSON {
			return writeJSON(s.Out, changeOutput(change))
		}
		fmt.Fprintf(s.Out, "# %s\n%s", changeSummary(change), change.Document)
		return nil
	}
}

// currentChange returns the change in force on the first node.
func currentChange(ctx context.Context, c *connection) (change config.Change, err error) {
	client, err := c.client()
	if err != nil {
		return change, err
	}
	change, err = client.Config(ctx)
	return change, withExitCode(err)
}

// ChangeOutput is the JSON output for a change.
type ChangeOutput struct {
	Revision fleet.Revision `json:"revision"`
	ID       string         `json:"id"`
	Time     time.Time      `json:"time"`
	Author   string         `json:"author"`
	Message  string         `json:"message"`
	Document string         `json:"document"`
}

func changeOutput(c config.Change) ChangeOutput {
	return ChangeOutput{Revision: c.Revision, ID: c.ID.String(), Time: c.Time, Author: c.Author, Message: c.Message, Document: string(c.Document)}
}

func changeSummary(c config.Change) string {
	return fmt.Sprintf("revision %d, %s, %s: %s", c.Revision, c.Time.UTC().Format(time.RFC3339), c.Author, c.Message)
}

// EffectiveValue is a value of the policy in effect, with the source that sets it.
type EffectiveValue struct {
	Field  string       `json:"field"`
	Value  string       `json:"value"`
	Source fleet.Source `json:"source"`
	Reason string       `json:"reason,omitempty"`
}

func effectiveValue[T any](field string, v fleet.Value[T]) EffectiveValue {
	return EffectiveValue{Field: field, Value: fmt.Sprint(v.Value), Source: v.Source, Reason: v.Reason}
}

// effectiveValues lists the values of a policy.
func effectiveValues(p fleet.Policy) []EffectiveValue {
	return []EffectiveValue{
		effectiveValue("deadline", p.Deadline),
		effectiveValue("first_token", p.FirstToken),
		effectiveValue("between_tokens", p.BetweenTokens),
		effectiveValue("objective", p.Objective),
		effectiveValue("max_tokens", p.MaxTokens),
		effectiveValue("latency", p.LatencyWeight),
		effectiveValue("recompute", p.RecomputeWeight),
		effectiveValue("price", p.PriceWeight),
		effectiveValue("rate", p.Rate),
		effectiveValue("burst", p.Burst),
		effectiveValue("priority", p.Priority),
	}
}

func writeSources(s Streams, change config.Change, account fleet.AccountName, pool fleet.PoolName, asJSON bool) error {
	doc, err := fleet.ParseDocument(fmt.Sprintf("revision %d", change.Revision), change.Document)
	if err != nil {
		return err
	}
	if _, ok := doc.Account(account); !ok {
		return usagef("revision %d has no account %q", change.Revision, account)
	}
	if _, ok := doc.Pool(pool); !ok {
		return usagef("revision %d has no pool %q", change.Revision, pool)
	}
	values := effectiveValues(doc.Policy(account, pool, time.Now()))
	if asJSON {
		return writeJSON(s.Out, values)
	}
	rows := []string{row("FIELD", "VALUE", "SOURCE", "REASON")}
	for _, v := range values {
		rows = append(rows, row(v.Field, v.Value, v.Source, v.Reason))
	}
	return writeTable(s.Out, rows...)
}

func setupConfigHistory(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	fetch := func(ctx context.Context, c *operator.Client) ([]ChangeOutput, error) {
		changes, err := c.History(ctx)
		list := make([]ChangeOutput, len(changes))
		for i, c := range changes {
			list[i] = changeOutput(c)
		}
		return list, err
	}
	return query(sub, fetch, writeHistory)
}

func writeHistory(w io.Writer, list []ChangeOutput) error {
	rows := []string{row("REVISION", "TIME", "AUTHOR", "MESSAGE")}
	for _, c := range list {
		rows = append(rows, row(c.Revision, c.Time.UTC().Format(time.RFC3339), c.Author, c.Message))
	}
	return writeTable(w, rows...)
}

func setupConfigDiff(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c    connection
		file string
	)
	c.declare(sub)
	sub.AddPositionalValue(&file, "FILE", 1, true, "the configuration file")
	return func(ctx context.Context, s Streams) error {
		data, err := readFile(file)
		if err != nil {
			return err
		}
		change, err := currentChange(ctx, &c)
		if err != nil {
			return err
		}
		fmt.Fprint(s.Out, lineDiff(string(change.Document), string(data)))
		return nil
	}
}

func setupConfigWait(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c        connection
		revision string
		timeout  = 10 * time.Second
	)
	c.declare(sub)
	sub.Duration(&timeout, "", "timeout", "how long to wait (default 10s)")
	sub.AddPositionalValue(&revision, "REVISION", 1, true, "the revision to wait for")
	return func(ctx context.Context, s Streams) error {
		n, err := strconv.ParseUint(revision, 10, 64)
		if err != nil {
			return usagef("%q is not a revision; expected a number such as 17", revision)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return waitRevision(ctx, &c, s, fleet.Revision(n))
	}
}

// waitRevision returns once every node in the status of the first node is alive
// and has the revision or a higher one in force.
func waitRevision(ctx context.Context, c *connection, s Streams, want fleet.Revision) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var status operate.Status
	for {
		latest, err := client.Status(ctx)
		if ctx.Err() != nil {
			return errors.Newf("timed out before revision %d was in force on every node; behind: %v", want, nodesBehind(status, want))
		}
		if err != nil {
			return withExitCode(err)
		}
		status = latest
		if len(nodesBehind(status, want)) == 0 {
			fmt.Fprintf(s.Out, "revision %d is in force on %d node(s)\n", want, max(1, len(status.Nodes)))
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// nodesBehind lists the nodes that have a lower revision in force or are not alive.
func nodesBehind(s operate.Status, want fleet.Revision) (names []fleet.NodeName) {
	if s.Revision < want {
		names = append(names, s.Node)
	}
	for _, n := range s.Nodes {
		if n.Name != s.Node && (n.Revision < want || !n.Alive) {
			names = append(names, n.Name)
		}
	}
	return names
}
