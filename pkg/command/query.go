package command

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

// query declares the flags of a command that asks the first node and writes its
// answer, as text or, with --json, as it came.
func query[T any](
	sub *flaggy.Subcommand,
	ask func(ctx context.Context, client *operator.Client) (T, error),
	write func(w io.Writer, answer T) error,
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
		answer, err := ask(ctx, client)
		if err != nil {
			return explain(err)
		}
		if asJSON {
			return writeJSON(s.Out, answer)
		}
		return write(s.Out, answer)
	}
}
