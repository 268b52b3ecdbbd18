package platform

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/table"
)

// wireRow is a row in the format of the protocol.
type wireRow struct {
	Deleted  bool   `json:"gone,omitempty"`
	Key      string `json:"key"`
	Part     string `json:"part"`
	Table    string `json:"table"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"ver,omitempty"`
}

// wireRows is the answer to a call about rows.
type wireRows struct {
	More     bool      `json:"more"`
	NowMS    int64     `json:"now_ms"`
	Rows     []wireRow `json:"rows"`
	Revision int64     `json:"ver"`
}

// wireTransaction is a transaction in the format of the protocol.
type wireTransaction struct {
	Expected []wireRow `json:"expected_rev"`
	Put      []wireRow `json:"put"`
	Remove   []wireRow `json:"remove"`
}

// maxRows bounds the rows of one answer, as the real platform does.
const maxRows = 500

// getFeed answers with the changes of a table after a revision. It waits up to wait_ms for one. It
// answers 410 if the history after that revision was dropped, or the store has not reached it.
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
	era := p.era
	p.setEraHeader(w)
	for {
		if p.era != era {
			panic(http.ErrAbortHandler)
		}
		if after < p.compactedTo || after > p.revision {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if p.faults.Down {
			panic(http.ErrAbortHandler)
		}
		if l := p.rowsAfter(r.FormValue("table"), after); len(l) > 0 || wait == 0 {
			writeJSON(w, wireRows{NowMS: p.now(), Rows: l, Revision: p.revision})
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

// getRows answers with a page of a table, ordered by key.
func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counters.Reads++
	p.setEraHeader(w)
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	name := r.FormValue("table")
	if r.FormValue("from") == "" {
		p.fullReads[name]++
	}
	l := p.rowsAfter(name, 0)
	l = slices.DeleteFunc(l, func(x wireRow) bool { return x.Deleted || x.Key < r.FormValue("from") })
	slices.SortFunc(l, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, wireRows{More: len(l) > limit, NowMS: p.now(), Rows: l[:min(limit, len(l))], Revision: p.revision})
}

// postTransaction applies a transaction. If a condition fails, it answers 412 with the current
// rows of the conditions.
func (p *Platform) postTransaction(w http.ResponseWriter, r *http.Request) {
	x := new(wireTransaction)
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t := new(table.Transaction)
	for _, c := range x.Expected {
		t.Conditions = append(t.Conditions, table.Condition{Key: c.Table + "/" + c.Key, Revision: c.Revision})
	}
	for _, v := range x.Put {
		t.Writes = append(t.Writes, table.Write{Key: v.Table + "/" + v.Key, Value: v.Value})
	}
	for _, v := range x.Remove {
		t.Writes = append(t.Writes, table.Write{Delete: true, Key: v.Table + "/" + v.Key})
	}
	p.mutex.Lock()
	p.setEraHeader(w)
	v := p.commit(t)
	p.mutex.Unlock()
	if v.Committed {
		writeJSON(w, wireRows{Rows: []wireRow{}, Revision: v.Revision})
		return
	}
	a := wireRows{Rows: []wireRow{}, Revision: v.Revision}
	for _, c := range v.Current {
		if !c.Deleted {
			a.Rows = append(a.Rows, toWire(c))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(a)
}

// putRow writes a row directly, for demonstrations.
func (p *Platform) putRow(_ http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	p.Commit(&table.Transaction{Writes: []table.Write{{Key: r.PathValue("table") + "/" + r.PathValue("key"), Value: b}}})
}

// rowsAfter returns the rows of a table written after a revision, in the order they were written;
// the lock is held.
func (p *Platform) rowsAfter(name string, after int64) []wireRow {
	l := []wireRow{}
	for k, r := range p.rows {
		if strings.HasPrefix(k, name+"/") && r.Revision > after {
			l = append(l, toWire(r))
		}
	}
	slices.SortFunc(l, func(a, b wireRow) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), strings.Compare(a.Key, b.Key))
	})
	return l
}

func toWire(r table.Row) wireRow {
	n, k, _ := strings.Cut(r.Key, "/")
	return wireRow{Deleted: r.Deleted, Key: k, Table: n, Value: r.Value, Revision: r.Revision}
}
