package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Bounds of the moves off a leaving instance.
const (
	// moveWindow bounds the time over which the moves are spread.
	moveWindow = 10 * time.Second
	// moveGap is the least time between two moves of one node.
	moveGap = 5 * time.Millisecond
	// leaveMargin is kept between the end of work that stays and the leave.
	leaveMargin = 500 * time.Millisecond
	// slackStep is the resolution at which slack is compared.
	slackStep = time.Second
)

// Work is one request that runs on a leaving instance.
type RunningRequest struct {
	Deadline time.Time
	// Stake is what has to be computed again elsewhere if nothing is cached: the
	// prompt and the tokens so far.
	RecomputeTokens fleet.Tokens
	// Remaining is the predicted time to its end.
	Remaining time.Duration
}

// Move says when a request is moved.
type Move struct {
	// Index is the place of the request in the list of work.
	Index int
	At    time.Time
}

// Moves plans the moves off an instance that leaves at a time, or at once if
// the time is zero. Work that is predicted to end in time stays. The rest moves
// in order of slack, and of the tokens at stake among those of the same slack.
// The moves are spread over the first half of the notice, so that the other
// endpoints are not flooded and work is off before an early leave.
func PlanMoves(work []RunningRequest, leaves, now time.Time, s TokenTimes) []Move {
	order := make([]Move, 0, len(work))
	for i, w := range work {
		if !leaves.IsZero() && now.Add(w.Remaining+leaveMargin).Before(leaves) {
			continue
		}
		order = append(order, Move{Index: i})
	}
	slices.SortStableFunc(order, func(a, b Move) int {
		x, y := work[a.Index], work[b.Index]
		return cmp.Or(cmp.Compare(x.slack(now, s), y.slack(now, s)), cmp.Compare(y.RecomputeTokens, x.RecomputeTokens))
	})
	gap := moveGap
	if window := min(leaves.Sub(now)/2, moveWindow); !leaves.IsZero() && len(order) > 0 {
		gap = max(0, window/time.Duration(len(order)))
	}
	for i := range order {
		order[i].At = now.Add(time.Duration(i) * gap)
	}
	return order
}

// slack is the time that is left if the request moves now, in steps.
func (w RunningRequest) slack(now time.Time, s TokenTimes) time.Duration {
	again := time.Duration(w.RecomputeTokens) * or(s.Prefill, DefaultPrefillTime)
	return (w.Deadline.Sub(now) - w.Remaining - again) / slackStep
}
