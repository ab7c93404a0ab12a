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

// pollEvery is how often a condition that is waited for is looked at.
const pollEvery = 200 * time.Millisecond

func configCheck(sub *flaggy.Subcommand) func(context.Context, Streams) error {
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

func configShow(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c             connection
		asJSON, why   bool
		account, pool string
	)
	c.declare(sub)
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.Bool(&why, "w", "why", "show where each value in effect for ACCOUNT on POOL comes from")
	sub.AddPositionalValue(&account, "ACCOUNT", 1, false, "with --why: the account")
	sub.AddPositionalValue(&pool, "POOL", 2, false, "with --why: the pool")
	return func(ctx context.Context, s Streams) error {
		if why != (pool != "") || why != (account != "") {
			return usagef("--why needs ACCOUNT and POOL, and they need --why")
		}
		change, err := current(ctx, &c)
		if err != nil {
			return err
		}
		if why {
			return showWhy(s, change, fleet.AccountName(account), fleet.PoolName(pool), asJSON)
		}
		if asJSON {
			return writeJSON(s.Out, shown(change))
		}
		fmt.Fprintf(s.Out, "# %s\n%s", headline(change), change.Document)
		return nil
	}
}

// current returns the change in force on the first node.
func current(ctx context.Context, c *connection) (change config.Change, err error) {
	client, err := c.client()
	if err != nil {
		return change, err
	}
	change, err = client.Config(ctx)
	return change, explain(err)
}

// Shown is a change as skylarkctl writes it in JSON.
type ChangeOutput struct {
	Revision fleet.Revision `json:"revision"`
	ID       string         `json:"id"`
	Time     time.Time      `json:"time"`
	Author   string         `json:"author"`
	Message  string         `json:"message"`
	Document string         `json:"document"`
}

func shown(c config.Change) ChangeOutput {
	return ChangeOutput{Revision: c.Revision, ID: c.ID.String(), Time: c.Time, Author: c.Author, Message: c.Message, Document: string(c.Document)}
}

func headline(c config.Change) string {
	return fmt.Sprintf("revision %d, %s, %s: %s", c.Revision, c.Time.UTC().Format(time.RFC3339), c.Author, c.Message)
}

// Origin is an effective value with its origin.
type EffectiveValue struct {
	Field  string       `json:"field"`
	Value  string       `json:"value"`
	Source fleet.Source `json:"source"`
	Reason string       `json:"reason,omitempty"`
}

func origin[T any](field string, v fleet.Value[T]) EffectiveValue {
	return EffectiveValue{Field: field, Value: fmt.Sprint(v.Value), Source: v.Source, Reason: v.Reason}
}

// origins lists the values of a policy.
func origins(p fleet.Policy) []EffectiveValue {
	return []EffectiveValue{
		origin("deadline", p.Deadline),
		origin("first_token", p.FirstToken),
		origin("between_tokens", p.BetweenTokens),
		origin("objective", p.Objective),
		origin("max_tokens", p.MaxTokens),
		origin("latency", p.LatencyWeight),
		origin("recompute", p.RecomputeWeight),
		origin("price", p.PriceWeight),
		origin("rate", p.Rate),
		origin("burst", p.Burst),
		origin("priority", p.Priority),
	}
}

func showWhy(s Streams, change config.Change, account fleet.AccountName, pool fleet.PoolName, asJSON bool) error {
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
	list := origins(doc.Policy(account, pool, time.Now()))
	if asJSON {
		return writeJSON(s.Out, list)
	}
	rows := []string{row("FIELD", "VALUE", "SOURCE", "REASON")}
	for _, o := range list {
		rows = append(rows, row(o.Field, o.Value, o.Source, o.Reason))
	}
	return table(s.Out, rows...)
}

func configHistory(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	ask := func(ctx context.Context, c *operator.Client) ([]ChangeOutput, error) {
		changes, err := c.History(ctx)
		list := make([]ChangeOutput, len(changes))
		for i, c := range changes {
			list[i] = shown(c)
		}
		return list, err
	}
	return query(sub, ask, writeHistory)
}

func writeHistory(w io.Writer, list []ChangeOutput) error {
	rows := []string{row("REVISION", "TIME", "AUTHOR", "MESSAGE")}
	for _, c := range list {
		rows = append(rows, row(c.Revision, c.Time.UTC().Format(time.RFC3339), c.Author, c.Message))
	}
	return table(w, rows...)
}

func configDiff(sub *flaggy.Subcommand) func(context.Context, Streams) error {
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
		change, err := current(ctx, &c)
		if err != nil {
			return err
		}
		fmt.Fprint(s.Out, difference(string(change.Document), string(data)))
		return nil
	}
}

func configWait(sub *flaggy.Subcommand) func(context.Context, Streams) error {
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

// waitRevision returns once every node that the status lists as alive works by
// the revision or a higher one.
func waitRevision(ctx context.Context, c *connection, s Streams, want fleet.Revision) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var last operate.Status
	for {
		status, err := client.Status(ctx)
		if ctx.Err() != nil {
			return errors.Newf("revision %d is not in force everywhere in time; behind: %v", want, behind(last, want))
		}
		if err != nil {
			return explain(err)
		}
		last = status
		if len(behind(last, want)) == 0 {
			fmt.Fprintf(s.Out, "revision %d is in force on %d node(s)\n", want, max(1, len(last.Nodes)))
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
		}
	}
}

// behind lists the nodes that work by a lower revision, or that are not heard.
func behind(s operate.Status, want fleet.Revision) (names []fleet.NodeName) {
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
