package platform

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/linetiller/linetiller/internal/table"
)

// headerEra is the header that states in every answer how often the store was restored.
const headerEra = "Store-Era"

// snapshot is a copy of the store's contents.
type snapshot struct {
	objects  map[string][]byte
	revision int64
	rows     map[string]table.Row
}

// Era returns how often the store was restored from a snapshot.
func (p *Platform) Era() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.era
}

// Restore replaces the store's contents with the latest snapshot: later writes are lost, their
// revisions are assigned again, and waiting calls end without an answer.
func (p *Platform) Restore() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.era++
	p.objects, p.revision, p.rows = maps.Clone(p.lastSnapshot.objects), p.lastSnapshot.revision, maps.Clone(p.lastSnapshot.rows)
	p.compactedTo = min(p.compactedTo, p.revision)
	p.wakeFeeds()
}

// TakeSnapshot takes the snapshot that Restore goes back to.
func (p *Platform) TakeSnapshot() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastSnapshot = snapshot{objects: maps.Clone(p.objects), revision: p.revision, rows: maps.Clone(p.rows)}
}

// setEraHeader sets the Store-Era header; the lock is held.
func (p *Platform) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatInt(p.era, 10))
}
