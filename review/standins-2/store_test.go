package standins

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver,omitempty"`
	Gone    bool   `json:"gone,omitempty"`
}

// rowsAnswer is the store's answer to calls about rows.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"more"`
	Version int64 `json:"ver"`
	NowMS   int64 `json:"now_ms"`
}

// transaction is the body of a writing call.
type transaction struct {
	Expected []row `json:"expected_rev"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

// store is a stand-in for the platform's store that keeps to PROTOCOL.md: linearizable, nothing that it
// acknowledged is lost, at most 500 rows or 1 MB an answer, answerTime for each call.
type store struct {
	mutex   sync.Mutex
	changed chan struct{}
	rows    map[string]row // by table, part and key; removed ones stay, marked as gone
	version int64
	started time.Time

	// onRead is called with the table and the first key of each read of rows, before it is answered.
	onRead func(table, from string)
}

const (
	answerTime   = 4 * time.Millisecond
	maxRows      = 500
	maxRowsBytes = 1 << 20
)

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: make(map[string]row), started: time.Now(), onRead: func(string, string) {}}
}

func rowKey(r *row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator or an engine does, and returns when that was acknowledged.
func (s *store) put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	r := row{Table: table, Key: key, Value: b, Version: s.version}
	s.rows[rowKey(&r)] = r
	s.wake()
	return time.Now()
}

// remove removes a row as an engine or the operator does, and returns when that was acknowledged.
func (s *store) remove(table, key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	r := row{Table: table, Key: key, Version: s.version, Gone: true}
	s.rows[rowKey(&r)] = r
	s.wake()
	return time.Now()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return 1 + time.Since(s.started).Milliseconds() }

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	switch {
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/rows-tx" && r.Method == http.MethodPost:
		s.commit(w, b)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	table, part, from := r.FormValue("table"), r.FormValue("part"), r.FormValue("from")
	s.onRead(table, from)
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mutex.Lock()
	var l []row
	for _, x := range s.rows {
		if x.Table == table && x.Part == part && x.Key >= from && !x.Gone {
			l = append(l, x)
		}
	}
	a := rowsAnswer{Version: s.version, NowMS: s.now()}
	s.mutex.Unlock()
	slices.SortFunc(l, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(l) && n < limit && size < maxRowsBytes {
		size += 4*len(l[n].Value)/3 + len(l[n].Key) + 80
		n++
	}
	a.Rows, a.More = append([]row{}, l[:n]...), n < len(l)
	writeJSON(w, http.StatusOK, &a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	table := r.FormValue("table")
	after, _ := strconv.ParseInt(r.FormValue("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mutex.Lock()
		l := []row{}
		for _, x := range s.rows {
			if x.Table == table && x.Version > after {
				l = append(l, x)
			}
		}
		a := rowsAnswer{Rows: l, Version: s.version, NowMS: s.now()}
		c := s.changed
		s.mutex.Unlock()
		if len(l) > 0 || wait == 0 {
			slices.SortFunc(l, func(a, b row) int { return int(a.Version - b.Version) })
			writeJSON(w, http.StatusOK, &a)
			return
		}
		select {
		case <-c:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, body []byte) {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(slices.Clone(t.Put), t.Remove...) {
		if x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	a, status := rowsAnswer{Rows: []row{}}, http.StatusOK
	for _, c := range t.Expected {
		x, ok := s.rows[rowKey(&c)]
		ok = ok && !x.Gone
		if ok {
			a.Rows = append(a.Rows, x)
		}
		if (ok && x.Version != c.Version) || (!ok && c.Version != 0) {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		a.Rows = []row{}
		s.version++
		for _, x := range t.Put {
			x.Version = s.version
			s.rows[rowKey(&x)] = x
		}
		for _, x := range t.Remove {
			s.rows[rowKey(&x)] = row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Gone: true}
		}
		s.wake()
	}
	a.Version, a.NowMS = s.version, s.now()
	s.mutex.Unlock()
	writeJSON(w, status, &a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
