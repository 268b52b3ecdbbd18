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

// settingsPollInterval is the interval at which the settings file is checked for changes, since it
// may change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings loads the settings again on each SIGHUP and each time that their file changes, and
// calls onChange with the settings or the error. The returned function stops watching and waits for
// the goroutine to end.
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

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
