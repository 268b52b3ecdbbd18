package linetiller

import (
	"sync"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/platform"
)

// ignoredRows remembers which rows of the list of upstreams were ignored, so that each revision of
// a row is counted and logged only once, however often the list is read.
type ignoredRows struct {
	mutex     sync.Mutex
	revisions map[string]int64 // by key
}

// maxIgnoredRows limits the number of rows that are remembered. When it is reached, all are dropped
// and counted again at the next read.
const maxIgnoredRows = 1024

// recordIgnoredRow counts and logs a row of the list of upstreams that does not describe an
// upstream.
func (b *Box) recordIgnoredRow(r platform.IgnoredRow) {
	if !b.ignored.add(r.Key, r.Revision) {
		return
	}
	b.metrics.Count(metric.RowsIgnored, "reason", string(r.Reason))
	event.RowIgnored.Log(b.log, "key", r.Key, "revision", r.Revision, "reason", string(r.Reason))
}

// add records a row and reports whether it is new at this revision.
func (i *ignoredRows) add(key string, revision int64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if last, ok := i.revisions[key]; ok && last == revision {
		return false
	}
	if i.revisions == nil || len(i.revisions) >= maxIgnoredRows {
		i.revisions = make(map[string]int64)
	}
	i.revisions[key] = revision
	return true
}
