package resource

// leavingNotices holds the announcements of upstreams that they are leaving. It is guarded by the
// lock of View.
type leavingNotices struct {
	startedAtMS map[string]int64 // by name: start time of the process that announced it, in Unix milliseconds
	unlisted    []string         // announced names that are not listed, oldest notice first
}

// maxUnlisted bounds the notices kept for upstreams that are not listed. They are kept because an
// entry may disappear during an outage of the store and return afterwards.
const maxUnlisted = 4096

func newLeavingNotices() leavingNotices {
	return leavingNotices{startedAtMS: make(map[string]int64)}
}

// markUnlisted notes that an upstream has no entry, and drops the oldest such notice if there
// are more than maxUnlisted.
func (l *leavingNotices) markUnlisted(name string, listed map[string]*Upstream) {
	if _, announced := l.startedAtMS[name]; !announced {
		return
	}
	l.unlisted = append(l.unlisted, name)
	if len(l.unlisted) <= maxUnlisted {
		return
	}
	oldest := l.unlisted[0]
	l.unlisted = l.unlisted[1:]
	if listed[oldest] == nil {
		delete(l.startedAtMS, oldest)
	}
}

// record stores the announcement of an upstream whose process started at startedAtMS (Unix
// milliseconds). The upstream is listed as u, or unlisted if u is nil. record reports whether the
// announcement changes the state of a listed upstream.
func (l *leavingNotices) record(name string, startedAtMS int64, u *Upstream) bool {
	if announcedMS, recorded := l.startedAtMS[name]; (recorded && announcedMS >= startedAtMS) || (u != nil && u.Spec.StartedAtMS > startedAtMS) {
		return false
	}
	l.startedAtMS[name] = startedAtMS
	return u != nil && !u.IsLeaving()
}

// stillLeaving reports whether an upstream's announcement that it is leaving is still valid once
// its entry has spec s; before is the upstream as listed until then, or nil. An announcement is
// valid for one process, so that a later start revokes it. Operators may withdraw a declared
// departure; upstreams may not.
func (l *leavingNotices) stillLeaving(name string, before *Upstream, s *UpstreamSpec, source Source) bool {
	if source == SourceUpstreams && s.Leaving {
		l.startedAtMS[name] = max(l.startedAtMS[name], s.StartedAtMS) // the upstream writes its own entry
		return true
	}
	announcedMS, announced := l.startedAtMS[name]
	withdrawn := source == SourceResources && before != nil && before.Spec.Leaving && !s.Leaving
	if announced && (s.StartedAtMS > announcedMS || withdrawn) {
		delete(l.startedAtMS, name)
		return false
	}
	return announced
}
