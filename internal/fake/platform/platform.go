// Package platform is a small fake of the platform's store: rows in transactions, change feeds
// whose history can be compacted, and objects. It can be made unavailable or slow, lose answers,
// apply writes late, and be restored from a snapshot. It keeps everything in memory and speaks the
// published protocol.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/table"
)

// Faults selects the faults that the fake injects.
type Faults struct {
	DelayMilliseconds int  `json:"delayMilliseconds"` // delay of each answer
	Down              bool `json:"down"`              // every call is refused
	LateMilliseconds  int  `json:"lateMilliseconds"`  // delay after which a write whose answer is lost takes effect
	LoseAnswers       int  `json:"loseAnswers"`       // how many of the next writes take effect without an answer
}

// Counters count the calls that reached the store.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Platform is a fake of the platform's store. It is an http.Handler.
type Platform struct {
	mutex        sync.Mutex
	changed      chan struct{} // closed and replaced at each change
	lastSnapshot snapshot
	counters     Counters
	era          int64 // how often the store was restored from a snapshot
	faults       Faults
	compactedTo  int64 // feeds after a lower revision fail with status 410, because the history was dropped
	mux          *http.ServeMux
	objects      map[string][]byte
	revision     int64
	rows         map[string]table.Row // by table and key; removed ones stay as tombstones
	startedAt    time.Time
	fullReads    map[string]int // by table: number of reads from the first row
}

// maxBodyBytes bounds how much of a request's body is read.
const maxBodyBytes = 16 << 20

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		changed:   make(chan struct{}),
		mux:       http.NewServeMux(),
		objects:   make(map[string][]byte),
		rows:      make(map[string]table.Row),
		startedAt: time.Now(),
		fullReads: make(map[string]int),
	}
	p.mux.HandleFunc("GET /blob-get/{name}", p.getObject)
	p.mux.HandleFunc("PUT /blob-put/{name}", p.putObject)
	p.mux.HandleFunc("GET /rows-feed", p.getFeed)
	p.mux.HandleFunc("GET /rows-get", p.getRows)
	p.mux.HandleFunc("POST /rows-tx", p.postTransaction)
	p.mux.HandleFunc("GET /fake/counters", p.getCounters)
	p.mux.HandleFunc("PUT /fake/copy", func(http.ResponseWriter, *http.Request) { p.TakeSnapshot() })
	p.mux.HandleFunc("PUT /fake/faults", p.putFaults)
	p.mux.HandleFunc("PUT /fake/restore", func(http.ResponseWriter, *http.Request) { p.Restore() })
	p.mux.HandleFunc("PUT /fake/rows/{table}/{key}", p.putRow)
	return p
}

// Commit applies a transaction.
func (p *Platform) Commit(t *table.Transaction) table.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.commit(t)
}

// CompactHistory drops the history of changes, so that feeds that are behind must read the table
// again.
func (p *Platform) CompactHistory() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.compactedTo = p.revision
	for k, r := range p.rows {
		if r.Deleted {
			delete(p.rows, k)
		}
	}
	p.wakeFeeds()
}

// Counters returns how often the store was called.
func (p *Platform) Counters() Counters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counters
}

// FullReads returns how often a table was read from its first row.
func (p *Platform) FullReads(name string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fullReads[name]
}

// Put writes a row, as an operator or an engine would.
func (p *Platform) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	p.Commit(&table.Transaction{Writes: []table.Write{{Key: key, Value: b}}})
}

// Remove removes a row.
func (p *Platform) Remove(key string) {
	p.Commit(&table.Transaction{Writes: []table.Write{{Delete: true, Key: key}}})
}

// Row returns a row, or nil if there is none.
func (p *Platform) Row(key string) *table.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r, ok := p.rows[key]
	if !ok || r.Deleted {
		return nil
	}
	return &r
}

// ServeHTTP answers one call, subject to the injected faults. The calls of the fake itself, under
// /fake/, are exempt.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fake/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	p.mutex.Lock()
	f := p.faults
	lose := f.LoseAnswers > 0 && r.Method != http.MethodGet && !f.Down
	if lose {
		p.faults.LoseAnswers--
	}
	p.mutex.Unlock()
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	p.mutex.Lock()
	p.setEraHeader(w)
	p.mutex.Unlock()
	switch {
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case lose:
		p.applyWithoutAnswer(r, time.Duration(f.LateMilliseconds)*time.Millisecond)
	default:
		p.mux.ServeHTTP(w, r)
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	p.wakeFeeds()
}

// applyWithoutAnswer applies a write, after a delay if there is one, and aborts the connection
// without an answer.
func (p *Platform) applyWithoutAnswer(r *http.Request, delay time.Duration) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	c := r.Clone(r.Context())
	apply := func() {
		c.Body = io.NopCloser(strings.NewReader(string(b)))
		p.mux.ServeHTTP(&discardWriter{header: make(http.Header)}, c)
	}
	if delay > 0 {
		time.AfterFunc(delay, apply)
	} else {
		apply()
	}
	panic(http.ErrAbortHandler)
}

// commit applies a transaction; the lock is held.
func (p *Platform) commit(t *table.Transaction) table.Result {
	p.counters.Writes++
	if c := p.failedConditions(t.Conditions); len(c) > 0 {
		return table.Result{Current: c, Revision: p.revision}
	}
	p.revision++
	for _, w := range t.Writes {
		p.rows[w.Key] = table.Row{Deleted: w.Delete, Key: w.Key, Revision: p.revision, Value: w.Value}
	}
	p.wakeFeeds()
	return table.Result{Committed: true, Revision: p.revision}
}

// failedConditions returns nil if all conditions hold, and else the current rows of all of them;
// the lock is held.
func (p *Platform) failedConditions(c []table.Condition) []table.Row {
	var rows []table.Row
	ok := true
	for _, x := range c {
		r, exists := p.rows[x.Key]
		exists = exists && !r.Deleted
		if !exists {
			r = table.Row{Deleted: true, Key: x.Key}
		}
		ok = ok && (r.Revision == x.Revision)
		rows = append(rows, r)
	}
	if ok {
		return nil
	}
	return rows
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counters())
}

// now returns the platform's monotonic clock in milliseconds. It is not the time of day.
func (p *Platform) now() int64 { return 1 + time.Since(p.startedAt).Milliseconds() }

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// wakeFeeds wakes the waiting feeds; the lock is held.
func (p *Platform) wakeFeeds() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
