// Package periodic calls a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f after every interval until ctx is done. Calls do not overlap; if one takes longer than
// interval, ticks are dropped.
func Run(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}
