package configuration

import (
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

// lapseWindow is how long after the store's return a removal may be that of
// an entry which lapsed meanwhile: the platform says two seconds.
const lapseWindow = 2500 * time.Millisecond

// markLapsed keeps, for a moment, upstreams whose entries went while the store was
// away: they may live and be about to come back. The view does so by itself for what the
// store lacks since it came back from a copy.
func (f *Follower) markLapsed(s *source, b *resource.Batch) {
	if s.name != resource.SourceUpstreams || b.Tentative || time.Since(s.recoveredAt.get()) > lapseWindow {
		return
	}
	if b.Snapshot {
		f.addImpliedRemovals(b)
	}
	for i := range b.Changes {
		c := &b.Changes[i]
		old := f.view.Get(resource.KindUpstream, c.Resource.Metadata.Name)
		if !c.Deleted || old == nil {
			continue
		}
		x, err := resource.MarkLapsed(old, c.Revision)
		if err != nil {
			continue
		}
		event.UpstreamEntryGone.Log(f.log, "upstream", x.Metadata.Name, "revision", c.Revision)
		*c = resource.Change{Resource: x, Revision: c.Revision}
	}
}

// addImpliedRemovals adds to a whole batch the removals that it implies.
func (f *Follower) addImpliedRemovals(b *resource.Batch) {
	present := make(map[string]bool, len(b.Changes))
	for _, c := range b.Changes {
		present[c.Resource.Metadata.Name] = true
	}
	for _, x := range f.view.List(resource.KindUpstream) {
		if !present[x.Metadata.Name] && f.view.SourceOf(x) == b.Source {
			b.Changes = append(b.Changes, resource.Change{Deleted: true, Resource: x, Revision: b.Revision})
		}
	}
}
