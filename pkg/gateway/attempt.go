package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
	"github.com/skylarkloom/skylarkloom/pkg/intake"
	"github.com/skylarkloom/skylarkloom/pkg/pace"
	"github.com/skylarkloom/skylarkloom/pkg/placement"
	"github.com/skylarkloom/skylarkloom/pkg/quarantine"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
	"github.com/skylarkloom/skylarkloom/platform"
)

const (
	// maxUnsentAttempts is the limit of attempts per request in which the endpoint
	// received nothing.
	maxUnsentAttempts = 4
	// connectionHeadroom is the factor by which the connection limit of an endpoint
	// exceeds the sum of the nodes' shares. It leaves room for the connections of
	// nodes that are being replaced.
	connectionHeadroom = 1.25
	// closeCheckInterval is the pause between checks whether the caller of an attempt
	// has left. It stays well below half a second.
	closeCheckInterval = 200 * time.Millisecond
)

// ReadStage is when the announcement of an endpoint was read.
type ReadStage string

// The stages. Their values are logged.
const (
	// ReadInTime means in the response to the request.
	ReadInTime ReadStage = "in time"
	// ReadSkipped means in a response to another request on the connection.
	ReadSkipped ReadStage = "skipped"
	// ReadAbandoned means in a response that came after the request was given up.
	ReadAbandoned ReadStage = "abandoned"
)

// Announcement is what an endpoint may announce of itself in a response.
type Announcement string

// The announcements. Their values are labels of metrics.
const (
	// AnnounceLeaving means that the endpoint is about to leave.
	AnnounceLeaving Announcement = "leaving"
	// AnnouncePause means that the endpoint wants no requests for some time.
	AnnouncePause Announcement = "pause"
)

// UnreadCause is why a request was given up before the endpoint responded.
type UnreadCause string

// The causes. Their values are labels of metrics.
const (
	// UnreadCallerLeft means that the caller left.
	UnreadCallerLeft UnreadCause = "caller left"
	// UnreadTimeout means that the attempt timed out or its stream stalled.
	UnreadTimeout UnreadCause = "timeout"
)

// attempt is one exchange of a request with one endpoint.
type attempt struct {
	proxy    *proxyRequest
	choice   placement.Choice
	prefill  *placement.Prefill
	response *forward.Response
	// sentAt is when the attempt began, begunAt when the response header arrived and firstAt
	// when the first event or the response did; 0 before.
	sentAt, begunAt, firstAt clock.Instant
	gaps                     pace.Gaps
	// startRecorded reports whether it was recorded that the endpoint has answered for some
	// time, servedRecorded whether the attempt was recorded as served.
	startRecorded, servedRecorded bool
	// cancel ends the exchange.
	cancel context.CancelFunc
	// started reports whether the endpoint has sent the first event or a complete
	// response.
	started atomic.Bool
	// ended reports whether the attempt ended before the head of a response was read.
	ended    atomic.Bool
	finished bool
	version  versionSample
}

// chooseEndpoint picks an endpoint that was not tried, is not in unreachable and has not
// asked for a pause. Service endpoints must be ready; ChooseEngine judges the state of
// engines.
func (p *proxyRequest) chooseEndpoint(now clock.Instant, unreachable []fleet.InstanceID) (c placement.Choice, ok bool) {
	endpoints := p.handler.Endpoints(p.pool.Name)
	p.poolSize = len(endpoints)
	candidates := make([]serving.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if (e.State == serving.StateReady || p.pool.Engine != nil) && !slices.Contains(p.tried, e.ID) && !slices.Contains(unreachable, e.ID) {
			candidates = append(candidates, e)
		}
	}
	candidates, pauseEnd := p.handler.Tracker.Available(candidates, now)
	c, ok = p.chooseAmong(p.handler.Versions.Filter(p.pool.Name, candidates, now), now)
	// The new version of a roll-out is sampled only with requests that it can serve.
	if old := p.handler.Versions.Unsampled(p.pool.Name, candidates, now); len(old) > 0 && (!ok || !p.canStartInTime(c)) {
		if other, found := p.chooseAmong(old, now); found {
			c, ok = other, true
		}
	}
	if p.paused = !ok && pauseEnd > 0; p.paused {
		p.retryAfter = pauseEnd.Sub(now)
	}
	return c, ok
}

