package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// demandTimeConstant is the time constant of the exponential decay of the observed
// demand.
const demandTimeConstant = 5 * time.Second

// Limiter admits requests on one node. The zero value is ready to use.
type Limiter struct {
	// Share returns the fraction of an account's limit that this node may use; nil
	// means all of it. It must not call the limiter.
	Share func(account fleet.AccountName) float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	accounts map[fleet.AccountName]*account
	queues   map[fleet.PoolName]*Queue
}

// account holds the token bucket and the demand of an account on this node.
type account struct {
	bucket *rate.Limiter
	// demand is the observed rate in requests per second at the time updated,
	// including refused requests.
	demand  float64
	updated time.Time
}

func (l *Limiter) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// Admit refuses a request immediately, or accepts it and returns when it may be
// dispatched. The caller must call release when the request has ended. The error is a
// *RefusedError.
func (l *Limiter) Admit(r Request) (release func(), err error) {
	now := l.now()
	l.mu.Lock()
	if err := l.takeToken(r, now); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	q := l.queue(r.Pool)
	t, err := q.Admit(r, now)
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-t.Ready():
	case <-r.Cancelled:
		l.mu.Lock()
		defer l.mu.Unlock()
		q.Withdraw(t)
		return nil, &RefusedError{Reason: ReasonCancelled}
	}
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		q.Release()
	}), nil
}

// Resize sets the maximum number of dispatched requests in a pool. It lets waiting
// requests use new capacity while no request arrives or ends.
func (l *Limiter) Resize(pool fleet.PoolName, maxRunning int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool).Resize(maxRunning)
}

// Demand returns the observed rate of an account on this node in requests per second.
func (l *Limiter) Demand(name fleet.AccountName) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	return a.demandAt(l.now())
}

// Demands returns the observed rates of all accounts on this node.
func (l *Limiter) Demands() map[fleet.AccountName]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rates := make(map[fleet.AccountName]float64, len(l.accounts))
	for name, a := range l.accounts {
		rates[name] = a.demandAt(now)
	}
	return rates
}

func (l *Limiter) queue(pool fleet.PoolName) *Queue {
	q := l.queues[pool]
	if q == nil {
		if l.queues == nil {
			l.queues = make(map[fleet.PoolName]*Queue)
		}
		q = &Queue{}
		l.queues[pool] = q
	}
	return q
}

// takeToken updates the account's demand and takes one token from its bucket. The
// caller must hold l.mu.
func (l *Limiter) takeToken(r Request, now time.Time) error {
	a := l.accounts[r.Account]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[fleet.AccountName]*account)
		}
		a = &account{updated: now}
		l.accounts[r.Account] = a
	}
	a.demand = a.demandAt(now) + 1/demandTimeConstant.Seconds()
	a.updated = now
	if r.Rate <= 0 {
		a.bucket = nil
		return nil
	}
	a.updateBucket(r, l.share(r.Account), now)
	reservation := a.bucket.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	reservation.CancelAt(now)
	return &RefusedError{Reason: ReasonRate, RetryAfter: delay}
}

func (l *Limiter) share(name fleet.AccountName) float64 {
	if l.Share == nil {
		return 1
	}
	return l.Share(name)
}

// updateBucket sets the limit and the burst of the bucket to this node's share.
func (a *account) updateBucket(r Request, share float64, now time.Time) {
	burst := float64(r.Burst)
	if r.Burst == 0 {
		burst = r.Rate
	}
	limit, burstSize := rate.Limit(r.Rate*share), max(1, int(math.Round(burst*share)))
	if a.bucket == nil {
		a.bucket = rate.NewLimiter(limit, burstSize)
		return
	}
	if a.bucket.Limit() != limit {
		a.bucket.SetLimitAt(now, limit)
	}
	if a.bucket.Burst() != burstSize {
		a.bucket.SetBurstAt(now, burstSize)
	}
}

// demandAt returns the demand, decayed to a time.
func (a *account) demandAt(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.updated).Seconds()/demandTimeConstant.Seconds())
}
