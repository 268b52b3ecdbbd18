// Package periodic runs a function again and again.
package periodic

import (
	"context"
	"time"
)

// Run calls f after each time every, until ctx ends.
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