func (p *proxyRequest) chooseAmong(candidates []serving.Endpoint, now clock.Instant) (c placement.Choice, ok bool) {
	loads := p.handler.Tracker.Loads(candidates, p.request.PrefixBlocks, p.handler.DataCentre, now)
	n := p.handler.Nodes()
	view := placement.View{Lag: n.Lag, Nodes: n.Total, Draw: p.handler.Random()}
	if p.pool.Engine == nil {
		return placement.ChooseService(view, loads)
	}
	return placement.ChooseEngine(placement.Query{
		PromptTokens: p.request.PromptTokens,
		SharedTokens: placement.SharedTokens(p.request.PrefixBlocks),
		OutputTokens: p.request.MaxOutputTokens,
		FetchesKV:    p.pool.Engine.FetchesKV,
		View:         view,
	}, loads)
}

// recordAnnouncements records what the endpoint of an attempt announces of itself in the
// header of a response, which may arrive after the end of the attempt. The endpoint was
// born before it accepted the connection, possibly later than its entry says.
func (a *attempt) recordAnnouncements(status int, header http.Header, opened clock.Instant) {
	h, e := a.proxy.handler, a.choice.Endpoint
	metadata := platform.ReadResponse(status, header)
	endpoint := zap.String("endpoint", string(e.ID))
	read := zap.String("read", string(a.readStage(status, header)))
	announce := func(what Announcement) {
		if h.OnAnnouncement != nil {
			h.OnAnnouncement(e.Pool, what)
		}
	}
	newest := max(e.Born, h.UnixTime(opened))
	if metadata.Leaving && h.MarkLeaving(e.ID, newest) {
		announce(AnnounceLeaving)
		h.Logs.Emit(event.EndpointLeaving, endpoint, read, zap.String("request", string(a.proxy.request.ID)))
	}
	if metadata.Pause > 0 {
		h.Tracker.RecordPause(e, newest, clock.Now().Add(metadata.Pause))
		announce(AnnouncePause)
		h.Logs.Emit(event.EndpointPaused, endpoint, read, zap.Duration("pause", metadata.Pause), zap.String("request", string(a.proxy.request.ID)))
	}
	if metadata.InvalidPause != "" {
		h.Logs.Emit(event.PauseInvalid, endpoint, zap.String("pause", metadata.InvalidPause))
	}
}

// readStage returns at which stage of the attempt a response is read.
func (a *attempt) readStage(status int, header http.Header) ReadStage {
	switch {
	case a.ended.Load():
		return ReadAbandoned
	case !a.proxy.responseMatches(status, header):
		return ReadSkipped
	default:
		return ReadInTime
	}
}

// send sends the request to an endpoint and waits for the response header.
func (p *proxyRequest) send(ctx context.Context, c placement.Choice, resumeAfter *serving.EventID) (sent *attempt, err error) {
	now := clock.Now()
	a := &attempt{proxy: p, choice: c, sentAt: now, prefill: p.handler.Tracker.Begin(c.Endpoint.ID, c.UncachedTokens, now)}
	// The next waiting request may look for room now that the load counts this one.
	p.wakeWaiting()
	ctx, a.cancel = context.WithCancel(ctx)
	if !a.beginVersion() {
		a.finish()
		return nil, &forward.UnsentError{Address: c.Endpoint.Address, Cause: errVersionNotAccepted}
	}
	a.watchCaller(ctx)
	dispatch := platform.Dispatch{
		Instance: c.Endpoint.ID,
		Timeout:  p.remaining(),
		Urgency:  p.priority(),
		Engine:   p.pool.Engine != nil,
		KVSource: c.KVSource.Address,
	}
	if p.account != nil {
		dispatch.Account = p.account.Name
	}
	if resumeAfter != nil {
		dispatch.Resumed, dispatch.LastEvent = true, *resumeAfter
	}
	a.response, err = p.handler.Pool.Do(ctx, forward.Request{
		Address:        c.Endpoint.Address,
		Method:         p.httpRequest.Method,
		Target:         p.httpRequest.RequestURI,
		Host:           p.httpRequest.Host,
		Header:         platform.EndpointHeader(p.httpRequest.Header, dispatch),
		Body:           p.body,
		MaxConnections: p.connectionLimit(),
		Matches:        p.responseMatches,
		OnHead:         a.recordAnnouncements,
		Expires:        time.Now().Add(dispatch.Timeout),
		Abandoned:      func() bool { return !a.version.sample.Accepts(clock.Now()) || p.abandonUnsent(c.Endpoint) },
	})
	if err != nil {
		a.ended.Store(true)
		a.recordVersionError(err)
		p.recordSendFailure(a, err)
		a.finish()
		return nil, err
	}
	metadata := platform.ReadResponse(a.response.Status, a.response.Header)
	if isAmbiguousIfRepeated(a.response.Status, metadata) {
		a.response.DoNotReuse()
	}
	a.begunAt = clock.Now()
	p.handler.Tracker.RecordResponse(c.Endpoint, a.begunAt)
	return a, nil
}

