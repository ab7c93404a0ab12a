// Package interval runs a step again and again.
package interval

import (
	"context"
	"time"
)

// Run calls step after every interval until the context ends, one call at a
// time. A call that takes longer than the interval delays the next one.
func Run(ctx context.Context, every time.Duration, step func(ctx context.Context)) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}
