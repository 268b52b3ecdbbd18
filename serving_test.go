//go:build !race

package linetiller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/settings"
)

// TestBoxAnswersOnceItServes has another box send a heartbeat as soon as a box that starts
// listens: it was answered by parts that were not
// there yet, and the process ended.
func TestBoxAnswersOnceItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := settings.Default()
		s.Box, s.Hall, s.Platform = "box-a1", "a", "http://platform"
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		answered := false
		b, err := New(&s, func(b *Box) {
			b.connect = func() error {
				b.links = newRegion(t).links("box-a1")
				go func() {
					q := &box.Request{From: box.Member{Address: "box-a2", Hall: "a", Name: "box-a2"}, Kind: box.KindHeartbeat, SentAt: time.Now()}
					b.answer(ctx, q, func(*box.Reply) error {
						answered = true
						return nil
					})
				}()
				time.Sleep(100 * time.Millisecond)
				return nil
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = b.Serve(ctx) }()
		synctest.Wait()
		if !answered {
			t.Error("the heartbeat was not answered")
		}
		_ = b.Close()
		time.Sleep(time.Minute)
	})
}
