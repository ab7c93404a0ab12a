package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

// outcomeTimeout bounds how long the outcome of a change is polled for if the
// response to its publication was lost.
const outcomeTimeout = 15 * time.Second

// noBase is the value of the flag base if no revision is given.
const noBase = -1

func setupConfigPublish(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c       connection
		file    string
		message string
		author  = os.Getenv("USER")
		base    = int64(noBase)
		asJSON  bool
	)
	c.declare(sub)
	sub.String(&message, "m", "message", "the purpose of the change")
	sub.String(&author, "u", "author", "the author of the change; default: the variable USER")
	sub.Int64(&base, "b", "base", "the revision that the file is based on; default: the one in force")
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.AddPositionalValue(&file, "FILE", 1, true, "the configuration file")
	return func(ctx context.Context, s Streams) error {
		if message == "" || author == "" {
			return usagef("a change requires --message and --author")
		}
		data, err := readDocument(file)
		if err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		change := operate.Publish{ID: record.NewID(time.Now()), Base: fleet.Revision(max(base, 0)), Document: string(data), Author: author, Message: message}
		if base < 0 {
			if change.Base, err = revisionInForce(ctx, client); err != nil {
				return err
			}
		}
		published, err := publishChange(ctx, client, change)
		if err != nil {
			return err
		}
		if asJSON {
			return writeJSON(s.Out, published)
		}
		fmt.Fprintf(s.Out, "revision %d is in force (change %s)\n", published.Revision, published.ID)
		return nil
	}
}

// revisionInForce returns the revision in force, or 0 if there is none yet.
func revisionInForce(ctx context.Context, client *operator.Client) (fleet.Revision, error) {
	c, err := client.Config(ctx)
	var response *operator.ResponseError
	if errors.As(err, &response) && response.Status == http.StatusNotFound {
		return 0, nil
	}
	return c.Revision, withExitCode(err)
}

// publishChange publishes a change. If the response is lost, it polls the outcome
// of the change by its ID.
func publishChange(ctx context.Context, client *operator.Client, change operate.Publish) (operate.Published, error) {
	published, err := client.Publish(ctx, change)
	var response *operator.ResponseError
	switch {
	case err == nil:
		return published, nil
	case errors.As(err, &response) && response.Status == http.StatusConflict:
		return published, conflictError(change, response.Failure.Current.Revision, string(response.Failure.Current.Document))
	case errors.As(err, &response) && response.Status != http.StatusGatewayTimeout:
		return published, withExitCode(err)
	case dialFailed(err):
		return published, withExitCode(err)
	}
	return pollOutcome(ctx, client, change, err)
}

// dialFailed reports whether a request failed before anything was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// pollOutcome polls the outcome of a change by its ID until the log decides it.
func pollOutcome(ctx context.Context, client *operator.Client, change operate.Publish, publishErr error) (published operate.Published, err error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		outcome, err := client.Outcome(ctx, change.ID)
		switch {
		case err == nil && outcome.State == operate.ChangeInForce:
			return operate.Published{ID: change.ID.String(), Revision: outcome.Revision}, nil
		case err == nil && outcome.State == operate.ChangeConflict:
			return published, conflictError(change, outcome.Current.Revision, string(outcome.Current.Document))
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return published, &Error{Code: ExitUnknown, Cause: errors.Wrapf(publishErr, "outcome of change %s is unknown; check config history before publishing again", change.ID)}
		}
	}
}

func conflictError(change operate.Publish, revision fleet.Revision, document string) error {
	return &Error{Code: ExitConflict, Cause: errors.Newf(
		"the change is based on revision %d, but revision %d is in force; differences between that and the file:\n%s",
		change.Base, revision, lineDiff(document, change.Document))}
}
