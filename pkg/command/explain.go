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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 4 << 20

// dependencyWindow is how long before the first line of a request the events of
// dependencies are shown.
const dependencyWindow = 5 * time.Second

// logLine holds the fields of a node's log line that explain a request.
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
	// Amount is the cost of the request in the quota of the account.
	Amount float64 `json:"amount"`
	Error  string  `json:"error"`
	// Took, Age, Limit and After are in seconds. Age is the time since the configuration
	// was last confirmed, After the delay after which the caller may retry.
	Took    float64 `json:"took"`
	Age     float64 `json:"age"`
	Limit   float64 `json:"limit"`
	After   float64 `json:"after"`
	Version int64   `json:"version"`
}

// causeTexts explains to an operator each reason why a request was not served.
var causeTexts = map[gateway.Reason]string{
	gateway.ReasonNoConfig:            "the node had no configuration yet; the request was not run",
	gateway.ReasonStaleConfig:         "the node had been unable for too long to confirm that the key is still valid; the request was not run. Look for an earlier \"store lost\" event",
	gateway.ReasonNoRoute:             "no route of the configuration version matched; the request was not run",
	gateway.ReasonUnknownKey:          "no account of the configuration version has the key; the request was not run",
	gateway.ReasonQuotaExceeded:       "the quota of the account was used up; the request was not run",
	gateway.ReasonBodyTooLarge:        "the body exceeds the limit; the request was not run",
	gateway.ReasonNoEndpoint:          "no endpoint of the pool was ready, or all ready ones had been tried; the request was not run",
	gateway.ReasonOverload:            "the backlog of every engine was too long to start the request in time; the request was not run",
	gateway.ReasonEndpointsFull:       "the endpoints were full and reported that they did not run the request",
	gateway.ReasonEndpointUnreachable: "no endpoint could be reached; the request was not run",
	gateway.ReasonQuarantined:         "the content of the request crashed several endpoints; the request was not run",
	gateway.ReasonTimeout:             "the timeout of the route or the deadline of the caller expired; the request may have run",
	gateway.ReasonEndpointFailed:      "the endpoint failed before the response was complete; the request may have run",
	gateway.ReasonInvalidResponse:     "the response of the endpoint was incomplete or not that of the request; the request may have run",
	gateway.ReasonCallerGone:          "the caller disconnected",
}

// endEvents are the events that end a request.
var endEvents = []event.ID{event.RequestServed, event.RequestRefused, event.RequestFailed, event.RequestAborted}

// dependencyEvents are the events about what a node depends on: the store, the other
// nodes and the configuration. They include the node's own drain.
var dependencyEvents = []event.ID{event.StoreLost, event.StoreRestored, event.NodeSilent, event.NodeResponding, event.NodeDraining, event.ConfigAdopted}

func setupExplain(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	var request, files string
	sub.AddPositionalValue(&request, "REQUEST", 1, true, "the ID of the request")
	sub.String(&files, "f", "files", "log files of nodes, separated by commas; default: standard input")
	return func(_ context.Context, s Streams) error {
		var lines []logLine
		if files == "" {
			found, err := parseLog(os.Stdin)
			if err != nil {
				return err
			}
			lines = found
		} else {
			for name := range strings.SplitSeq(files, ",") {
				found, err := parseLogFile(name)
				if err != nil {
					return &Error{Code: ExitUsage, Cause: err}
				}
				lines = append(lines, found...)
			}
		}
		return writeExplanation(s.Out, request, lines)
	}
}

func parseLogFile(name string) (lines []logLine, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	lines, err = parseLog(file)
	return lines, errors.Wrap(err, name)
}

// parseLog parses the lines of a log. It skips text before the JSON object of a
// line, such as the prefix of a log collector, and lines without an object.
func parseLog(r io.Reader) (lines []logLine, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		start := bytes.IndexByte(scan.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal(scan.Bytes()[start:], &l); err != nil || l.Event == 0 {
			// Lines of other programs and truncated lines hold no event.
			continue
		}
		lines = append(lines, l)
	}
	return lines, scan.Err()
}

// writeExplanation writes the lines of a request and of the dependencies around it
// in order of time, and the cause of the outcome.
func writeExplanation(w io.Writer, request string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	var requestLines []logLine
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return errors.Newf("no log line names the request %q; its lines may have been dropped under load, or it reached no node", request)
	}
	first, last := requestLines[0].Time, requestLines[len(requestLines)-1].Time
	node := requestLines[len(requestLines)-1].Node
	for _, l := range lines {
		inWindow := l.Time.After(first.Add(-dependencyWindow)) && l.Time.Before(last.Add(time.Second))
		if l.Request == request || inWindow && l.Node == node && slices.Contains(dependencyEvents, l.Event) {
			fmt.Fprintln(w, l.text())
		}
	}
	endLine := requestLines[len(requestLines)-1]
	for _, l := range requestLines {
		if slices.Contains(endEvents, l.Event) {
			endLine = l
		}
	}
	fmt.Fprintf(w, "cause: %s\n", endLine.cause())
	return nil
}

func (l logLine) cause() string {
	switch {
	case l.Event == event.RequestServed && l.Status >= http.StatusBadRequest:
		return "the endpoint ran the request and responded with " + strconv.Itoa(l.Status) + ", which was passed on"
	case l.Event == event.RequestServed:
		return "none; the request was served"
	}
	if cause, ok := causeTexts[l.Reason]; ok {
		return cause
	}
	return "unknown; the lines of the end of the request are missing"
}

// text formats the line for the output of explain.
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
