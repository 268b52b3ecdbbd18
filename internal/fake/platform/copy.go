package platform

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/linetiller/linetiller/internal/table"
)

// headerEra tells in every answer how often the store came back from a copy.
const headerEra = "Store-Era"

// snapshot is what a copy of the store holds.
type snapshot struct {
	objects  map[string][]byte
	revision int64
	rows     map[string]table.Row
}

// TakeSnapshot takes a copy of the store. The store may come back from it.
func (p *Platform) TakeSnapshot() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastSnapshot = snapshot{objects: maps.Clone(p.objects), revision: p.revision, rows: maps.Clone(p.rows)}
}

// Era returns how often the store came back from a copy.
func (p *Platform) Era() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.era
}

// Restore brings the store back from its newest copy: what was written since is gone, its
// revisions are given out again, and calls that wait end without an answer.
func (p *Platform) Restore() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.era++
	p.objects, p.revision, p.rows = maps.Clone(p.lastSnapshot.objects), p.lastSnapshot.revision, maps.Clone(p.lastSnapshot.rows)
	p.compactedTo = min(p.compactedTo, p.revision)
	p.wakeFeeds()
}

// setEraHeader sets the header of the era; the lock is held.
func (p *Platform) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatInt(p.era, 10))
}
