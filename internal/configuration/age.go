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

// ViewStaleAfter is from which age on a view is not known to be current: a read, the news of one
// and the heartbeats of a hall take less together.
const ViewStaleAfter = 6 * time.Second

const (
	// minLateReadThreshold is how long after the end of its wait a read counts as late while the store
	// answers within some milliseconds.
	minLateReadThreshold = 250 * time.Millisecond
	// viewAgeCheckInterval is between two looks at the age of the view.
	viewAgeCheckInterval = time.Second
)

// ViewAge returns how long ago the view is known to have held all that the platform's store had
// acknowledged, 0 where it never was.
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

// RecordPeerViewAge records the age of the view of a box with whose revisions this one has caught up; 0
// is none.
func (f *Follower) RecordPeerViewAge(age time.Duration) {
	if at := time.Now().Add(-age); age > 0 && at.After(f.peerCurrentAt.get()) {
		f.peerCurrentAt.set(at)
	}
}

// MonitorViewAge logs when the view is no longer known to be current, and when it is again, until the
// context ends.
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

// registerViewAge has the age of the view told by a gauge of m.
func (f *Follower) registerViewAge(m *metric.Set) {
	m.Gauge(metric.ViewAge, func() float64 {
		if age := f.ViewAge(); age > 0 {
			return age.Seconds()
		}
		return math.Inf(1)
	})
}

// recordLateRead logs that a read which began at a time has not been answered in time.
func (f *Follower) recordLateRead(s *source, began time.Time) {
	f.metrics.Count(metric.PlatformLateReads, "source", string(s.name))
	event.ReadLate.Log(f.log, "source", string(s.name), "waited_ms", time.Since(began).Milliseconds())
}

// lastFullReadAt returns when this box last had an answer of the store about each source by which
// requests are decided, zero where one is lacking.
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
