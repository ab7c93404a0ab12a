// Package gateway serves the requests of callers: it finds the route and the
// account, admits or refuses the request, and proxies it to an endpoint. Whether
// a request may be repeated depends only on its route.
package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/allotment"
	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/provision"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/returning"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/pkg/waiting"
	"github.com/skylarkloom/skylarkloom/platform"
)

// Reason is why a request was refused or failed.
type Reason string

// Reasons for refusal or failure. Their values are logged and are labels of metrics.
const (
	ReasonNoConfig            Reason = "no configuration"
	ReasonStaleConfig         Reason = "configuration not confirmed"
	ReasonNoRoute             Reason = "no route"
	ReasonUnknownKey          Reason = "unknown key"
	ReasonQuotaExceeded       Reason = "over quota"
	ReasonBodyTooLarge        Reason = "body too large"
	ReasonNoRoomForBody       Reason = "no room for the body"
	ReasonBodyTooSlow         Reason = "body too slow"
	ReasonNoEndpoint          Reason = "no endpoint"
	ReasonOverload            Reason = "cannot be served in time"
	ReasonNoRoom              Reason = "waited without room"
	ReasonEndpointsFull       Reason = "endpoints are full"
	ReasonEndpointsPaused     Reason = "endpoints ask for a pause"
	ReasonEndpointUnreachable Reason = "endpoint unreachable"
	ReasonQuarantined         Reason = "content breaks endpoints"
	ReasonTimeout             Reason = "timeout"
	ReasonEndpointFailed      Reason = "endpoint broke off"
	ReasonInvalidResponse     Reason = "answer is not the endpoint's"
	ReasonCallerGone          Reason = "caller left"
	ReasonStopping            Reason = "node stops"
)

// LeaveStage is how far a request had come when its caller left.
type LeaveStage string

// The stages of a request at which its caller may leave. Their values are logged and
// are labels of metrics.
const (
	// LeaveUnsent means before the request was sent to an endpoint.
	LeaveUnsent LeaveStage = "unsent"
	// LeaveSent means after the request was sent to an endpoint.
	LeaveSent LeaveStage = "sent"
)

const (
	// retryAfterTransient is the Retry-After time for a transient failure.
	retryAfterTransient = 100 * time.Millisecond
	// retryAfterStaleConfig is the Retry-After time while the configuration cannot
	// be confirmed. Outages of the store last for seconds.
	retryAfterStaleConfig = time.Second
	// retryJitter is the share of a Retry-After time that is added at most as
	// jitter, so that callers do not retry together.
	retryJitter = 0.5
)

// Config is the configuration in force and the time at which it was last
// confirmed to be the newest.
type Config struct {
	*serving.Config
	Confirmed clock.Instant
}

