package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

// query sets up a command that sends a request to the first node and writes the
// response as text or, with --json, as JSON.
func query[T any](
	sub *flaggy.Subcommand,
	fetch func(ctx context.Context, client *operator.Client) (T, error),
	write func(w io.Writer, response T) error,
) func(context.Context, Streams) error {
	var (
		c      connection
		asJSON bool
	)
	c.declare(sub)
	sub.Bool(&asJSON, "j", "json", "write JSON")
	return func(ctx context.Context, s Streams) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		response, err := fetch(ctx, client)
		if err != nil {
			return withExitCode(err)
		}
		if asJSON {
			return writeJSON(s.Out, response)
		}
		return write(s.Out, response)
	}
}
