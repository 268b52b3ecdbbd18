package engine

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/upstream"
)

func (s *Server) deleteGeneration(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.find(w, r)
	if v == nil {
		return
	}
	if s.scheduler.Cancel(v.generation.ID) {
		v.end(upstream.FinishCancelled)
	}
}

// find returns the record of the generation in the path, or answers 404 and returns nil; the lock
// is held.
func (s *Server) find(w http.ResponseWriter, r *http.Request) *record {
	v := s.records[r.PathValue("id")]
	if v == nil {
		http.NotFound(w, r)
	}
	return v
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := []upstream.CacheEvent{}
	for _, e := range s.cacheEvents {
		if e.Number > after {
			l = append(l, e)
		}
	}
	writeJSON(w, l)
}

func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a token index", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	v := s.records[r.PathValue("id")]
	s.mutex.Unlock()
	if v == nil {
		http.NotFound(w, r)
		return
	}
	s.stream(w, r, v, from)
}

func (s *Server) getGeneration(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.find(w, r)
	if v == nil {
		return
	}
	writeJSON(w, upstream.Position{
		Generation:     v.generation.ID,
		ProducedTokens: len(v.texts),
		Readers:        v.readers,
		State:          string(v.generation.state),
		Workspace:      v.workspace,
	})
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := time.Now().Add(-s.reportLag)
	l := upstream.Load{AsOf: t, Instance: s.instance, KVTokens: s.settings.KVTokens}
	for _, x := range s.loadReports {
		if !x.AsOf.After(t) {
			l = x
		}
	}
	l.Leaving = s.leaving || s.faults.RefuseLeaving
	l.LoadedVersions, l.Role = maps.Clone(s.loaded), s.role
	writeJSON(w, l)
}

func (s *Server) getStarted(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.StartedGenerations())
}

func (s *Server) postGeneration(w http.ResponseWriter, r *http.Request) {
	var v upstream.Start
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&v); err != nil || v.ID == "" || v.MaxTokens < 1 {
		http.Error(w, "a generation needs an id and maxTokens", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.startRequests++
	if retryAfter := s.faults.RetryAfterSeconds; retryAfter > 0 {
		s.mutex.Unlock()
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if s.leaving || s.faults.RefuseLeaving {
		s.mutex.Unlock()
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	x, err := s.start(&v)
	lose := err == nil && s.faults.LoseStarts > 0
	if lose {
		s.faults.LoseStarts--
	}
	s.mutex.Unlock()
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		s.stream(w, r, x, 0)
	}
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o.Fence < s.fence && !s.faults.IgnoreFence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Kind {
	case upstream.OrderLoad:
		s.loaded[o.Model] = o.Version
	case upstream.OrderRole:
		s.role, s.leaving = o.Role, o.Role == upstream.RoleLeaving
	case upstream.OrderUnload:
		delete(s.loaded, o.Model)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
