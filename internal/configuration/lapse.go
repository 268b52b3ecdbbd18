package configuration

import (
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

// lapseWindow is how long after an outage of the store a removed entry may have been removed
// because it expired during the outage. The platform specifies two seconds.
const lapseWindow = 2500 * time.Millisecond

// addImpliedRemovals adds to a snapshot the removals of the upstreams that it lacks.
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

// markLapsed replaces removals of upstreams just after an outage of the store by lapsed entries,
// which stay in use for a while: the entries expired during the outage, and their upstreams may be
// alive and about to write them again. Removals in tentative batches, after a restore, are handled
// by the view.
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
		event.UpstreamEntryRemoved.Log(f.log, "upstream", x.Metadata.Name, "revision", c.Revision)
		*c = resource.Change{Resource: x, Revision: c.Revision}
	}
}
