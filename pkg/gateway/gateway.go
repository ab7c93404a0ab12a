// Package gateway serves the requests of callers: it finds the route and the
// account, admits or refuses, and passes the request on to an endpoint. What
// may be repeated follows from the route's kind alone.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

// Reason tells why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonNoConfig            Reason = "no configuration"
	ReasonStaleConfig         Reason = "configuration not confirmed"
	ReasonNoRoute             Reason = "no route"
	ReasonUnknownKey          Reason = "unknown key"
	ReasonQuotaExceeded       Reason = "over quota"
	ReasonBodyTooLarge        Reason = "body too large"
	ReasonNoEndpoint          Reason = "no endpoint"
	ReasonOverload            Reason = "cannot be served in time"
	ReasonEndpointsFull       Reason = "endpoints are full"
	ReasonEndpointUnreachable Reason = "endpoint unreachable"
	ReasonQuarantined         Reason = "content breaks endpoints"
	ReasonTimeout             Reason = "timeout"
	ReasonEndpointFailed      Reason = "endpoint broke off"
	ReasonInvalidResponse     Reason = "answer is not the endpoint's"
	ReasonCallerGone          Reason = "caller left"
)

const (
	// retryShort is when a caller may come back after a passing failure.
	retryShort = 100 * time.Millisecond
	// retryStale is when a caller may come back while the configuration cannot be
	// confirmed; outages of the store last for seconds.
	retryStale = time.Second
	// retrySpread is the part of a stated pause by which callers are spread.
	retrySpread = 0.5
	// maxBody bounds a body while the configuration names no limit, in bytes.
	maxBody = 4 << 20
)

// Config is the configuration in force and when it was last known to be the newest.
type Config struct {
	*serving.Config
	Confirmed clock.Instant
}

// Handler serves callers. Its functions must be set.
type Handler struct {
	// Config returns the configuration in force; its pointer is nil before the first.
	Config func() Config
	// Endpoints returns the endpoints of a pool.
	Endpoints func(fleet.PoolName) []serving.Endpoint
	// Nodes tells how many nodes share the limits.
	Nodes func() allotment.Nodes
	// Suspects judges contents; Broke notes that a content broke an endpoint.
	IsQuarantined func(content uint64) bool
	RecordFailure func(content uint64, id fleet.InstanceID)
	// Began notes that an endpoint began to work on an account's request.
	RecordStart func(fleet.AccountName)
	// Demand counts what a request costs the engines of a pool.
	RecordDemand func(fleet.PoolName, float64)
	// Finished observes each request's end, if set.
	OnFinish func(Result)

	Tracker *placement.Tracker
	Quotas  *allotment.Quotas
	Retries *allotment.RetryBudget
	Pool    *forward.Pool
	Logs    *event.Logs
	// DataCentre is where the node is.
	DataCentre fleet.DataCentreName
	// KeyAge is how old the confirmation of a key may be.
	MaxKeyAge time.Duration
	// Random returns a number from 0 up to 1.
	Random func() float64
	// Leaving tells that the node is about to stop.
	Draining func() bool
}

// Report is what became of a request.
type Result struct {
	// Kind is the kind of the route; empty if no route matched.
	Kind serving.Kind
	// Status is what the caller was answered; 0 if the answer was cut.
	Status      int
	Reason      Reason
	Duration    time.Duration
	TimeToFirst time.Duration
}

// job is one request on its way.
type job struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	request serving.Request
	config  Config
	route   *serving.Route
	account *serving.Account
	pool    serving.Pool
	body    []byte
	content uint64
	started time.Time
	// limit is how long the request may take in all.
	limit time.Duration
	// tried are the endpoints that were sent the request.
	tried []fleet.InstanceID
	// mayHaveRun tells that an endpoint may have run the request.
	mayHaveRun bool
	// granted tells that one more attempt was already taken from the budget.
	granted bool
	began   bool
	first   time.Duration
	// wait is what is left of the pause that a refusal names.
	wait   time.Duration
	reason Reason
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{h: h, w: w, r: r, request: platform.ReadRequest(r.Header), started: time.Now()}
	if h.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !j.admit() {
		return
	}
	if j.route.Kind == serving.KindStream {
		j.stream()
	} else {
		j.plain()
	}
}

// admit finds the route and account, reads the body and applies the quota. It
// answers the request itself if it does not admit it.
func (j *job) admit() bool {
	h := j.h
	j.config = h.Config()
	if j.config.Config == nil {
		return j.refuse(http.StatusServiceUnavailable, ReasonNoConfig, retryShort)
	}
	fresh := clock.Now().Sub(j.config.Confirmed) < h.MaxKeyAge
	j.route = j.config.MatchRoute(j.r.Host, j.r.URL.Path)
	if j.route == nil {
		if !fresh {
			return j.refuse(http.StatusServiceUnavailable, ReasonStaleConfig, retryStale)
		}
		return j.refuse(http.StatusNotFound, ReasonNoRoute, 0)
	}
	j.limit = j.route.Timeout
	if d := j.request.Deadline; d > 0 && (j.limit <= 0 || d < j.limit) {
		j.limit = d
	}
	if j.limit <= 0 {
		j.limit = time.Minute
	}
	if !j.authenticate(fresh) {
		return false
	}
	if !j.readBody() {
		return false
	}
	j.content = j.hashContent()
	if h.IsQuarantined(j.content) {
		return j.refuse(http.StatusServiceUnavailable, ReasonQuarantined, 0)
	}
	j.pool = j.config.Pools[j.pick()]
	h.Retries.AddRequest(j.pool.Name, clock.Now())
	return true
}

