package configuration

import (
	"context"
	"math"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/periodic"
	"github.com/linetiller/linetiller/internal/resource"
)

// ViewStaleAfter is the age from which a view is not known to be current. A read of the store,
// passing its result on to another reader and the heartbeats within a hall take less than this
// together.
const ViewStaleAfter = 6 * time.Second

const (
	// minLateReadThreshold is how long after the end of its wait a read counts as late while the
	// store responds within a few milliseconds.
	minLateReadThreshold = 250 * time.Millisecond
	// viewAgeCheckInterval is the time between two checks of the age of the view.
	viewAgeCheckInterval = time.Second
)

// MonitorViewAge logs when the view is no longer known to be current, and when it is known to be
// current again, until the context ends.
func (f *Follower) MonitorViewAge(ctx context.Context) {
	stale := false
	periodic.Run(ctx, viewAgeCheckInterval, func(context.Context) {
		age := f.ViewAge()
		if stale == (age > ViewStaleAfter) {
			return
		}
		stale = !stale
		e := event.ViewCurrent
		if stale {
			e = event.ViewStale
		}
		e.Log(f.log, "age_ms", age.Milliseconds())
	})
}

// RecordPeerViewAge records the age of the view of another box. The caller has merged that box's
// revisions into this view. An age of 0 means that it is unknown.
func (f *Follower) RecordPeerViewAge(age time.Duration) {
	if at := time.Now().Add(-age); age > 0 && at.After(f.peerCurrentAt.get()) {
		f.peerCurrentAt.set(at)
	}
}

// ViewAge returns the time since the view was last known to hold everything that the platform's
// store had acknowledged, or 0 if it was never known to.
func (f *Follower) ViewAge() time.Duration {
	at := f.peerCurrentAt.get()
	if own := f.lastFullReadAt(); own.After(at) {
		at = own
	}
	if at.IsZero() {
		return 0
	}
	return max(1, time.Since(at))
}

// lastFullReadAt returns the time by which this box had a response from the store for every source
// that decides about requests: the oldest of their last reads. It is zero if one of them was never
// read. The list of boxes does not count.
func (f *Follower) lastFullReadAt() time.Time {
	var oldest time.Time
	for _, s := range f.sources {
		t := s.readAt.get()
		if s.name == resource.SourceBoxes {
			continue
		}
		if t.IsZero() {
			return t
		}
		if oldest.IsZero() || t.Before(oldest) {
			oldest = t
		}
	}
	return oldest
}

// recordLateRead counts and logs a read, begun at the given time, that is overdue.
func (f *Follower) recordLateRead(s *source, began time.Time) {
	f.metrics.Count(metric.PlatformOverdueReads, "source", string(s.name))
	event.ReadOverdue.Log(f.log, "source", string(s.name), "waited_ms", time.Since(began).Milliseconds())
}

// registerViewAge adds a gauge of the view's age to m. It is infinite while the age is unknown.
func (f *Follower) registerViewAge(m *metric.Set) {
	m.Gauge(metric.ViewAge, func() float64 {
		if age := f.ViewAge(); age > 0 {
			return age.Seconds()
		}
		return math.Inf(1)
	})
}
