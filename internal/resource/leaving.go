package resource

// leavingNotices are what upstreams told themselves: that they are leaving. View's lock guards
// them.
type leavingNotices struct {
	startedAt map[string]int64 // by name: of the start that told
	unlisted  []string         // names that told and are not listed, the one that is longest not first
}

// maxUnlisted bounds the words that are remembered of upstreams which are not listed: their
// entries may go while the store is away, and come back with it.
const maxUnlisted = 4096

// newLeavingNotices returns no words.
func newLeavingNotices() leavingNotices {
	return leavingNotices{startedAt: make(map[string]int64)}
}

// stillLeaving reports whether an upstream whose new entry has a spec leaves by its own word; before
// is the upstream as it was listed, or nil. A word is of one start; and operators may take
// back what they declared, which upstreams do not.
func (l *leavingNotices) stillLeaving(name string, before *Upstream, s *UpstreamSpec, source Source) bool {
	if source == SourceUpstreams && s.Leaving {
		l.startedAt[name] = max(l.startedAt[name], s.Born) // an upstream writes its entry itself
		return true
	}
	born, announced := l.startedAt[name]
	withdrawn := source == SourceResources && before != nil && before.Spec.Leaving && !s.Leaving
	if announced && (s.Born > born || withdrawn) {
		delete(l.startedAt, name)
		return false
	}
	return announced
}

// record takes in the word of an upstream, which is listed as u or not at all, and reports
// whether that changes what is known of a listed one.
func (l *leavingNotices) record(name string, born int64, u *Upstream) bool {
	if b, recorded := l.startedAt[name]; (recorded && b >= born) || (u != nil && u.Spec.Born > born) {
		return false
	}
	l.startedAt[name] = born
	return u != nil && !u.IsLeaving()
}

// markUnlisted takes in that an upstream is not listed, or not any more.
func (l *leavingNotices) markUnlisted(name string, listed map[string]*Upstream) {
	if _, announced := l.startedAt[name]; !announced {
		return
	}
	l.unlisted = append(l.unlisted, name)
	if len(l.unlisted) <= maxUnlisted {
		return
	}
	oldest := l.unlisted[0]
	l.unlisted = l.unlisted[1:]
	if listed[oldest] == nil {
		delete(l.startedAt, oldest)
	}
}
