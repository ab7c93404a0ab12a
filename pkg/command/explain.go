package command

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/gateway"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 4 << 20

// around is how far from a request's lines those about dependencies are shown.
const around = 5 * time.Second

// logLine is a line of a node's log, with the fields that explain a request.
type logLine struct {
	Time      time.Time      `json:"ts"`
	Node      string         `json:"node"`
	Message   string         `json:"msg"`
	Event     event.ID       `json:"event"`
	Request   string         `json:"request"`
	Reason    gateway.Reason `json:"reason"`
	Endpoint  string         `json:"endpoint"`
	Endpoints []string       `json:"endpoints"`
	Status    int            `json:"status"`
	Outcome   string         `json:"outcome"`
	Route     string         `json:"route"`
	Account   string         `json:"account"`
	// Amount is what the request counts as in the account's quota.
	Amount float64 `json:"amount"`
	Error  string  `json:"error"`
	// Took, Age and Limit are in seconds.
	Took    float64 `json:"took"`
	Age     float64 `json:"age"`
	Limit   float64 `json:"limit"`
	After   float64 `json:"after"`
	Version int64   `json:"version"`
}

// causes say what each reason means.
var causes = map[gateway.Reason]string{
	gateway.ReasonNoConfig:            "the node had no configuration yet; it was not run",
	gateway.ReasonStaleConfig:         "the node could not confirm for too long that the key is still valid; it was not run. Look for \"store lost\" before it",
	gateway.ReasonNoRoute:             "no route of the version matched; it was not run",
	gateway.ReasonUnknownKey:          "the key is in no account of the version; it was not run",
	gateway.ReasonQuotaExceeded:       "the account had used up its quota; it was not run",
	gateway.ReasonBodyTooLarge:        "the body exceeds the limit; it was not run",
	gateway.ReasonNoEndpoint:          "no endpoint of the pool was ready, or all that were had been tried; it was not run",
	gateway.ReasonOverload:            "every engine was so far behind that it would have begun too late; it was not run",
	gateway.ReasonEndpointsFull:       "the endpoints were full and said that they did not run it",
	gateway.ReasonEndpointUnreachable: "no endpoint could be reached; it was not run",
	gateway.ReasonQuarantined:         "its content broke several endpoints; it was not run",
	gateway.ReasonTimeout:             "it ran into the route's timeout or the caller's deadline and may have run",
	gateway.ReasonEndpointFailed:      "the endpoint broke off and it may have run",
	gateway.ReasonInvalidResponse:     "the endpoint's answer was not whole or not its own; it may have run",
	gateway.ReasonCallerGone:          "the caller left",
}

// ends are the events with which a request ends.
var ends = []event.ID{event.RequestServed, event.RequestRefused, event.RequestFailed, event.RequestAborted}

// dependencies are the events about what a node depends on.
var dependencies = []event.ID{event.StoreLost, event.StoreRestored, event.NodeSilent, event.NodeResponding, event.NodeDraining, event.ConfigAdopted}

func explainFlags(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var request, files string
	sub.AddPositionalValue(&request, "REQUEST", 1, true, "the request's id")
	sub.String(&files, "f", "files", "log files of nodes, separated by commas; standard input otherwise")
	return func(_ context.Context, s Streams) error {
		var lines []logLine
		if files == "" {
			found, err := scanLog(os.Stdin)
			if err != nil {
				return err
			}
			lines = found
		} else {
			for name := range strings.SplitSeq(files, ",") {
				found, err := scanLogFile(name)
				if err != nil {
					return &Error{Code: ExitUsage, Cause: err}
				}
				lines = append(lines, found...)
			}
		}
		return tellStory(s.Out, request, lines)
	}
}

func scanLogFile(name string) (lines []logLine, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	lines, err = scanLog(file)
	return lines, errors.Wrap(err, name)
}

// scanLog reads the lines of a log. What stands before a line's object, as
// collectors of logs add it, is left out, and so are lines without one.
func scanLog(r io.Reader) (lines []logLine, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		at := bytes.IndexByte(scan.Bytes(), '{')
		if at < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(scan.Bytes()[at:], &l); err != nil || l.Event == 0 {
			// A line of another program or one that was cut says nothing of a request.
			continue
		}
		lines = append(lines, l)
	}
	return lines, scan.Err()
}

// tellStory writes a request's story in order, with its cause.
func tellStory(w io.Writer, request string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	var story []logLine
	for _, l := range lines {
		if l.Request == request {
			story = append(story, l)
		}
	}
	if len(story) == 0 {
		return errors.Newf("no line names the request %q; it may have been left out under load, or reached no node", request)
	}
	first, last := story[0].Time, story[len(story)-1].Time
	node := story[len(story)-1].Node
	for _, l := range lines {
		near := l.Time.After(first.Add(-around)) && l.Time.Before(last.Add(time.Second))
		if l.Request == request || near && l.Node == node && slices.Contains(dependencies, l.Event) {
			fmt.Fprintln(w, l.text())
		}
	}
	end := story[len(story)-1]
	for _, l := range story {
		if slices.Contains(ends, l.Event) {
			end = l
		}
	}
	fmt.Fprintf(w, "cause: %s\n", end.cause())
	return nil
}

func (l logLine) cause() string {
	switch {
	case l.Event == event.RequestServed && l.Status >= http.StatusBadRequest:
		return "the endpoint ran it and answered " + strconv.Itoa(l.Status) + " itself"
	case l.Event == event.RequestServed:
		return "none; it was served"
	}
	if cause, ok := causes[l.Reason]; ok {
		return cause
	}
	return "not known; the lines of its end were left out"
}

// text returns the line as a person reads it.
func (l logLine) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Node, l.Message)
	for _, f := range []struct {
		name  string
		value any
		set   bool
	}{
		{"reason", l.Reason, l.Reason != ""},
		{"status", l.Status, l.Status != 0},
		{"route", l.Route, l.Route != ""},
		{"account", l.Account, l.Account != ""},
		{"amount", l.Amount, l.Amount != 0},
		{"version", l.Version, l.Version != 0},
		{"age", fmt.Sprintf("%.3fs", l.Age), l.Age != 0},
		{"took", fmt.Sprintf("%.3fs", l.Took), l.Took != 0},
		{"limit", fmt.Sprintf("%.3fs", l.Limit), l.Limit != 0},
		{"after", fmt.Sprintf("%.3fs", l.After), l.After != 0},
		{"outcome", l.Outcome, l.Outcome != ""},
		{"endpoint", l.Endpoint, l.Endpoint != ""},
		{"tried", strings.Join(l.Endpoints, " "), len(l.Endpoints) > 0},
		{"error", l.Error, l.Error != ""},
	} {
		if f.set {
			fmt.Fprintf(&b, " %s=%v", f.name, f.value)
		}
	}
	return b.String()
}
