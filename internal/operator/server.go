// Package operator provides the HTTP interface for operators, and its client. Operators declare
// resources, and watch until these are in force at every box.
//
//	GET    /v1/resources/KIND            lists the resources of a kind
//	GET    /v1/resources/KIND/NAME       returns a resource with its status
//	PUT    /v1/resources/KIND/NAME       creates or replaces a resource; If-Match names the version to replace
//	DELETE /v1/resources/KIND/NAME       removes a resource; If-Match names the version to remove
//	GET    /v1/watch?after=VERSION&kind= streams the changes after a version as newline-delimited JSON
//
// The response to a write is sent once the write is committed in the platform's table.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/configuration"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/revision"
	"github.com/linetiller/linetiller/internal/table"
)

// Server serves the operator interface. It is an http.Handler.
type Server struct {
	// Commit applies a transaction to the table.
	Commit func(ctx context.Context, t *table.Transaction) (*table.Result, error)
	// Era returns the era of the store as this box knows it, and when this box learned that the
	// store was restored from a backup. The time is zero if it never was.
	Era func() (era int64, since time.Time)
	// Get reads a row of the table. It returns nil if the row does not exist.
	Get func(ctx context.Context, key string) (*table.Row, error)
	// InForce returns the revisions that the boxes of each hall have in force.
	InForce func(ctx context.Context) []box.HallRevisions
	// Refresh updates the view from the table.
	Refresh func(ctx context.Context) error

	endWatches   sync.Once
	keyHash      string
	log          *slog.Logger
	metrics      *metric.Set
	mux          *http.ServeMux
	view         *resource.View
	watchesEnded chan struct{} // closed by EndWatches
}

const (
	bookmarkInterval = 5 * time.Second // between two bookmarks of a watch
	maxBodyBytes     = 256 << 10
	// restoreGracePeriod is how long writes are refused after the store was restored from a backup,
	// so that boxes can first write back the rows that it lost.
	restoreGracePeriod = 5 * time.Second
	maxCommitAttempts  = 5
	commitBackoff      = 100 * time.Millisecond // doubled with each attempt, from 200 ms after the first
	statusTimeout      = 2 * time.Second        // for collecting the revisions in force at all boxes
)

// New returns a server of the resources in v. If keyHash is not empty, requests must carry the
// bearer key that has this SHA-256 hash. Commit, Get, InForce and Refresh must be set before
// the first request.
func New(v *resource.View, m *metric.Set, l *slog.Logger, keyHash string) *Server {
	s := &Server{Era: func() (int64, time.Time) { return 0, time.Time{} }, keyHash: keyHash, log: l, metrics: m, mux: http.NewServeMux(), view: v, watchesEnded: make(chan struct{})}
	s.mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", s.deleteResource)
	s.mux.HandleFunc("GET /v1/resources/{kind}", s.getList)
	s.mux.HandleFunc("GET /v1/resources/{kind}/{name}", s.getResource)
	s.mux.HandleFunc("GET /v1/watch", s.getWatch)
	s.mux.HandleFunc("PUT /v1/resources/{kind}/{name}", s.putResource)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, http.StatusNotFound, &Problem{Code: "path_unknown", Message: r.Method + " " + r.URL.Path + " is not served"})
	})
	return s
}

// EndWatches ends the watches in progress and those that begin later, which would otherwise delay the shutdown of
// their HTTP server.
func (s *Server) EndWatches() {
	s.endWatches.Do(func() { close(s.watchesEnded) })
}

// ServeHTTP checks the operators' key and serves the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.keyHash != "" {
		k := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(resource.HashKey(k)), []byte(s.keyHash)) != 1 {
			s.refuse(w, http.StatusUnauthorized, &Problem{Code: "operator_key_unknown", Message: "the Authorization header must carry the operators' key"})
			return
		}
	}
	s.mux.ServeHTTP(w, r)
}

