package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

// Parameters of the plan of moves.
const (
	// maxMoveWindow is the maximum time over which the moves are spread.
	maxMoveWindow = 10 * time.Second
	// immediateMoveInterval is the interval between two moves of one node when the
	// instance leaves immediately.
	immediateMoveInterval = 5 * time.Millisecond
	// terminationMargin is the minimum time between the predicted end of a request
	// that stays and the termination of the instance.
	terminationMargin = 500 * time.Millisecond
	// slackResolution is the unit in which the slack of requests is compared.
	slackResolution = time.Second
)

// RunningRequest is a request in flight on a leaving instance.
type RunningRequest struct {
	Deadline time.Time
	// RecomputeTokens is the number of tokens to compute again on another endpoint
	// that has nothing cached: the prompt and the tokens generated so far.
	RecomputeTokens fleet.Tokens
	// Remaining is the predicted time to the end of the request.
	Remaining time.Duration
}

// Move schedules the move of a request to another endpoint.
type Move struct {
	// Index is the position of the request in the list given to PlanMoves.
	Index int
	At    time.Time
}

// PlanMoves schedules the moves off an instance that leaves at the given time, or
// immediately if the time is zero. A request that is predicted to end before that
// stays. The others move in order of slack, the time to spare before the deadline,
// least first; at equal slack, those with more tokens to recompute move first. The
// moves are spread over the first half of the notice, so that they do not overload
// the other endpoints and the instance is empty if it leaves early.
func PlanMoves(requests []RunningRequest, leaves, now time.Time, times TokenTimes) []Move {
	moves := make([]Move, 0, len(requests))
	for i, r := range requests {
		if !leaves.IsZero() && now.Add(r.Remaining+terminationMargin).Before(leaves) {
			continue
		}
		moves = append(moves, Move{Index: i})
	}
	slices.SortStableFunc(moves, func(a, b Move) int {
		x, y := requests[a.Index], requests[b.Index]
		return cmp.Or(cmp.Compare(x.slack(now, times), y.slack(now, times)), cmp.Compare(y.RecomputeTokens, x.RecomputeTokens))
	})
	interval := immediateMoveInterval
	if window := min(leaves.Sub(now)/2, maxMoveWindow); !leaves.IsZero() && len(moves) > 0 {
		interval = max(0, window/time.Duration(len(moves)))
	}
	for i := range moves {
		moves[i].At = now.Add(time.Duration(i) * interval)
	}
	return moves
}

// slack returns the time to spare before the deadline if the request moves now, in
// units of slackResolution.
func (r RunningRequest) slack(now time.Time, times TokenTimes) time.Duration {
	recompute := time.Duration(r.RecomputeTokens) * orDefault(times.Prefill, DefaultPrefillTime)
	return (r.Deadline.Sub(now) - r.Remaining - recompute) / slackResolution
}
