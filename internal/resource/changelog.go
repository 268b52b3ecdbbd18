package resource

// changeLog lists the latest changes of one source, so that those after a recent revision are
// found without a scan of all resources. It is guarded by the lock of View.
type changeLog struct {
	entries []loggedChange // in the order in which they were stored
	floor   int64          // changes up to this revision may be missing
}

// loggedChange says that a resource was changed at a revision of its source.
type loggedChange struct {
	key      string // kind and name
	revision int64
}

// maxLoggedChanges bounds the log of a source: at twice the number the older half is dropped. A box
// that is further behind gets its changes from a scan of all resources.
const maxLoggedChanges = 2048

// add records a change.
func (l *changeLog) add(key string, revision int64) {
	if revision <= l.floor {
		return
	}
	l.entries = append(l.entries, loggedChange{key, revision})
	if len(l.entries) < 2*maxLoggedChanges {
		return
	}
	for _, c := range l.entries[:maxLoggedChanges] {
		l.floor = max(l.floor, c.revision)
	}
	l.entries = append([]loggedChange(nil), l.entries[maxLoggedChanges:]...)
}

// after returns the keys of the resources that were changed after a revision, some of them more
// than once, and false if the log does not reach back to it.
func (l *changeLog) after(revision int64) (keys []string, ok bool) {
	if revision < l.floor {
		return nil, false
	}
	for _, c := range l.entries {
		if c.revision > revision {
			keys = append(keys, c.key)
		}
	}
	return keys, true
}