// checkIfMatch compares the If-Match header with the current version of the resource; old is nil if
// there is none. If they differ, it responds with a conflict and returns false.
func (s *Server) checkIfMatch(w http.ResponseWriter, r *http.Request, old *resource.Resource) bool {
	m := strings.Trim(r.Header.Get("If-Match"), `"`)
	if m == "" || (old != nil && (m == "*" || m == old.Metadata.ResourceVersion)) {
		return true
	}
	s.refuse(w, http.StatusConflict, &Problem{Code: "stale_version", Current: old, Message: "the resource has changed since version " + m})
	return false
}

func (s *Server) deleteResource(w http.ResponseWriter, r *http.Request) {
	k, n := resource.Kind(r.PathValue("kind")), r.PathValue("name")
	row, old, err := s.readRow(r.Context(), k, n)
	if err != nil {
		s.refuseTableError(w, err)
		return
	}
	if old == nil {
		s.refuse(w, http.StatusNotFound, &Problem{Code: "resource_unknown", Message: string(k) + " " + n + " does not exist"})
		return
	}
	if !s.checkIfMatch(w, r, old) {
		return
	}
	if l := s.referrers(k, n); len(l) > 0 {
		s.refuse(w, http.StatusConflict, &Problem{Code: "resource_used", Message: "still named by " + strings.Join(l, ", ")})
		return
	}
	s.writeResource(w, r, row, &configuration.ResourceRow{Deleted: true, Resource: old})
}

func (s *Server) getList(w http.ResponseWriter, r *http.Request) {
	// The revision is read before the resources, so that a watch from this revision repeats a
	// change made in between instead of missing it.
	v := strconv.FormatInt(s.view.Revision(), 10)
	l := s.view.List(resource.Kind(r.PathValue("kind")))
	if l == nil {
		l = []*resource.Resource{}
	}
	writeJSON(w, http.StatusOK, &List{Items: l, Revision: v})
}

func (s *Server) getResource(w http.ResponseWriter, r *http.Request) {
	k, n := resource.Kind(r.PathValue("kind")), r.PathValue("name")
	x := s.view.Get(k, n)
	if x == nil {
		s.refuse(w, http.StatusNotFound, &Problem{Code: "resource_unknown", Message: string(k) + " " + n + " does not exist"})
		return
	}
	c := *x
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	c.Status = statusOf(&c, s.InForce(ctx), time.Now())
	w.Header().Set("ETag", strconv.Quote(c.Metadata.ResourceVersion))
	writeJSON(w, http.StatusOK, &c)
}

// getWatch streams the changes after a version and then each new one, with a bookmark every
// bookmarkInterval, until the client disconnects.
func (s *Server) getWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		s.refuse(w, http.StatusBadRequest, &Problem{Code: "bad_version", Message: "after must be a version"})
		return
	}
	k := resource.Kind(r.FormValue("kind"))
	w.Header().Set("Content-Type", "application/x-ndjson")
	c, e := http.NewResponseController(w), json.NewEncoder(w)
	t := time.NewTicker(bookmarkInterval)
	defer t.Stop()
	for {
		changed := s.view.Changed()
		l, newest := s.view.Since(after)
		for i := range l {
			if x := &l[i]; k == "" || x.Resource.Kind == k {
				_ = e.Encode(watchEvent(x))
			}
		}
		after = max(after, newest)
		if c.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.watchesEnded:
			return
		case <-t.C:
			_ = e.Encode(&WatchEvent{Revision: strconv.FormatInt(after, 10), Type: WatchBookmark})
		}
	}
}

func (s *Server) putResource(w http.ResponseWriter, r *http.Request) {
	x, p := readResource(w, r)
	if p != nil {
		s.refuse(w, http.StatusUnprocessableEntity, p)
		return
	}
	f := append(resource.Check(x), s.view.CheckReferences(x)...)
	if len(f) > 0 {
		s.refuse(w, http.StatusUnprocessableEntity, &Problem{Code: "bad_resource", Faults: f, Message: f.Error()})
		return
	}
	row, old, err := s.readRow(r.Context(), x.Kind, x.Metadata.Name)
	if err != nil {
		s.refuseTableError(w, err)
		return
	}
	if !s.checkIfMatch(w, r, old) {
		return
	}
	x.Metadata.Generation = 1
	if old != nil {
		x.Metadata.Generation = old.Metadata.Generation
		if sameJSON(old.Spec, x.Spec) {
			writeJSON(w, http.StatusOK, old)
			return
		}
		x.Metadata.Generation++
	}
	s.writeResource(w, r, row, &configuration.ResourceRow{Resource: x})
}