// authenticate finds the account. A key that is unknown to a configuration that
// may be old is not called wrong.
func (j *job) authenticate(fresh bool) bool {
	if !j.config.HasAccounts() || j.route.Public {
		return true
	}
	if !fresh {
		// The callers will be back: endpoints must not be given back meanwhile.
		j.pool = j.config.Pools[j.pick()]
		j.demand(j.unsharedTokens())
		return j.refuse(http.StatusServiceUnavailable, ReasonStaleConfig, retryStale)
	}
	j.account = j.config.Account(j.request.Key)
	if j.request.Key == "" || j.account == nil {
		return j.refuse(http.StatusUnauthorized, ReasonUnknownKey, 0)
	}
	return true
}

func (j *job) readBody() bool {
	most := j.config.Limits.MaxBodyBytes
	if most <= 0 {
		most = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, most))
	if err != nil {
		status, reason := http.StatusBadRequest, ReasonCallerGone
		if int64(len(body)) >= most {
			status, reason = http.StatusRequestEntityTooLarge, ReasonBodyTooLarge
		}
		return j.refuse(status, reason, 0)
	}
	j.body = body
	return true
}

// hashContent names a request's content: its path, caller and body.
func (j *job) hashContent() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(j.r.Method), []byte(j.r.RequestURI), []byte(j.request.Key), j.body} {
		// Writes to the hash never fail.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// pick draws a pool of the route by weight.
func (j *job) pick() fleet.PoolName {
	total := 0
	for _, t := range j.route.Targets {
		total += max(0, t.Weight)
	}
	n := int(j.h.Random() * float64(total))
	for _, t := range j.route.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Pool
		}
	}
	if len(j.route.Targets) == 0 {
		return ""
	}
	return j.route.Targets[0].Pool
}

// demand counts what the request costs an engine that has to read some of its prompt.
func (j *job) demand(unread fleet.Tokens) {
	if j.pool.Engine != nil {
		j.h.RecordDemand(j.pool.Name, provision.EngineMilliseconds(unread, j.request.MaxOutputTokens))
	}
}

func (j *job) unsharedTokens() fleet.Tokens {
	return max(0, j.request.PromptTokens-placement.SharedTokens(j.request.PrefixBlocks))
}

// spend takes the request's amount from the account's quota.
func (j *job) spend() bool {
	if j.account == nil {
		return true
	}
	amount := j.request.QuotaCost(j.account.Quota)
	ok, wait := j.h.Quotas.Take(j.account, amount, j.h.Nodes(), clock.Now())
	if !ok {
		return j.refuse(http.StatusTooManyRequests, ReasonQuotaExceeded, wait)
	}
	return true
}

// unspend returns the amount of a request that did not run.
func (j *job) unspend() {
	if j.account != nil && j.account.Quota.Rate > 0 {
		j.h.Quotas.Refund(j.account.Name, j.request.QuotaCost(j.account.Quota))
	}
}

// left returns what is left of the time that the request may take.
func (j *job) left() time.Duration { return j.limit - time.Since(j.started) }

func (j *job) urgency() int {
	if j.account != nil && j.account.Priority != nil {
		return *j.account.Priority
	}
	return j.route.Priority
}

// refuse answers that the request did not run. It returns false.
func (j *job) refuse(status int, reason Reason, after time.Duration) bool {
	if after > 0 {
		after += time.Duration(j.h.Random() * retrySpread * float64(after))
		j.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	j.reason = reason
	j.answer(status)
	j.h.Logs.Emit(event.RequestRefused, j.fields(zap.Int("status", status), zap.Duration("after", after))...)
	return false
}

// fail answers that the request got no answer and may have run.
func (j *job) fail(status int, reason Reason) {
	j.reason = reason
	j.answer(status)
	j.h.Logs.Emit(event.RequestFailed, j.fields(zap.Int("status", status))...)
}

func (j *job) answer(status int) {
	platform.MarkOwnAnswer(j.w.Header(), j.request.ID)
	j.w.Header().Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.finish(status)
}

func (j *job) finish(status int) {
	if j.h.OnFinish == nil {
		return
	}
	report := Result{Status: status, Reason: j.reason, Duration: time.Since(j.started), TimeToFirst: j.first}
	if j.route != nil {
		report.Kind = j.route.Kind
	}
	j.h.OnFinish(report)
}

// fields are what each line about the request says.
func (j *job) fields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(j.request.ID)),
		zap.String("reason", string(j.reason)),
		zap.Duration("took", time.Since(j.started)),
	}
	if j.config.Config != nil {
		fields = append(fields, zap.Int64("version", j.config.Version), zap.Duration("age", clock.Now().Sub(j.config.Confirmed)))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", string(j.route.Name)), zap.Duration("limit", j.limit))
	}
	if j.account != nil {
		fields = append(fields, zap.String("account", string(j.account.Name)), zap.Float64("amount", j.request.QuotaCost(j.account.Quota)))
	}
	if len(j.tried) > 0 {
		tried := make([]string, len(j.tried))
		for i, id := range j.tried {
			tried[i] = string(id)
		}
		fields = append(fields, zap.Strings("endpoints", tried))
	}
	return append(fields, more...)
}

// begin notes, once, that an endpoint began to work on the request.
func (j *job) begin() {
	if j.began {
		return
	}
	j.began = true
	j.first = time.Since(j.started)
	if j.account != nil {
		j.h.RecordStart(j.account.Name)
	}
}

// gone tells that the caller has left.
func (j *job) gone() bool { return j.r.Context().Err() != nil }

// context returns the context of one exchange.
func (j *job) context(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(j.r.Context(), limit)
}
