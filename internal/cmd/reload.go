package cmd

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/linetiller/linetiller/internal/settings"
)

// fileEvery is how often the settings file is looked at: it may change without a
// signal.
const fileEvery = 5 * time.Second

// watchSettings reads the settings anew at each SIGHUP and each change of their
// file, and hands them, or what is wrong with them, to take. The result stops it
// and waits.
func watchSettings(ctx context.Context, path string, take func(*settings.Settings, error)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	var g sync.WaitGroup
	g.Go(func() {
		t := time.NewTicker(fileEvery)
		defer t.Stop()
		for last := changedAt(path); ; {
			select {
			case <-ctx.Done():
				return
			case <-hangUps:
			case <-t.C:
				now := changedAt(path)
				if now.Equal(last) {
					continue
				}
				last = now
			}
			take(settings.Load(path))
		}
	})
	return func() {
		signal.Stop(hangUps)
		cancel()
		g.Wait()
	}
}

// changedAt returns when a file was last changed, or the zero time where that
// cannot be told.
func changedAt(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