// abandonUnsent reports whether the caller left before the request was sent in this
// attempt, or the endpoint leaves or wants a pause by now. On a busy node there may be
// seconds between the choice and the first byte.
func (p *proxyRequest) abandonUnsent(e serving.Endpoint) bool {
	if p.callerGone() || !p.handler.Accepts(e) || p.handler.Tracker.Paused(e, clock.Now()) {
		return true
	}
	p.sent.Store(true)
	return false
}

// watchCaller cancels the exchange if the caller leaves before the response starts.
// net/http cancels it sooner, unless the caller has sent more than its request.
func (a *attempt) watchCaller(ctx context.Context) {
	time.AfterFunc(closeCheckInterval, func() {
		switch {
		case ctx.Err() != nil || a.started.Load():
		case a.proxy.callerGone():
			a.cancel()
		default:
			a.watchCaller(ctx)
		}
	})
}

// connectionLimit returns this node's share of an endpoint's connections; 0
// means no limit.
func (p *proxyRequest) connectionLimit() int {
	if p.pool.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(float64(p.pool.MaxConnections)/(connectionHeadroom*float64(max(1, p.handler.Nodes().Total)))))
}

// responseMatches reports whether a response belongs to this request. A response
// without a request ID is accepted only if it reports that the request was not
// run or if its status is not 2xx, since endpoints that did not run a request may
// omit its ID.
func (p *proxyRequest) responseMatches(status int, h http.Header) bool {
	metadata := platform.ReadResponse(status, h)
	return metadata.ID == p.request.ID || metadata.ID == "" && (metadata.NotRun || status/100 != 2)
}

// isAmbiguousIfRepeated reports whether a response could be taken for the response to a
// later request if the endpoint sent it twice: it names no request, or the request may
// be sent to the same address again.
func isAmbiguousIfRepeated(status int, r platform.Response) bool {
	return r.ID == "" || status == http.StatusMisdirectedRequest
}

// recordSendFailure records and logs an exchange that failed before a response
// header was received. It ignores failures that are due to the caller's disconnect
// or the request's timeout.
func (p *proxyRequest) recordSendFailure(a *attempt, err error) {
	id := a.choice.Endpoint.ID
	p.countUnread(err)
	if p.callerGone() || errors.IsAny(err, context.DeadlineExceeded, errStopping) && p.remaining() <= 0 {
		return
	}
	var unsent *forward.UnsentError
	if errors.IsAny(err, forward.ErrAbandoned, errOvertaken) {
		return
	}
	if errors.As(err, &unsent) {
		var limitErr *forward.ConnectionLimitError
		if !errors.As(err, &limitErr) {
			p.handler.Tracker.RecordUnreachable(id, clock.Now())
		}
	} else if !errors.Is(err, intake.ErrNoRoom) {
		a.recordOutcome(false)
		a.recordBrokenOff(err)
	}
	p.logEndpointFailure(a, err)
}

// countUnread counts a request that was sent and given up before its response.
func (p *proxyRequest) countUnread(err error) {
	var noResponse *forward.NoResponseError
	if p.handler.OnUnread == nil || !errors.As(err, &noResponse) {
		return
	}
	switch {
	case p.callerGone():
		p.handler.OnUnread(p.pool.Name, UnreadCallerLeft)
	case errors.IsAny(err, context.DeadlineExceeded, errStalled):
		p.handler.OnUnread(p.pool.Name, UnreadTimeout)
	}
}

// logEndpointFailure logs a failed exchange, with what identifies the request's
// content and whether the endpoint had begun to answer it.
func (p *proxyRequest) logEndpointFailure(a *attempt, err error, extra ...zap.Field) {
	blocks := make([]string, len(p.request.PrefixBlocks))
	for i, b := range p.request.PrefixBlocks {
		blocks[i] = string(b.ID)
	}
	fields := []zap.Field{
		zap.String("request", string(p.request.ID)), zap.String("endpoint", string(a.choice.Endpoint.ID)), zap.Error(err),
		zap.Bool("header", a.response != nil), zap.Bool("started", a.started.Load()), zap.Strings("blocks", blocks),
	}
	p.handler.Logs.Emit(event.EndpointFailed, append(fields, extra...)...)
}

