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

func setupSuspectList(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	fetch := func(ctx context.Context, c *operator.Client) ([]operate.Suspect, error) { return c.Suspects(ctx) }
	return query(sub, fetch, writeSuspects)
}

func writeSuspects(w io.Writer, list []operate.Suspect) error {
	rows := []string{row("CONTENT", "POOL", "VERDICT", "CRASHES", "EXPIRES")}
	for _, suspect := range list {
		rows = append(rows, row(suspect.Content, suspect.Pool, suspect.Verdict, suspect.Crashes, suspect.Expires.UTC().Format(time.RFC3339)))
	}
	return writeTable(w, rows...)
}

func setupSuspectRelease(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c      connection
		digest string
	)
	c.declare(sub)
	sub.AddPositionalValue(&digest, "DIGEST", 1, true, "digest of the content, as shown by the event and by suspect list")
	return func(ctx context.Context, s Streams) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		err = client.Release(ctx, digest)
		var response *operator.ResponseError
		var unreachable *operator.UnreachableError
		switch {
		case err == nil:
			fmt.Fprintf(s.Out, "%s is released\n", digest)
			return nil
		case errors.As(err, &response) && response.Status == http.StatusGatewayTimeout, errors.As(err, &unreachable) && !dialFailed(err):
			return &Error{Code: ExitUnknown, Cause: err}
		default:
			return withExitCode(err)
		}
	}
}