// Handler serves the requests of callers. All functions whose names start with On are
// optional, the others must be set.
type Handler struct {
	// Config returns the configuration in force. Its embedded pointer is nil until
	// the first configuration is known.
	Config func() Config
	// Endpoints returns the endpoints of a pool.
	Endpoints func(fleet.PoolName) []serving.Endpoint
	// Accepts reports whether requests may be sent to an endpoint now.
	Accepts func(serving.Endpoint) bool
	// MarkLeaving records that the incarnations of an endpoint that were born up to a time,
	// in Unix milliseconds, leave. It reports whether this was not known.
	MarkLeaving func(id fleet.InstanceID, born int64) bool
	// UnixTime returns the time of day at an instant, in Unix milliseconds.
	UnixTime func(clock.Instant) int64
	// Nodes returns how many nodes share the limits.
	Nodes func() allotment.Nodes
	// IsQuarantined reports whether requests with any of the subjects must not be sent to
	// endpoints.
	IsQuarantined func([]quarantine.Subject) bool
	// RecordBroken records that an endpoint broke off a request.
	RecordBroken func(serving.Endpoint, quarantine.Run)
	// RecordServed records that an endpoint ran a request, which it began to answer at the
	// given instant, to its end; RecordStarted that it has answered it for some time.
	RecordServed, RecordStarted func(subjects []quarantine.Subject, begunAt clock.Instant)
	// RecordStart records that an endpoint started work on a request of an account.
	RecordStart func(fleet.AccountName)
	// RecordDemand adds the engine milliseconds of a request to the demand of a pool.
	RecordDemand func(fleet.PoolName, float64)
	// OnFinish is called at the end of each request, if set.
	OnFinish func(Result)
	// OnCallerLeft is called at the end of each request whose caller left, if set.
	OnCallerLeft func(LeaveStage)
	// OnAnnouncement is called when an endpoint of a pool announces something new of itself
	// in a response, if set.
	OnAnnouncement func(fleet.PoolName, Announcement)
	// OnUnread is called for each request to an endpoint of a pool that was given up before
	// the head of its response was read, if set.
	OnUnread func(fleet.PoolName, UnreadCause)

	// OnWait is called at the end of each wait for room at the engines of a pool, if set.
	OnWait func(fleet.PoolName, Wait)
	// OnReturn is called for each caller that is told to come back for a pool, and for each
	// that does, if set.
	OnReturn func(fleet.PoolName, Return)

	Tracker *placement.Tracker
	// Waiting holds the requests that wait for room.
	Waiting *waiting.Queues
	// Returns is the schedule of the callers that are told to come back, and Visitors
	// recognises those that do.
	Returns  *returning.Schedule
	Visitors *returning.Visitors
	// Versions decides which versions of endpoints get requests; nil stands for all.
	Versions *canary.Tracker
	// Engines holds the measured speeds of the engines.
	Engines *provision.EngineModel
	Quotas  *allotment.QuotaLimiter
	Retries *allotment.RetryBudget
	Pool    *forward.Pool
	Logs    *event.Logs
	// DataCentre is the data centre of the node.
	DataCentre fleet.DataCentreName
	// MaxKeyAge is the maximum age of the configuration's confirmation at which its
	// account keys are still accepted.
	MaxKeyAge time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// Shutdown is the state of the node's planned stop.
	Shutdown *Shutdown
}

// Result describes how a request ended.
type Result struct {
	// Kind is the kind of the route; empty if no route matched.
	Kind serving.RouteKind
	// Status is the HTTP status that the caller received; 0 if the response was
	// aborted or the caller disconnected.
	Status   int
	Reason   Reason
	Duration time.Duration
	// TimeToFirst is the time to the first event or the complete response; 0 if none came.
	TimeToFirst time.Duration
}

// proxyRequest is a caller's request in progress.
type proxyRequest struct {
	handler     *Handler
	writer      http.ResponseWriter
	httpRequest *http.Request
	request     serving.Request
	config      Config
	route       *serving.Route
	account     *serving.Account
	pool        serving.Pool
	body        []byte
	// subjects identify what other requests may have in common with this one.
	subjects []quarantine.Subject
	started  time.Time
	// sent reports whether the request was sent to an endpoint.
	sent atomic.Bool
	// timeout is the maximum duration of the request with all attempts.
	timeout time.Duration
	// admitted is the choice with which the request was admitted, until it is sent there.
	admitted placement.Choice
	// tried lists the endpoints to which the request was sent.
	tried []fleet.InstanceID
	// mayHaveRun reports whether an endpoint may have run the request.
	mayHaveRun bool
	// attemptTaken reports whether the next attempt was already charged to the
	// retry budget.
	attemptTaken  bool
	startRecorded bool
	timeToFirst   time.Duration
	// retryAfter is by how much the predicted time to the first event exceeds the
	// limit, or how long all endpoints want a pause. A refusal sends it as Retry-After
	// time.
	retryAfter time.Duration
	// poolSize is the number of endpoints in the pool.
	poolSize int
	// spentBefore is how long a caller that came back has waited since its first attempt.
	spentBefore time.Duration
	// paused reports whether the last choice found only endpoints that want a pause.
	paused bool
	reason Reason
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := &proxyRequest{handler: h, writer: w, httpRequest: r, request: platform.ReadRequest(r.Header), started: time.Now()}
	// On a busy node many callers have left before their requests are read. Answering
	// them would delay the others.
	if p.callerGone() {
		p.abandon()
		p.abort()
	}
	if h.Shutdown.Refusing() {
		p.refuseStopping()
		return
	}
	if !p.admit() {
		return
	}
	if p.route.Kind == serving.KindStream {
		p.serveStream()
	} else {
		p.serveBuffered()
	}
}

