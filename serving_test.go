//go:build !race || whole

package linetiller

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/settings"
)

// TestBoxAnswersOnceItServes guards against a box that handles requests of other boxes before its
// components exist: a heartbeat that arrived as the box began to listen crashed the process.
func TestBoxAnswersOnceItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := settings.Default()
		s.Box, s.Hall, s.Platform = "box-a1", "a", "http://platform"
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var answered atomic.Bool
		r := newRegion(t)
		b, err := New(&s, func(b *Box) {
			b.platformTransport = r.storeTransport("box-a1")
			b.openListeners = func() error {
				b.links = r.newEndpoint("box-a1")
				go func() {
					q := &box.Request{From: box.Member{Address: "box-a2", Hall: "a", Name: "box-a2"}, Kind: box.KindHeartbeat, SentAt: time.Now()}
					b.handleRequest(ctx, q, func(*box.Reply) error {
						answered.Store(true)
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
		if !answered.Load() {
			t.Error("the heartbeat was not answered")
		}
		_ = b.Close()
		time.Sleep(time.Minute)
	})
}

// TestBoxClosedWhileItJoins guards against a box that goes on joining after Close has returned: it
// started its loops, and served until its context ended.
func TestBoxClosedWhileItJoins(t *testing.T) {
	for _, refused := range []bool{false, true} {
		for closedAfter := time.Duration(0); closedAfter <= 3*time.Second; closedAfter += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t)
				defer r.close()
				r.startBox("box-a1")
				r.refusedBoxes["box-a2"] = refused
				r.startBox("box-a2")
				time.Sleep(closedAfter)
				b := r.boxes["box-a2"]
				r.kill("box-a2")
				calls := r.storeCallsOf("box-a2")
				time.Sleep(time.Minute)
				if got := r.storeCallsOf("box-a2"); got != calls {
					t.Errorf("store refuses %v, closed after %v: got %d calls of the store after it was closed, want none", refused, closedAfter, got-calls)
				}
				if b.isReady() {
					t.Errorf("store refuses %v, closed after %v: the box reports that it is ready", refused, closedAfter)
				}
			})
		}
	}
}

// TestServeOfAClosedBox guards against Serve on a box that was closed before.
func TestServeOfAClosedBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		defer r.close()
		b := r.newBox("box-a1")
		if err := b.Close(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if err := b.Serve(ctx); err != nil {
			t.Errorf("got %v, want no error", err)
		}
		if got := time.Since(began); got != 0 {
			t.Errorf("served for %v, want not at all", got)
		}
	})
}

// TestBoxStoppedWhileItJoins guards against a box that was asked to stop while it joined and then
// reports that it is ready, so that the load balancer sends it requests until it ends.
func TestBoxStoppedWhileItJoins(t *testing.T) {
	for stoppedAfter := time.Duration(0); stoppedAfter <= 3*time.Second; stoppedAfter += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRegion(t)
			defer r.close()
			r.startBox("box-a1")
			time.Sleep(5 * time.Second)
			r.startBox("box-a2")
			time.Sleep(stoppedAfter)
			b := r.boxes["box-a2"]
			b.Leave()
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				if b.isReady() {
					t.Fatalf("stopped after %v: the box reports that it is ready", stoppedAfter)
				}
			}
		})
	}
}
