package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/ledger"
	"github.com/skylarkloom/skylarkloom/pkg/load"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// KeyVariable is the environment variable that holds the bearer key for load.
const KeyVariable = "SKYLARKCTL_KEY"

// loadFlags are the flags of the command load.
type loadFlags struct {
	connection
	plan            load.Plan
	targets         load.Targets
	callers         string
	keyFile         string
	model           string
	service, path   string
	anywhere, json  bool
	plot            string
	requestDeadline time.Duration
}

func setupLoad(sub *flaggy.Subcommand) func(context.Context, Streams) error {
	f := &loadFlags{
		plan:            load.Plan{Seed: 1, Rate: 10, Duration: 10 * time.Second, MaxInFlight: 1000},
		targets:         load.Targets{FirstToken: fleet.DefaultFirstToken, Total: time.Second},
		path:            "/reservations",
		requestDeadline: fleet.DefaultDeadline,
	}
	f.declare(sub)
	sub.String(&f.callers, "c", "callers", "base URL of the callers' API")
	sub.String(&f.keyFile, "k", "key-file", "file that holds the bearer key; default: the variable "+KeyVariable)
	sub.String(&f.model, "m", "model", "pool that serves chat requests")
	sub.String(&f.service, "", "service", "pool that serves orders")
	sub.String(&f.path, "", "path", "path of the service that serves orders (default /reservations)")
	sub.UInt64(&f.plan.Seed, "s", "seed", "seed of the arrival times (default 1)")
	sub.Float64(&f.plan.Rate, "r", "rate", "mean requests a second (default 10)")
	sub.Duration(&f.plan.Duration, "d", "duration", "how long new requests are started (default 10s)")
	sub.Float64(&f.plan.OrderShare, "o", "orders", "share of orders among the requests (default 0)")
	sub.Int(&f.plan.MaxInFlight, "", "in-flight", "max requests in flight (default 1000)")
	sub.Duration(&f.targets.FirstToken, "", "first-token", "a chat is on time if its first token arrives within this time (default 460ms)")
	sub.Duration(&f.targets.Total, "", "total", "an order is on time if it ends within this time (default 1s)")
	sub.Duration(&f.requestDeadline, "", "deadline", "timeout of a request (default 1m)")
	sub.Bool(&f.anywhere, "", "anywhere", "allow an address that is not loopback")
	sub.Bool(&f.json, "j", "json", "write JSON")
	sub.String(&f.plot, "", "plot", "write a plot of the latencies to this SVG file")
	return f.run
}

// caller checks the flags and returns the client that sends the requests.
func (f *loadFlags) caller() (*load.Caller, error) {
	if err := f.plan.Check(); err != nil {
		return nil, &Error{Code: ExitUsage, Cause: err}
	}
	switch {
	case f.callers == "":
		return nil, usagef("no callers' address is named; give --callers http://IP:PORT")
	case !f.anywhere && !load.IsLoopback(f.callers):
		return nil, usagef("%s is not a loopback address; give --anywhere to allow it", f.callers)
	case f.plan.OrderShare < 1 && f.model == "":
		return nil, usagef("chat requires --model POOL")
	case f.plan.OrderShare > 0 && f.service == "":
		return nil, usagef("orders require --service POOL")
	case f.plot != "" && !strings.HasSuffix(f.plot, ".svg"):
		return nil, usagef("--plot requires a file name that ends in .svg")
	}
	secret := settings.Secret{File: f.keyFile}
	if f.keyFile == "" {
		secret = settings.Secret{Variable: KeyVariable}
	}
	key, err := secret.Read()
	if err != nil {
		return nil, &Error{Code: ExitUsage, Cause: err}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: f.plan.MaxInFlight, IdleConnTimeout: time.Minute}
	return &load.Caller{
		BaseURL:   f.callers,
		APIKey:    key,
		Model:     fleet.PoolName(f.model),
		Service:   fleet.PoolName(f.service),
		OrderPath: f.path,
		Client:    &http.Client{Transport: transport, Timeout: f.requestDeadline},
	}, nil
}