// referrers returns the kind and name of each resource that references the given one.
func (s *Server) referrers(k resource.Kind, name string) []string {
	var l []string
	for _, x := range s.view.List("") {
		for _, f := range resource.References(x) {
			if f.Kind == k && f.Name == name {
				l = append(l, string(x.Kind)+" "+x.Metadata.Name)
			}
		}
	}
	return l
}

func (s *Server) refuse(w http.ResponseWriter, status int, p *Problem) {
	s.metrics.Count(metric.Refusals, "reason", p.Code)
	event.ResourceRefused.Log(s.log, "reason", p.Code, "message", p.Message)
	writeJSON(w, status, p)
}

func (s *Server) refuseTableError(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	p := &Problem{Code: fail.Reason(err), Message: err.Error()}
	if errorx.IsOfType(err, fail.Unknown) {
		p.Message = "it is not known whether the write took effect; read the resource before writing again: " + p.Message
	}
	s.refuse(w, http.StatusServiceUnavailable, p)
}

// writeResource replaces row, as read before, by v and responds with the resource as stored. It reads the era of
// the store only after row was read, since that read may have revealed that the store was restored from
// a backup. If the era changes during the commit, the outcome is unknown.
func (s *Server) writeResource(w http.ResponseWriter, r *http.Request, row *table.Row, v *configuration.ResourceRow) {
	era, since := s.Era()
	if !since.IsZero() && time.Since(since) < restoreGracePeriod {
		s.refuseTableError(w, storeRestoredError(fail.Unavailable, "the store was restored from a backup, and boxes are writing back what it lost"))
		return
	}
	v.WriteID = rand.Text()
	v.Resource.Status = nil
	v.Resource.Metadata.ResourceVersion = ""
	other, at, err := s.commit(r.Context(), row.Key, row.Revision, v)
	if err == nil && other == nil && revision.Era(at) != era {
		err = storeRestoredError(fail.Unknown, "the store was restored meanwhile")
	}
	if err != nil {
		s.refuseTableError(w, err)
		return
	}
	if other != nil {
		o := new(configuration.ResourceRow)
		_ = json.Unmarshal(other.Value, o)
		p := &Problem{Code: "raced", Message: "another write came first"}
		if o.Resource != nil && !o.Deleted {
			p.Current = configuration.WithRevision(o.Resource, other.Revision)
		}
		s.refuse(w, http.StatusConflict, p)
		return
	}
	event.ResourceWritten.Log(s.log, "kind", v.Resource.Kind, "name", v.Resource.Metadata.Name, "revision", revision.Version(at), "deleted", v.Deleted)
	_ = s.Refresh(r.Context())
	writeJSON(w, http.StatusOK, configuration.WithRevision(v.Resource, at))
}

// storeRestoredError returns the error of a write that coincides with a restore of the store from a
// backup.
func storeRestoredError(t *errorx.Type, message string) error {
	return fail.New(t, fail.Origin{Peer: "platform", Step: "write resource"}, "platform_restored", "%s", message)
}

// readResource decodes the resource in the body and checks that its kind and name are those of the
// path.
func readResource(w http.ResponseWriter, r *http.Request) (*resource.Resource, *Problem) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, &Problem{Code: "body_too_large", Message: err.Error()}
	}
	x := new(resource.Resource)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(x); err != nil {
		return nil, &Problem{Code: "bad_json", Message: err.Error()}
	}
	var f resource.Faults
	if string(x.Kind) != r.PathValue("kind") {
		f = append(f, resource.Fault{Field: "kind", Message: "differs from the path's"})
	}
	if x.Metadata.Name != r.PathValue("name") {
		f = append(f, resource.Fault{Field: "metadata.name", Message: "differs from the path's"})
	}
	if len(f) > 0 {
		return nil, &Problem{Code: "bad_resource", Faults: f, Message: f.Error()}
	}
	return x, nil
}

// sameJSON reports whether a and b are equal apart from white space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
