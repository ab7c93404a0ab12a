package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

func suspectList(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	ask := func(ctx context.Context, c *operator.Client) ([]operate.Suspect, error) { return c.Suspects(ctx) }
	return query(sub, ask, writeSuspects)
}

func writeSuspects(w io.Writer, list []operate.Suspect) error {
	rows := []string{row("CONTENT", "POOL", "VERDICT", "CRASHES", "EXPIRES")}
	for _, k := range list {
		rows = append(rows, row(k.Content, k.Pool, k.Verdict, k.Crashes, k.Expires.UTC().Format(time.RFC3339)))
	}
	return table(w, rows...)
}

func suspectRelease(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c      connection
		digest string
	)
	c.declare(sub)
	sub.AddPositionalValue(&digest, "DIGEST", 1, true, "the content's digest, as in the event and in suspect list")
	return func(ctx context.Context, s Streams) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		err = client.Release(ctx, digest)
		var answer *operator.AnswerError
		var lost *operator.UnreachableError
		switch {
		case err == nil:
			fmt.Fprintf(s.Out, "%s runs again\n", digest)
			return nil
		case errors.As(err, &answer) && answer.Status == http.StatusGatewayTimeout, errors.As(err, &lost) && !refused(err):
			return &Error{Code: ExitUnknown, Cause: err}
		default:
			return explain(err)
		}
	}
}