// admit finds the route, account and pool, reads the body and checks the
// quarantine. It responds to a request that it does not admit.
func (p *proxyRequest) admit() bool {
	h := p.handler
	p.config = h.Config()
	if p.config.Config == nil {
		return p.refuse(http.StatusServiceUnavailable, ReasonNoConfig, retryAfterTransient)
	}
	fresh := clock.Now().Sub(p.config.Confirmed) < h.MaxKeyAge
	p.route = p.config.MatchRoute(p.httpRequest.Host, p.httpRequest.URL.Path)
	if p.route == nil {
		if !fresh {
			return p.refuse(http.StatusServiceUnavailable, ReasonStaleConfig, retryAfterStaleConfig)
		}
		return p.refuse(http.StatusNotFound, ReasonNoRoute, 0)
	}
	p.timeout = p.route.Timeout
	if d := p.request.Deadline; d > 0 && (p.timeout <= 0 || d < p.timeout) {
		p.timeout = d
	}
	if p.timeout <= 0 {
		p.timeout = time.Minute
	}
	if !p.authenticate(fresh) {
		return false
	}
	if !p.readBody() {
		return false
	}
	p.subjects = quarantine.Subjects(p.hashContent(), p.request.PrefixBlocks)
	if h.IsQuarantined(p.subjects) {
		return p.refuse(http.StatusServiceUnavailable, ReasonQuarantined, 0)
	}
	p.pool = p.config.Pools[p.pickPool()]
	h.Retries.AddRequest(p.pool.Name, clock.Now())
	return true
}

// authenticate finds the account of the request's key. While the configuration is
// stale, it responds with 503 instead of 401, since a key that is missing from
// it may be valid.
func (p *proxyRequest) authenticate(fresh bool) bool {
	if !p.config.HasAccounts() || p.route.Public {
		return true
	}
	if !fresh {
		// Callers will retry, so their demand counts and keeps the pool from being
		// scaled down in the meantime.
		p.pool = p.config.Pools[p.pickPool()]
		p.recordDemand(p.unsharedTokens())
		return p.refuse(http.StatusServiceUnavailable, ReasonStaleConfig, retryAfterStaleConfig)
	}
	p.account = p.config.Account(p.request.Key)
	if p.request.Key == "" || p.account == nil {
		return p.refuse(http.StatusUnauthorized, ReasonUnknownKey, 0)
	}
	return true
}

// hashContent returns the hash that identifies the request's content, which is its
// method, URI, key and body.
func (p *proxyRequest) hashContent() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(p.httpRequest.Method), []byte(p.httpRequest.RequestURI), []byte(p.request.Key), p.body} {
		// Writes to the hash never fail.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// pickPool draws one of the route's pools at random by weight.
func (p *proxyRequest) pickPool() fleet.PoolName {
	total := 0
	for _, t := range p.route.Targets {
		total += max(0, t.Weight)
	}
	n := int(p.handler.Random() * float64(total))
	for _, t := range p.route.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Pool
		}
	}
	if len(p.route.Targets) == 0 {
		return ""
	}
	return p.route.Targets[0].Pool
}

// recordDemand adds the request to the demand of the pool. uncached is the number
// of prompt tokens that the engine has to process.
func (p *proxyRequest) recordDemand(uncached fleet.Tokens) {
	if p.pool.Engine != nil {
		p.handler.RecordDemand(p.pool.Name, p.handler.Engines.Speeds(p.pool.Name).EngineTime(uncached, p.request.MaxOutputTokens))
	}
}

// unsharedTokens returns the number of prompt tokens that are in no prefix shared
// with other requests.
func (p *proxyRequest) unsharedTokens() fleet.Tokens {
	return max(0, p.request.PromptTokens-placement.SharedTokens(p.request.PrefixBlocks))
}

// takeQuota charges the request to the account's quota and refuses the request
// if the quota is exceeded.
func (p *proxyRequest) takeQuota() bool {
	if p.account == nil {
		return true
	}
	amount := p.request.QuotaCost(p.account.Quota)
	ok, wait := p.handler.Quotas.Take(p.account, amount, p.handler.Nodes(), clock.Now())
	if !ok {
		return p.refuse(http.StatusTooManyRequests, ReasonQuotaExceeded, wait)
	}
	return true
}

// refundQuota refunds the quota of a request that did not run.
func (p *proxyRequest) refundQuota() {
	if p.account != nil && p.account.Quota.Rate > 0 {
		p.handler.Quotas.Refund(p.account.Name, p.request.QuotaCost(p.account.Quota))
	}
}

