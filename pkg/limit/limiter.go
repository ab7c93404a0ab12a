package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// demandMemory is the time constant of the observed demand.
const demandMemory = 5 * time.Second

// Limiter admits requests on one node. The zero value is ready to use.
type Limiter struct {
	// Share returns which part of an account's limit this node may use; nil
	// takes all. It must not call the limiter.
	Share func(account fleet.AccountName) float64
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	accounts map[fleet.AccountName]*account
	queues   map[fleet.PoolName]*Queue
}

// account is the use that an account makes of this node.
type account struct {
	bucket *rate.Limiter
	// demand is the observed rate in requests a second as of a time, refused
	// requests included.
	demand float64
	seen   time.Time
}

func (l *Limiter) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// Admit accepts a request, once there is room for it, or refuses it at once.
// The request is over when release is called. The error is a *RefusedError.
func (l *Limiter) Admit(r Request) (release func(), err error) {
	now := l.now()
	l.mu.Lock()
	if err := l.spend(r, now); err != nil {
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

// Resize tells how many requests of a pool the node may have dispatched, for
// those that wait while none comes or ends.
func (l *Limiter) Resize(pool fleet.PoolName, room int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(pool).Resize(room)
}

// Demand returns the observed rate of an account on this node.
func (l *Limiter) Demand(name fleet.AccountName) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 0
	}
	return a.at(l.now())
}

// Demands returns the observed rate of every account on this node.
func (l *Limiter) Demands() map[fleet.AccountName]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rates := make(map[fleet.AccountName]float64, len(l.accounts))
	for name, a := range l.accounts {
		rates[name] = a.at(now)
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

// spend takes one request from the account's bucket. The lock is held.
func (l *Limiter) spend(r Request, now time.Time) error {
	a := l.accounts[r.Account]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[fleet.AccountName]*account)
		}
		a = &account{seen: now}
		l.accounts[r.Account] = a
	}
	a.demand = a.at(now) + 1/demandMemory.Seconds()
	a.seen = now
	if r.Rate <= 0 {
		a.bucket = nil
		return nil
	}
	a.set(r, l.share(r.Account), now)
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

// set brings the bucket to the limit and share in force.
func (a *account) set(r Request, share float64, now time.Time) {
	burst := float64(r.Burst)
	if r.Burst == 0 {
		burst = r.Rate
	}
	limit, size := rate.Limit(r.Rate*share), max(1, int(math.Round(burst*share)))
	if a.bucket == nil {
		a.bucket = rate.NewLimiter(limit, size)
		return
	}
	if a.bucket.Limit() != limit {
		a.bucket.SetLimitAt(now, limit)
	}
	if a.bucket.Burst() != size {
		a.bucket.SetBurstAt(now, size)
	}
}

// at returns the demand decayed to a time.
func (a *account) at(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.seen).Seconds()/demandMemory.Seconds())
}
