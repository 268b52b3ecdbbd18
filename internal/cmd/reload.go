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

// settingsPollInterval is how often the settings file is looked at: it may change without a
// signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings anew at each SIGHUP and each change of their
// file, and hands them, or what is wrong with them, to take. The result stops it
// and waits.
func watchSettings(ctx context.Context, path string, onChange func(*settings.Settings, error)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var g sync.WaitGroup
	g.Go(func() {
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		for last := modTime(path); ; {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			case <-t.C:
				now := modTime(path)
				if now.Equal(last) {
					continue
				}
				last = now
			}
			onChange(settings.Load(path))
		}
	})
	return func() {
		signal.Stop(hangups)
		cancel()
		g.Wait()
	}
}

// modTime returns when a file was last changed, or the zero time where that
// cannot be told.
func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
