package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarkloom/skylarkloom/pkg/canary"
	"github.com/skylarkloom/skylarkloom/pkg/clock"
	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

// errVersionNotAccepted reports an attempt for which the endpoint's version gets no requests any more.
var errVersionNotAccepted = errors.New("the version gets no requests")

// versionSample is what an attempt says of its endpoint's version.
type versionSample struct {
	sample *canary.Sample
	// sentAt, firstAt and lastAt are when the attempt began and when its first and last event came.
	sentAt, firstAt, lastAt time.Time
	events                  int
	// expected is the expected time to the first event, without what the endpoint's own speed makes of it.
	expected float64
	// notRun reports whether the endpoint did not run the request, judged whether there is an outcome,
	// failed that the endpoint failed it, and brokeOff that it broke it off.
	notRun, judged, failed, brokeOff bool
}

// beginVersion takes the attempt from the budget of the version. It returns false if nothing may be sent to the
// endpoint now.
func (a *attempt) beginVersion() (ok bool) {
	p, v := a.proxy, &a.version
	v.sample, ok = p.handler.Versions.Begin(a.choice.Endpoint, p.route.Name, !p.sent.Load(), clock.Now())
	if v.sample == nil {
		return ok
	}
	v.sentAt = time.Now()
	v.expected = canary.ExpectedFirst(p.pool.Engine != nil, a.choice.UncachedTokens, p.handler.Engines.Speeds(p.pool.Name).Prefill)
	return ok
}

// recordVersionError records an exchange in which no response header was received.
func (a *attempt) recordVersionError(err error) {
	var unsent *forward.UnsentError
	if errors.As(err, &unsent) {
		a.version.sample.Unsent()
	}
}

// recordVersionEvent records an event of the endpoint, or its complete response.
func (a *attempt) recordVersionEvent() {
	v := &a.version
	if v.sample == nil {
		return
	}
	now := time.Now()
	if v.events++; v.events == 1 {
		v.firstAt = now
		v.sample.First(now.Sub(v.sentAt).Seconds(), v.expected)
	}
	v.lastAt = now
}

// recordOutcome records whether the endpoint served the request.
func (a *attempt) recordOutcome(served bool) {
	a.proxy.handler.Tracker.RecordOutcome(a.choice.Endpoint.ID, served)
	a.version.judged, a.version.failed = true, !served
}

// minGaps is the number of pauses between events from which their mean counts.
const minGaps = 3

// endVersion ends the attempt. One that was given up without an answer counts by the time that it took.
func (a *attempt) endVersion() {
	v := &a.version
	switch {
	case v.sample == nil:
		return
	case v.failed:
		v.sample.Failed(v.brokeOff)
	case v.events > minGaps:
		v.sample.Gap(v.lastAt.Sub(v.firstAt).Seconds() / float64(v.events-1))
	case v.events == 0 && !v.judged && !v.notRun:
		v.sample.Waited(time.Since(v.sentAt).Seconds(), v.expected)
	}
	v.sample.End()
}
