package resource

// upstreamChanges lists the latest changes of upstreams by the version of the view that they led
// to. It is guarded by the lock of View.
type upstreamChanges struct {
	entries []loggedUpstream // by rising version
	floor   uint64           // changes up to this version may be missing
}

// loggedUpstream says that an upstream changed with a version of the view.
type loggedUpstream struct {
	name    string
	version uint64
}

// maxUpstreamChanges bounds the list: at twice the number the older half is dropped. Whoever is
// further behind has to look at all upstreams.
const maxUpstreamChanges = 2048

// add records the changes that led to a version.
func (l *upstreamChanges) add(names []string, version uint64) {
	for _, n := range names {
		l.entries = append(l.entries, loggedUpstream{n, version})
	}
	if len(l.entries) < 2*maxUpstreamChanges {
		return
	}
	dropped := len(l.entries) - maxUpstreamChanges
	l.floor = l.entries[dropped-1].version
	l.entries = append([]loggedUpstream(nil), l.entries[dropped:]...)
}

// addAll records that all upstreams may have changed with a version.
func (l *upstreamChanges) addAll(version uint64) {
	l.entries, l.floor = nil, version
}

// after returns the names of the upstreams that changed after a version, some of them more than
// once, and false if the list does not reach back to it.
func (l *upstreamChanges) after(version uint64) (names []string, ok bool) {
	if version < l.floor {
		return nil, false
	}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].version > version; i-- {
		names = append(names, l.entries[i].name)
	}
	return names, true
}
