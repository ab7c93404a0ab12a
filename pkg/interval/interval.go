// Package interval calls a function periodically.
package interval

import (
	"context"
	"time"
)

// Run calls step once per interval until the context ends, first after one interval.
// Calls do not overlap: a call that takes longer than the interval delays the next
// one.
func Run(ctx context.Context, every time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}
