// Package platform is a small stand-in of the platform: a table with
// transactions, an object store and a list of boxes that lags, with switches
// for outage, slowness and lost answers. It keeps everything in memory.
package platform

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/platform"
)

// Faults are the switches of the stand-in.
type Faults struct {
	DelayMilliseconds int  `json:"delayMilliseconds"` // before each answer
	Down              bool `json:"down"`              // every call is refused
	ListLagSeconds    int  `json:"listLagSeconds"`    // of the list of boxes
	LoseAnswers       int  `json:"loseAnswers"`       // the next writes that take effect without an answer
}

// Counters count the calls that reached the table.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	mutex    sync.Mutex
	boxes    map[string]platform.Box
	counters Counters
	faults   Faults
	history  []listing // of the list of boxes, oldest first
	mux      *http.ServeMux
	now      func() time.Time
	objects  map[string][]byte
	revision int64
	rows     map[string]platform.Row
}

type listing struct {
	at    time.Time
	boxes []platform.Box
}

const maxBodyBytes = 16 << 20

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		boxes:   make(map[string]platform.Box),
		mux:     http.NewServeMux(),
		now:     time.Now,
		objects: make(map[string][]byte),
		rows:    make(map[string]platform.Row),
	}
	p.mux.HandleFunc("GET /v1/boxes", p.getBoxes)
	p.mux.HandleFunc("GET /v1/objects/{name}", p.getObject)
	p.mux.HandleFunc("PUT /v1/objects/{name}", p.putObject)
	p.mux.HandleFunc("GET /v1/table/changes", p.getChanges)
	p.mux.HandleFunc("GET /v1/table/row", p.getRow)
	p.mux.HandleFunc("POST /v1/table/transactions", p.postTransaction)
	p.mux.HandleFunc("GET /fake/counters", p.getCounters)
	p.mux.HandleFunc("PUT /fake/boxes/{name}", p.putBox)
	p.mux.HandleFunc("DELETE /fake/boxes/{name}", p.deleteBox)
	p.mux.HandleFunc("PUT /fake/faults", p.putFaults)
	return p
}

// Counters returns how often the table was called.
func (p *Platform) Counters() Counters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counters
}

// Row returns a row, or nil where none exists.
func (p *Platform) Row(key string) *platform.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	r, ok := p.rows[key]
	if !ok || r.Deleted {
		return nil
	}
	return &r
}

// ServeHTTP answers one call, under the faults that are switched on.
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
	switch {
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case lose:
		p.mux.ServeHTTP(&discard{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	default:
		p.mux.ServeHTTP(w, r)
	}
}

// SetBox enters a box into the list.
func (p *Platform) SetBox(b platform.Box) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.boxes[b.Name] = b
	p.record()
}

// SetFaults switches faults on and off.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
}

// Commit applies a transaction.
func (p *Platform) Commit(t *platform.Transaction) platform.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Writes++
	if c := p.broken(t.Conditions); len(c) > 0 {
		return platform.Result{Current: c, Revision: p.revision}
	}
	p.revision++
	for _, w := range t.Writes {
		p.rows[w.Key] = platform.Row{Deleted: w.Delete, Key: w.Key, Revision: p.revision, Value: w.Value}
	}
	return platform.Result{Committed: true, Revision: p.revision}
}

// broken returns the current rows of the conditions where one does not hold.
func (p *Platform) broken(c []platform.Condition) []platform.Row {
	var rows []platform.Row
	ok := true
	for _, x := range c {
		r, exists := p.rows[x.Key]
		exists = exists && !r.Deleted
		if !exists {
			r = platform.Row{Deleted: true, Key: x.Key}
		}
		ok = ok && (r.Revision == x.Revision)
		rows = append(rows, r)
	}
	if ok {
		return nil
	}
	return rows
}

func (p *Platform) deleteBox(_ http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.boxes, r.PathValue("name"))
	p.record()
}

func (p *Platform) getBoxes(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.now().Add(-time.Duration(p.faults.ListLagSeconds) * time.Second)
	l := []platform.Box{}
	for _, h := range p.history {
		if !h.at.After(t) {
			l = h.boxes
		}
	}
	answer(w, l)
}

func (p *Platform) getChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Reads++
	c := platform.Changes{Revision: p.revision, Rows: []platform.Row{}}
	for k, row := range p.rows {
		if strings.HasPrefix(k, r.FormValue("prefix")) && row.Revision > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	answer(w, c)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	answer(w, p.Counters())
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	b, ok := p.objects[r.PathValue("name")]
	p.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Reads++
	row, ok := p.rows[r.FormValue("key")]
	if !ok || row.Deleted {
		http.NotFound(w, r)
		return
	}
	answer(w, row)
}

func (p *Platform) postTransaction(w http.ResponseWriter, r *http.Request) {
	t := new(platform.Transaction)
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, p.Commit(t))
}

func (p *Platform) putBox(w http.ResponseWriter, r *http.Request) {
	var b platform.Box
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.Name = r.PathValue("name")
	p.SetBox(b)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.objects[r.PathValue("name")] = b
}

// record adds the list as it is now to its history.
func (p *Platform) record() {
	var l []platform.Box
	for _, b := range p.boxes {
		l = append(l, b)
	}
	slices.SortFunc(l, func(a, b platform.Box) int { return strings.Compare(a.Name, b.Name) })
	p.history = append(p.history, listing{at: p.now(), boxes: l})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// discard takes an answer that is to be lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
