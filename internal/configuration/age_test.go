package configuration

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestAgeOfAViewThatNobodyConfirms stops the store from responding for a while. The view of a
// reader ages, one log event reports that it is stale and one that it is current again, and the age
// of another box's younger view is adopted.
func TestAgeOfAViewThatNobodyConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 20 * time.Second
		s := newOutageStore(outage)
		f := s.follower(resource.SourceBoxes, resource.SourceConfiguration, resource.SourceUpstreams)
		var b bytes.Buffer
		f.log = slog.New(slog.NewTextHandler(&b, nil))
		if got := f.ViewAge(); got != 0 {
			t.Errorf("before any read: got age %v, want none", got)
		}
		ctx, cancel := context.WithDeadline(context.Background(), s.outageEnd.Add(5*time.Second))
		defer cancel()
		go f.MonitorViewAge(ctx)
		go f.Run(ctx)
		time.Sleep(9 * time.Second)
		if got := f.ViewAge(); got == 0 || got > ViewStaleAfter {
			t.Errorf("while the store answers: got age %v, want at most %v", got, ViewStaleAfter)
		}
		time.Sleep(time.Until(s.outageEnd))
		if got, want := f.ViewAge(), outage-shortWatchPeriod; got < want { // a read may have been in flight
			t.Errorf("after the outage: got age %v, want at least %v", got, want)
		}
		f.RecordPeerViewAge(time.Second)
		if got, want := f.ViewAge(), time.Second; got != want {
			t.Errorf("after another box reported its age: got age %v, want %v", got, want)
		}
		<-ctx.Done()
		synctest.Wait()
		for _, e := range []event.Event{event.ViewStale, event.ViewCurrent} {
			if got, want := strings.Count(b.String(), e.Name), 1; got != want {
				t.Errorf("log lines %q: got %d, want %d", e.Name, got, want)
			}
		}
		if got := strings.Count(b.String(), event.ReadOverdue.Name); got == 0 {
			t.Errorf("log lines %q: got none", event.ReadOverdue.Name)
		}
	})
}