// remaining returns the time left until the request times out or the node stops.
func (p *proxyRequest) remaining() time.Duration {
	return p.handler.Shutdown.Cap(p.timeout - time.Since(p.started))
}

// priority returns the account's priority, or the route's if the account has none.
func (p *proxyRequest) priority() int {
	if p.account != nil && p.account.Priority != nil {
		return *p.account.Priority
	}
	return p.route.Priority
}

// refuse responds that the request did not run. It returns false.
func (p *proxyRequest) refuse(status int, reason Reason, retryAfter time.Duration) bool {
	if retryAfter > 0 {
		retryAfter += time.Duration(p.handler.Random() * retryJitter * float64(retryAfter))
	}
	return p.refuseUntil(status, reason, retryAfter)
}

// refuseUntil is like refuse, but adds no jitter to the Retry-After time.
func (p *proxyRequest) refuseUntil(status int, reason Reason, retryAfter time.Duration) bool {
	if retryAfter > 0 {
		p.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	p.reason = reason
	p.respond(status)
	p.handler.Logs.Emit(event.RequestRefused, p.logFields(zap.Int("status", status), zap.Duration("after", retryAfter))...)
	return false
}

// fail responds that the request failed and may have run.
func (p *proxyRequest) fail(status int, reason Reason) {
	p.reason = reason
	p.respond(status)
	p.handler.Logs.Emit(event.RequestFailed, p.logFields(zap.Int("status", status))...)
}

// respond writes an empty response of the node.
func (p *proxyRequest) respond(status int) {
	p.closeIfStopping()
	platform.SetRequestID(p.writer.Header(), p.request.ID)
	p.writer.Header().Set("Content-Length", "0")
	p.writer.WriteHeader(status)
	p.reportResult(status)
}

// reportResult passes the result of the request to OnFinish.
func (p *proxyRequest) reportResult(status int) {
	if p.handler.OnFinish == nil {
		return
	}
	result := Result{Status: status, Reason: p.reason, Duration: time.Since(p.started), TimeToFirst: p.timeToFirst}
	if p.route != nil {
		result.Kind = p.route.Kind
	}
	p.handler.OnFinish(result)
}

// logFields returns the fields of a log line about the request.
func (p *proxyRequest) logFields(extra ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(p.request.ID)),
		zap.String("reason", string(p.reason)),
		zap.Duration("took", time.Since(p.started)),
	}
	if p.config.Config != nil {
		fields = append(fields, zap.Int64("version", p.config.Version), zap.Duration("age", clock.Now().Sub(p.config.Confirmed)))
	}
	if p.route != nil {
		fields = append(fields, zap.String("route", string(p.route.Name)), zap.Duration("limit", p.timeout))
	}
	if p.account != nil {
		fields = append(fields, zap.String("account", string(p.account.Name)), zap.Float64("amount", p.request.QuotaCost(p.account.Quota)))
	}
	if len(p.tried) > 0 {
		tried := make([]string, len(p.tried))
		for i, id := range p.tried {
			tried[i] = string(id)
		}
		fields = append(fields, zap.Strings("endpoints", tried))
	}
	return append(fields, extra...)
}

// recordStart records that an endpoint started work on the request. Only the
// first call has an effect.
func (p *proxyRequest) recordStart() {
	if p.startRecorded {
		return
	}
	p.startRecorded = true
	p.timeToFirst = time.Since(p.started)
	if p.account != nil {
		p.handler.RecordStart(p.account.Name)
	}
}

// callerGone reports whether the caller has disconnected.
func (p *proxyRequest) callerGone() bool { return connection.Closed(p.httpRequest.Context()) }

// abandon logs and counts a request whose caller has left.
func (p *proxyRequest) abandon(fields ...zap.Field) {
	p.reason = ReasonCallerGone
	stage := LeaveUnsent
	if p.sent.Load() {
		stage = LeaveSent
	}
	p.handler.Logs.Emit(event.RequestAborted, p.logFields(append(fields, zap.String("stage", string(stage)))...)...)
	if p.handler.OnCallerLeft != nil {
		p.handler.OnCallerLeft(stage)
	}
}

// abort ends the request without a response. If the handler returned instead, net/http
// would send a caller that is still connected an empty success.
func (p *proxyRequest) abort() {
	p.reportResult(0)
	panic(http.ErrAbortHandler)
}
