package provision

import (
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/clock"
)

const (
	// trendTime is the time over which the demand is averaged to find out whether it
	// grows. It is several times the averaging time of the demand itself.
	trendTime = 12 * time.Second
	// registrationTime is the time from the first service of an endpoint until all nodes
	// know it.
	registrationTime = 2 * time.Second
)

// Trend forecasts a growing demand, so that endpoints that are requested now serve when
// they are needed. The zero value is ready to use.
type Trend struct {
	slow    float64
	updated clock.Instant
}

// Forecast records the present demand on a pool and returns the demand that is expected
// when an endpoint requested now serves, but not less than the present one. A ramp
// leaves the slow average behind by its slope times trendTime.
func (t *Trend) Forecast(demand float64, bootTime time.Duration, now clock.Instant) float64 {
	if t.updated == 0 {
		t.slow = demand
	} else {
		t.slow += min(1, now.Sub(t.updated).Seconds()/trendTime.Seconds()) * (demand - t.slow)
	}
	t.updated = now
	lead := averagingTime + bootTime + registrationTime
	return demand + max(0, demand-t.slow)*lead.Seconds()/trendTime.Seconds()
}
