// Package platform is a small stand-in of the platform's store: rows in
// transactions, feeds of changes whose history can be lost, and objects, with
// switches for outage, slowness, lost and late answers. It keeps everything in
// memory and speaks the published protocol.
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

	"github.com/linetiller/linetiller/internal/table"
)

// Faults are the switches of the stand-in.
type Faults struct {
	DelayMilliseconds int  `json:"delayMilliseconds"` // before each answer
	Down              bool `json:"down"`              // every call is refused
	LateMilliseconds  int  `json:"lateMilliseconds"`  // after which a write whose answer is lost takes effect
	LoseAnswers       int  `json:"loseAnswers"`       // the next writes that take effect without an answer
}

// Counters count the calls that reached the store.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	mutex    sync.Mutex
	changed  chan struct{} // closed at the next change
	counters Counters
	faults   Faults
	forgot   int64 // feeds that ask for changes after a lower revision are told that history is gone
	mux      *http.ServeMux
	objects  map[string][]byte
	revision int64
	rows     map[string]table.Row // by table and key; removed ones stay as marks
}

// wireRow is a row on the wire.
type wireRow struct {
	Gone  bool   `json:"gone,omitempty"`
	Key   string `json:"key"`
	Part  string `json:"part"`
	Table string `json:"table"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver,omitempty"`
}

// wireTransaction is a transaction on the wire.
type wireTransaction struct {
	Expected []wireRow `json:"expected_rev"`
	Put      []wireRow `json:"put"`
	Remove   []wireRow `json:"remove"`
}

type wireRows struct {
	More  bool      `json:"more"`
	NowMS int64     `json:"now_ms"`
	Rows  []wireRow `json:"rows"`
	Ver   int64     `json:"ver"`
}

const (
	maxBodyBytes = 16 << 20
	maxRows      = 500
)

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		changed: make(chan struct{}),
		mux:     http.NewServeMux(),
		objects: make(map[string][]byte),
		rows:    make(map[string]table.Row),
	}
	p.mux.HandleFunc("GET /blob-get/{name}", p.getObject)
	p.mux.HandleFunc("PUT /blob-put/{name}", p.putObject)
	p.mux.HandleFunc("GET /rows-feed", p.getFeed)
	p.mux.HandleFunc("GET /rows-get", p.getRows)
	p.mux.HandleFunc("POST /rows-tx", p.postTransaction)
	p.mux.HandleFunc("GET /fake/counters", p.getCounters)
	p.mux.HandleFunc("PUT /fake/faults", p.putFaults)
	p.mux.HandleFunc("PUT /fake/rows/{table}/{key}", p.putRow)
	return p
}

// Commit applies a transaction.
func (p *Platform) Commit(t *table.Transaction) table.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Writes++
	if c := p.broken(t.Conditions); len(c) > 0 {
		return table.Result{Current: c, Revision: p.revision}
	}
	p.revision++
	for _, w := range t.Writes {
		p.rows[w.Key] = table.Row{Deleted: w.Delete, Key: w.Key, Revision: p.revision, Value: w.Value}
	}
	p.signal()
	return table.Result{Committed: true, Revision: p.revision}
}

// Counters returns how often the store was called.
func (p *Platform) Counters() Counters {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counters
}

// ForgetHistory makes feeds that are behind start anew.
func (p *Platform) ForgetHistory() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.forgot = p.revision
	for k, r := range p.rows {
		if r.Deleted {
			delete(p.rows, k)
		}
	}
	p.signal()
}

// Put writes a row, as an operator or an engine does.
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

// Row returns a row, or nil where none exists.
func (p *Platform) Row(key string) *table.Row {
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
		p.lose(r, time.Duration(f.LateMilliseconds)*time.Millisecond)
	default:
		p.mux.ServeHTTP(w, r)
	}
}

// SetFaults switches faults on and off.
func (p *Platform) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	p.signal()
}

// broken returns the current rows of the conditions where one does not hold.
func (p *Platform) broken(c []table.Condition) []table.Row {
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
	answer(w, p.Counters())
}

// getFeed answers the changes of a table after a version, as soon as there are some.
func (p *Platform) getFeed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after_rev"), 10, 64)
	if err != nil {
		http.Error(w, "after_rev must be a number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Reads++
	for {
		if after < p.forgot {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if p.faults.Down {
			panic(http.ErrAbortHandler)
		}
		if l := p.since(r.FormValue("table"), after); len(l) > 0 || wait == 0 {
			answer(w, wireRows{Rows: l, Ver: p.revision})
			return
		}
		c := p.changed
		p.mutex.Unlock()
		select {
		case <-c:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		p.mutex.Lock()
	}
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

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Reads++
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	l := p.since(r.FormValue("table"), 0)
	l = slices.DeleteFunc(l, func(x wireRow) bool { return x.Gone || x.Key < r.FormValue("from") })
	slices.SortFunc(l, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	answer(w, wireRows{More: len(l) > limit, Rows: l[:min(limit, len(l))], Ver: p.revision})
}

// lose lets a write take effect, at once or later, and answers nothing.
func (p *Platform) lose(r *http.Request, late time.Duration) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	c := r.Clone(r.Context())
	do := func() {
		c.Body = io.NopCloser(strings.NewReader(string(b)))
		p.mux.ServeHTTP(&discard{header: make(http.Header)}, c)
	}
	if late > 0 {
		time.AfterFunc(late, do)
	} else {
		do()
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) postTransaction(w http.ResponseWriter, r *http.Request) {
	x := new(wireTransaction)
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t := new(table.Transaction)
	for _, c := range x.Expected {
		t.Conditions = append(t.Conditions, table.Condition{Key: c.Table + "/" + c.Key, Revision: c.Ver})
	}
	for _, v := range x.Put {
		t.Writes = append(t.Writes, table.Write{Key: v.Table + "/" + v.Key, Value: v.Value})
	}
	for _, v := range x.Remove {
		t.Writes = append(t.Writes, table.Write{Delete: true, Key: v.Table + "/" + v.Key})
	}
	v := p.Commit(t)
	if v.Committed {
		answer(w, wireRows{Rows: []wireRow{}, Ver: v.Revision})
		return
	}
	a := wireRows{Rows: []wireRow{}, Ver: v.Revision}
	for _, c := range v.Current {
		if !c.Deleted {
			a.Rows = append(a.Rows, wireOf(c))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(a)
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

// putRow writes a row, for the demonstration.
func (p *Platform) putRow(_ http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	p.Commit(&table.Transaction{Writes: []table.Write{{Key: r.PathValue("table") + "/" + r.PathValue("key"), Value: b}}})
}

// signal wakes the feeds; the lock is held.
func (p *Platform) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// since returns the rows of a table written after a revision, in its order; the
// lock is held.
func (p *Platform) since(name string, after int64) []wireRow {
	l := []wireRow{}
	for k, r := range p.rows {
		if strings.HasPrefix(k, name+"/") && r.Revision > after {
			l = append(l, wireOf(r))
		}
	}
	slices.SortFunc(l, func(a, b wireRow) int {
		return cmp.Or(cmp.Compare(a.Ver, b.Ver), strings.Compare(a.Key, b.Key))
	})
	return l
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func wireOf(r table.Row) wireRow {
	n, k, _ := strings.Cut(r.Key, "/")
	return wireRow{Gone: r.Deleted, Key: k, Table: n, Value: r.Value, Ver: r.Revision}
}

// discard takes an answer that is to be lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