// recordBrokenOff records that the endpoint broke off the exchange, unless err has another
// cause.
func (a *attempt) recordBrokenOff(err error) {
	a.version.brokeOff = forward.BrokeOff(err)
	if a.version.brokeOff {
		a.proxy.handler.RecordBroken(a.choice.Endpoint, quarantine.Run{Subjects: a.proxy.subjects, Sent: a.sentAt, Broke: clock.Now(), Started: a.startRecorded})
	}
}

// recordInvalid records that the body of the response was not valid, unless err means that the
// node had no room for it. That it was slow while others waited for room counts.
func (a *attempt) recordInvalid(err error) {
	if errors.Is(err, intake.ErrNoRoom) && !a.response.Sender.Stopped() {
		return
	}
	a.recordOutcome(false)
	a.recordBrokenOff(err)
}

// recordServed records that the endpoint ran the request to its end.
func (a *attempt) recordServed() {
	a.servedRecorded = true
	a.proxy.handler.RecordServed(a.proxy.subjects, a.begunAt)
}

// recordStarted records that the endpoint has answered the request for some time. Only the
// first call has an effect.
func (a *attempt) recordStarted() {
	if !a.startRecorded {
		a.startRecorded = true
		a.proxy.handler.RecordStarted(a.proxy.subjects, a.begunAt)
	}
}

// recordEvent records an event or the response. The first one shows that the endpoint
// has processed the prompt.
func (a *attempt) recordEvent() {
	now := clock.Now()
	first := !a.started.Swap(true)
	if first {
		a.firstAt = now
	}
	a.gaps.Add(now)
	a.recordVersionEvent()
	a.proxy.recordStart()
	a.proxy.handler.Tracker.RecordFirstEvent(a.prefill, a.proxy.request.PrefixBlocks, now)
	if first {
		a.proxy.wakeWaiting()
	}
}

// recordPace records how fast the endpoint served the request. A response of a plain
// service counts if the endpoint had a free slot.
func (a *attempt) recordPace() {
	t, e := a.proxy.handler.Tracker, a.choice.Endpoint
	switch engine := a.proxy.pool.Engine; {
	case t.Pace == nil:
	case engine != nil:
		t.Pace.AddUnit(e, a.gaps.Usual()/time.Duration(max(1, engine.TokensPerEvent)), clock.Now())
	case a.servedRecorded && a.choice.Idle && a.response.Status < http.StatusInternalServerError:
		t.Pace.AddUnit(e, a.firstAt.Sub(a.sentAt), clock.Now())
	}
}

// finish closes the response and removes the attempt from the endpoint's load.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	a.recordPace()
	a.endVersion()
	if a.response != nil {
		a.response.Close()
	}
	a.cancel()
	a.proxy.handler.Tracker.End(a.prefill)
	a.proxy.wakeWaiting()
}

// takeAttempt reports whether the request may be sent to another endpoint, and
// charges a retry to the retry budget. A request that is not repeatable is
// retried only if no endpoint can have run it.
func (p *proxyRequest) takeAttempt() bool {
	if p.attemptTaken {
		p.attemptTaken = false
		return true
	}
	// abandonUnsent looks for the caller of a first attempt.
	if len(p.tried) > 0 && p.callerGone() || len(p.tried) >= p.route.MaxAttempts || p.remaining() <= 0 {
		return false
	}
	if p.mayHaveRun && !p.route.Repeatable() {
		return false
	}
	if p.handler.IsQuarantined(p.subjects) {
		return false
	}
	if len(p.tried) > 0 && !p.handler.Retries.Take(p.pool.Name, p.handler.Nodes().Total, clock.Now()) {
		return false
	}
	return true
}

// respondExhausted responds to a request that has no further attempt, unless the
// caller has disconnected.
func (p *proxyRequest) respondExhausted(reason Reason) {
	stopped := p.handler.Shutdown.Ended()
	switch {
	case p.callerGone():
		if !p.mayHaveRun {
			p.refundQuota()
		}
		p.abandon()
		p.abort()
	case !p.mayHaveRun:
		p.refundQuota()
		if stopped {
			reason = ReasonStopping
		}
		p.refuse(http.StatusServiceUnavailable, reason, max(retryAfterTransient, p.retryAfter))
	case stopped:
		p.fail(http.StatusBadGateway, ReasonStopping)
	case p.remaining() <= 0:
		p.fail(http.StatusGatewayTimeout, ReasonTimeout)
	default:
		p.fail(http.StatusBadGateway, reason)
	}
}
