package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/skylarkloom/skylarkloom/platform/standin"
)

// action is the kind of fault or change that a step makes.
type action string

const (
	actPause    action = "pause"
	actKill     action = "kill"
	actStop     action = "stop"
	actReload   action = "reload"
	actStore    action = "store link"
	actCloud    action = "cloud link"
	actEndpoint action = "endpoint link"
	actFail     action = "endpoint fault"
	actMode     action = "store mode"
	actCompact  action = "compact"
	actReplace  action = "replace endpoint"
	actPublish  action = "publish"
	actRevoke   action = "revoke"
	// actTaint lets callers send prompts with a prefix block that crashes engines.
	actTaint action = "taint"
	// actLeave lets an endpoint announce that it leaves before its entry says so, and then
	// replaces it. actAsk lets one refuse all requests and ask for a pause.
	actLeave action = "leave"
	actAsk   action = "ask for a pause"
)

// step is a fault or change, with its start and duration in the run.
type step struct {
	start, duration time.Duration
	action          action
	// target is the index of the node or endpoint.
	target    int
	condition condition
	fault     standin.Fault
	mode      standin.Mode
	// pause is what an endpoint asks for, and delay how long it takes to say so.
	pause, delay time.Duration
}

func (s step) String() string {
	detail := ""
	switch s.action {
	case actStore, actCloud, actEndpoint:
		detail = string(s.condition)
	case actFail:
		detail = string(s.fault)
	case actMode:
		detail = string(s.mode)
	case actAsk:
		detail = s.pause.String()
	default:
	}
	return fmt.Sprintf("%6.2fs for %.2fs %s of %d: %s", s.start.Seconds(), s.duration.Seconds(), s.action, s.target, detail)
}

const (
	// One half of the endpoints is plain services (pool desk), the other half model
	// engines.
	nodeCount, endpointCount = 4, 6
	// Faults begin and end within faultTime. In recoveryTime, which follows, there
	// are none.
	faultTime, recoveryTime = 11 * time.Second, 8 * time.Second
)

// weights are the relative frequencies of the actions.
var weights = []struct {
	action action
	weight int
}{
	{actPause, 3},
	{actKill, 3},
	{actStop, 3},
	{actReload, 1},
	{actStore, 4},
	{actCloud, 2},
	{actEndpoint, 4},
	{actFail, 4},
	{actMode, 2},
	{actCompact, 1},
	{actReplace, 2},
	{actPublish, 3},
	{actRevoke, 1},
	{actTaint, 3},
}

// plan returns the steps that are drawn from a seed. Steps may overlap, and some
// are repeated at short intervals.
func plan(seed uint64) (steps []step) {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	for range 6 + random.IntN(10) {
		n := random.IntN(total)
		var drawn action
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				drawn = w.action
				break
			}
		}
		s := step{
			start:     time.Duration(random.Int64N(int64(faultTime - time.Second))),
			duration:  200*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
			action:    drawn,
			target:    random.IntN(nodeCount),
			condition: pick(random, linkSlow, linkSilent, linkRequestsOnly, linkRefused),
			mode:      pick(random, standin.ModeBusy, standin.ModeSilent, standin.ModeDropResponse),
			fault: pick(random, standin.FaultShed, standin.FaultMoved, standin.FaultCrash, standin.FaultTruncated,
				standin.FaultUnsealed, standin.FaultGarbled, standin.FaultDuplicate, standin.FaultHang, standin.FaultError),
		}
		if drawn == actEndpoint || drawn == actFail || drawn == actReplace {
			s.target = random.IntN(endpointCount)
		}
		if drawn == actTaint {
			// The bound concerns what arrives seconds after the first crashes.
			s.duration = faultTime
		}
		for range 1 + random.IntN(5)/4*2 {
			s.duration = min(s.duration, faultTime-s.start)
			if s.duration > 0 {
				steps = append(steps, s)
			}
			s.start += s.duration + 300*time.Millisecond
		}
	}
	return steps
}

func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }
