package placement

import (
	"math"
	"time"
)

const (
	// serviceTime is the assumed duration of one request to a plain service.
	serviceTime = 30 * time.Millisecond
	// defaultServiceSlots applies to an endpoint that does not report its slots.
	defaultServiceSlots = 4
)

// serviceSlots returns the number of requests that a plain service handles at once.
func (l Load) serviceSlots() int {
	if l.Endpoint.Slots > 0 {
		return l.Endpoint.Slots
	}
	return defaultServiceSlots
}

// serviceCost returns the cost by which plain services are compared, in nanoseconds, and
// the choice of the endpoint.
func serviceCost(l Load) (float64, Choice) {
	slots := l.serviceSlots()
	took := serviceTime
	if l.Speed > 0 && l.UnitTime > 0 {
		took = time.Duration(float64(l.UnitTime) / l.Speed)
	}
	wait := float64(took) * float64(l.Running) / float64(slots)
	cost := wait + penalty(l)
	if l.Speed > 0 {
		cost += float64(took)
	}
	return cost, Choice{Endpoint: l.Endpoint, TimeToFirstEvent: time.Duration(wait) + took, Idle: l.Running < slots}
}

// ChooseService returns the endpoint of a plain service with the shortest
// predicted wait, including penalties. If there are fewer slots than nodes and requests
// end before the views of other nodes show them, it draws one instead, so that the nodes
// don't all send their requests to the endpoint that was free a moment ago.
func ChooseService(v View, loads []Load) (c Choice, ok bool) {
	best := math.Inf(1)
	slots := 0
	for _, l := range loads {
		slots += l.serviceSlots()
		cost, choice := serviceCost(l)
		if cost < best {
			best, c, ok = cost, choice, true
		}
	}
	if !v.late() || slots >= v.Nodes || len(loads) < 2 || loads[0].UnitTime > v.Lag {
		return c, ok
	}
	shortest := math.Inf(1)
	for _, l := range loads {
		shortest = min(shortest, serviceTotal(l))
	}
	i := drawIndex(len(loads), func(i int) float64 { return serviceWeight(loads[i], shortest) }, v.Draw)
	_, c = serviceCost(loads[i])
	return c, ok
}

// serviceTotal returns the predicted time to the response and the penalties, in
// nanoseconds.
func serviceTotal(l Load) float64 {
	_, c := serviceCost(l)
	return float64(c.TimeToFirstEvent) + penalty(l)
}

// serviceWeight returns how often an endpoint is drawn: in proportion to its slots and less
// often the longer the response is predicted to take. One whose condition costs far more
// than the shortest response isn't drawn.
func serviceWeight(l Load, shortest float64) float64 {
	if penalty(l) > acceptFactor*shortest {
		return 0
	}
	return float64(l.serviceSlots()) / serviceTotal(l)
}
