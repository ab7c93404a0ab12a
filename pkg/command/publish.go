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

// resolveTimeout bounds how long a publish with a lost answer is looked for.
const resolveTimeout = 15 * time.Second

// noBase says that no base revision is given.
const noBase = -1

func configPublish(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var (
		c       connection
		file    string
		message string
		author  = os.Getenv("USER")
		base    = int64(noBase)
		asJSON  bool
	)
	c.declare(sub)
	sub.String(&message, "m", "message", "what the change is for")
	sub.String(&author, "u", "author", "who makes the change; default: the variable USER")
	sub.Int64(&base, "b", "base", "the revision that the file builds on; default: the one in force")
	sub.Bool(&asJSON, "j", "json", "write JSON")
	sub.AddPositionalValue(&file, "FILE", 1, true, "the configuration file")
	return func(ctx context.Context, s Streams) error {
		if message == "" || author == "" {
			return usagef("a change needs --message and --author")
		}
		data, err := readDocument(file)
		if err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		p := operate.Publish{ID: record.NewID(time.Now()), Base: fleet.Revision(max(base, 0)), Document: string(data), Author: author, Message: message}
		if base < 0 {
			if p.Base, err = revisionInForce(ctx, client); err != nil {
				return err
			}
		}
		done, err := publish(ctx, client, p)
		if err != nil {
			return err
		}
		if asJSON {
			return writeJSON(s.Out, done)
		}
		fmt.Fprintf(s.Out, "revision %d is in force (change %s)\n", done.Revision, done.ID)
		return nil
	}
}

// revisionInForce returns the revision in force; 0 if there is none yet.
func revisionInForce(ctx context.Context, client *operator.Client) (fleet.Revision, error) {
	c, err := client.Config(ctx)
	var answer *operator.AnswerError
	if errors.As(err, &answer) && answer.Status == http.StatusNotFound {
		return 0, nil
	}
	return c.Revision, explain(err)
}

// publish publishes a change; if the answer is lost it finds out by the
// change's ID what became of it.
func publish(ctx context.Context, client *operator.Client, p operate.Publish) (operate.Published, error) {
	done, err := client.Publish(ctx, p)
	var answer *operator.AnswerError
	switch {
	case err == nil:
		return done, nil
	case errors.As(err, &answer) && answer.Status == http.StatusConflict:
		return done, conflict(p, answer.Failure.Current.Revision, string(answer.Failure.Current.Document))
	case errors.As(err, &answer) && answer.Status != http.StatusGatewayTimeout:
		return done, explain(err)
	case refused(err):
		return done, explain(err)
	}
	return resolve(ctx, client, p, err)
}

// refused reports whether a call failed before anything was sent.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// resolve asks for a change by its ID until the log shows what became of it.
func resolve(ctx context.Context, client *operator.Client, p operate.Publish, lost error) (done operate.Published, err error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		o, err := client.Outcome(ctx, p.ID)
		switch {
		case err == nil && o.State == operate.ChangeInForce:
			return operate.Published{ID: p.ID.String(), Revision: o.Revision}, nil
		case err == nil && o.State == operate.ChangeConflict:
			return done, conflict(p, o.Current.Revision, string(o.Current.Document))
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return done, &Error{Code: ExitUnknown, Cause: errors.Wrapf(lost, "whether change %s comes into force is not known; see config history before publishing again", p.ID)}
		}
	}
}

func conflict(p operate.Publish, revision fleet.Revision, document string) error {
	return &Error{Code: ExitConflict, Cause: errors.Newf(
		"the change builds on revision %d, but revision %d is in force; from that to the file:\n%s",
		p.Base, revision, difference(document, p.Document))}
}