func (f *loadFlags) run(ctx context.Context, s Streams) error {
	caller, err := f.caller()
	if err != nil {
		return err
	}
	defer caller.Client.CloseIdleConnections()
	billBefore, hasBill := f.bill(ctx)
	r := &load.Runner{Plan: f.plan, Send: caller.Send, Targets: f.targets, Progress: func(started, ended, planned int) {
		fmt.Fprintf(s.Err, "%d of %d requests started, %d ended\n", started, planned, ended)
	}}
	result := r.Run(ctx, ulid.Make().String())
	summary := result.Summary()
	if hasBill {
		f.addBill(ctx, &summary, billBefore)
	}
	if f.plot != "" {
		if err := result.Plot(f.plot); err != nil {
			return err
		}
	}
	if f.json {
		return writeJSON(s.Out, summary)
	}
	return writeSummary(s.Out, summary)
}

// bill reads the bill if an operators' address is given.
func (f *loadFlags) bill(ctx context.Context) (b operate.Bill, ok bool) {
	if len(f.addresses) == 0 && os.Getenv(AddressVariable) == "" {
		return b, false
	}
	client, err := f.client()
	if err != nil {
		return b, false
	}
	b, err = client.Bill(ctx)
	return b, err == nil
}

// billDelay is how long to wait until charges are in the bill. A charge waits for
// the next batch, and the batch for its append to the log.
const billDelay = ledger.DefaultFlushInterval + 2*time.Second

// addBill adds the increase of the bill during the load to the summary.
func (f *loadFlags) addBill(ctx context.Context, s *load.Summary, billBefore operate.Bill) {
	select {
	case <-time.After(billDelay):
	case <-ctx.Done():
	}
	billAfter, ok := f.bill(ctx)
	if !ok {
		return
	}
	totalBefore, totalAfter := totalLines(billBefore), totalLines(billAfter)
	recomputed, charged := totalAfter.Recomputed-totalBefore.Recomputed, totalAfter.Charged-totalBefore.Charged
	var cost fleet.MicroCents
	for _, c := range billAfter.Costs {
		cost += fleet.MicroCents(float64(c.HourlyPrice) * s.Took.Hours())
	}
	s.Recomputed, s.Charged, s.Cost = &recomputed, &charged, &cost
}

func totalLines(b operate.Bill) (total operate.Line) {
	for _, l := range b.Lines {
		total.Recomputed += l.Recomputed
		total.Charged += l.Charged
	}
	return total
}

func writeSummary(w io.Writer, s load.Summary) error {
	fmt.Fprintf(w, "%d requests in %s (seed %d, %g a second), %.2f%% on time, %d tokens generated\n",
		s.Requests, s.Took.Round(time.Millisecond), s.Seed, s.Rate, 100*s.OnTimeFraction, s.Generated)
	if s.Recomputed != nil {
		fmt.Fprintf(w, "%d tokens recomputed, charged %s, instances cost %s during the load (other traffic included)\n", *s.Recomputed, money(*s.Charged), money(*s.Cost))
	}
	rows := []string{row("KIND", "DONE", "NOT RUN", "FAILED", "UNKNOWN")}
	for _, k := range []load.Kind{load.KindChat, load.KindOrder} {
		o := s.Outcomes[k]
		rows = append(rows, row(k, o[fleet.OutcomeDone], o[fleet.OutcomeNotRun], o[fleet.OutcomeFailed], o[fleet.OutcomeUnknown]))
	}
	rows = append(rows, row(), row("LATENCY", "COUNT", "P50", "P95", "P99", "MAX"))
	for _, l := range s.Latencies {
		rows = append(rows, row(l.Name, l.Count, l.P50, l.P95, l.P99, l.Max))
	}
	return writeTable(w, rows...)
}
