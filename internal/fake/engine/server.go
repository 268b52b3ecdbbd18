package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/sse"
	"github.com/linetiller/linetiller/internal/upstream"
)

// Server runs a Scheduler in real time behind an engine's interface. It is an
// http.Handler; Close stops its loop and waits for it.
type Server struct {
	mutex      sync.Mutex
	cache      []upstream.CacheEvent
	closed     chan struct{}
	done       chan struct{}
	faults     Faults
	fence      int64
	loaded     map[string]string
	role       string
	instance   string
	leaving    bool
	loads      []upstream.Load // recent reports, oldest first
	mux        *http.ServeMux
	records    map[string]*record
	reportLag  time.Duration
	scheduler  *Scheduler
	settings   Settings
	stepMicros int64
	wake       chan struct{}
}

// Faults are the switches of the stand-in.
type Faults struct {
	CrossFrames   int  `json:"crossFrames"`   // the next streams that carry a frame of another generation
	CutAfter      int  `json:"cutAfter"`      // streams are cut after that many tokens; 0 is never
	DoubleFrames  int  `json:"doubleFrames"`  // the next streams that carry every frame twice
	SkipFrames    int  `json:"skipFrames"`    // the next streams that leave out a token
	StallAfter    int  `json:"stallAfter"`    // streams stop without an end after that many tokens
	IgnoreFence   bool `json:"ignoreFence"`   // orders with an old fence are obeyed
	LoseStarts    int  `json:"loseStarts"`    // the next starts that take effect without an answer
	RefuseLeaving bool `json:"refuseLeaving"` // starts are refused, as by an engine that leaves
}

// record is a generation with the tokens it has produced.
type record struct {
	changed    chan struct{} // closed at each token
	finish     string
	generation *Generation
	readers    int
	texts      []string
	workspace  string
}

const (
	cacheEventsKept = 256
	charactersToken = 4 // of a prompt, per token
	maxBodyBytes    = 16 << 20
	reportsKept     = 64
)

// NewServer returns a running engine whose load report is late by reportLag.
func NewServer(s Settings, reportLag time.Duration) *Server {
	v := &Server{
		closed:    make(chan struct{}),
		done:      make(chan struct{}),
		loaded:    make(map[string]string),
		instance:  strconv.FormatUint(rand.Uint64(), 36),
		mux:       http.NewServeMux(),
		records:   make(map[string]*record),
		reportLag: reportLag,
		scheduler: NewScheduler(s),
		settings:  s,
		wake:      make(chan struct{}, 1),
	}
	v.mux.HandleFunc("DELETE /v1/generations/{id}", v.deleteGeneration)
	v.mux.HandleFunc("GET /v1/cache/events", v.getCacheEvents)
	v.mux.HandleFunc("GET /v1/generations/{id}", v.getGeneration)
	v.mux.HandleFunc("GET /v1/generations/{id}/events", v.getEvents)
	v.mux.HandleFunc("GET /v1/load", v.getLoad)
	v.mux.HandleFunc("POST /v1/generations", v.postGeneration)
	v.mux.HandleFunc("POST /v1/orders", v.postOrder)
	v.mux.HandleFunc("GET /fake/started", v.getStarted)
	v.mux.HandleFunc("PUT /fake/faults", v.putFaults)
	go v.loop()
	return v
}

// Close stops the engine and waits for its loop.
func (s *Server) Close() error {
	close(s.closed)
	<-s.done
	return nil
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFaults switches faults on and off.
func (s *Server) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// Started returns how many generations were ever started.
func (s *Server) Started() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.records)
}

// Token returns the text of token i of the generation of a prompt. It depends
// on the generation, so that a splice of two runs shows.
func Token(generation string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", generation, i)
	return fmt.Sprintf(" t%d.%04x", i, h.Sum32()&0xffff)
}

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

// find returns the record that a request names, or answers that there is none;
// the lock is held.
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
	for _, e := range s.cache {
		if e.Number > after {
			l = append(l, e)
		}
	}
	answer(w, l)
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
	answer(w, upstream.Position{
		Generation: v.generation.ID,
		Produced:   len(v.texts),
		Readers:    v.readers,
		State:      string(v.generation.state),
		Workspace:  v.workspace,
	})
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := time.Now().Add(-s.reportLag)
	l := upstream.Load{AsOf: t, Instance: s.instance, KVTokens: s.settings.KVTokens}
	for _, x := range s.loads {
		if !x.AsOf.After(t) {
			l = x
		}
	}
	l.Leaving = s.leaving || s.faults.RefuseLeaving
	l.Loaded, l.Role = maps.Clone(s.loaded), s.role
	answer(w, l)
}

func (s *Server) getStarted(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Started())
}

// loop computes steps while there is work, and rests otherwise.
func (s *Server) loop() {
	defer close(s.done)
	for {
		s.mutex.Lock()
		idle := s.scheduler.Idle()
		s.mutex.Unlock()
		if idle {
			select {
			case <-s.closed:
				return
			case <-s.wake:
			}
			continue
		}
		if !s.step() {
			return
		}
	}
}

// step takes the time of a step first and then hands out its tokens.
func (s *Server) step() bool {
	var out []func()
	s.mutex.Lock()
	d := s.scheduler.Step(func(g *Generation, finished bool) {
		out = append(out, func() { s.produce(g, finished) })
	})
	s.mutex.Unlock()
	select {
	case <-s.closed:
		return false
	case <-time.After(d):
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, f := range out {
		f()
	}
	s.stepMicros = d.Microseconds()
	s.report()
	return true
}

func (s *Server) postGeneration(w http.ResponseWriter, r *http.Request) {
	var v upstream.Start
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&v); err != nil || v.ID == "" || v.MaxTokens < 1 {
		http.Error(w, "a generation needs an id and maxTokens", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
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

// produce records one token of g; the lock is held.
func (s *Server) produce(g *Generation, finished bool) {
	v := s.records[g.ID]
	if v.finish != "" {
		return
	}
	v.texts = append(v.texts, Token(g.ID, len(v.texts)))
	if !finished {
		v.signal()
		return
	}
	if g.Produced >= g.Max {
		v.end(upstream.FinishLength)
		return
	}
	v.end(upstream.FinishStop)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// report keeps the load as it is now; the lock is held.
func (s *Server) report() {
	s.loads = append(s.loads, upstream.Load{
		AsOf: time.Now(), Instance: s.instance, KVTokens: s.settings.KVTokens,
		Preemptions: s.scheduler.Preemptions, Running: s.scheduler.Running(),
		StepMicros: s.stepMicros, Used: s.scheduler.Used, Waiting: s.scheduler.Waiting(),
	})
	if len(s.loads) > reportsKept {
		s.loads = s.loads[1:]
	}
}

// start enters a generation; the lock is held.
func (s *Server) start(v *upstream.Start) (*record, error) {
	if s.records[v.ID] != nil {
		return nil, fmt.Errorf("generation %q exists", v.ID)
	}
	g := &Generation{
		ID: v.ID, Max: v.MaxTokens, Output: outputLength(v.Prompt), Prefix: v.Prefix,
		Priority: v.Priority, Prompt: 1 + len(v.Prompt)/charactersToken,
	}
	if !s.scheduler.Submit(g) {
		return nil, fmt.Errorf("generation %q cannot fit", v.ID)
	}
	x := &record{changed: make(chan struct{}), generation: g, workspace: v.Workspace}
	s.records[v.ID] = x
	s.cache = append(s.cache, upstream.CacheEvent{Number: int64(len(s.records)), Prefix: v.Prefix, Stored: true})
	if len(s.cache) > cacheEventsKept {
		s.cache = s.cache[1:]
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return x, nil
}

// stream writes v's events from a token index until its end or a fault.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, v *record, from int) {
	f := s.openReader(v)
	defer s.closeReader(v)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	_ = c.Flush()
	for i, sent := from, 0; ; {
		s.mutex.Lock()
		texts, finish, changed := v.texts, v.finish, v.changed
		s.mutex.Unlock()
		for ; i < len(texts); i++ {
			x := upstream.Frame{Generation: v.generation.ID, Index: i, Text: texts[i], Workspace: v.workspace}
			sent++
			writeFaulty(w, x, sent, &f)
			if s.breaks(r, c, sent, &f) {
				return
			}
		}
		if finish != "" {
			writeFrame(w, upstream.Frame{Finish: finish, Generation: v.generation.ID, Index: i, Workspace: v.workspace})
			return
		}
		_ = c.Flush()
		select {
		case <-changed:
		case <-s.closed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// breaks cuts the stream or stalls it where a fault says so, and reports whether
// it has ended.
func (s *Server) breaks(r *http.Request, c *http.ResponseController, sent int, f *Faults) bool {
	if f.CutAfter > 0 && sent >= f.CutAfter {
		_ = c.Flush()
		panic(http.ErrAbortHandler)
	}
	if f.StallAfter == 0 || sent < f.StallAfter {
		return false
	}
	_ = c.Flush()
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	return true
}

func (s *Server) closeReader(v *record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v.readers--
}

// openReader counts a reader of v and returns the faults that its stream has.
func (s *Server) openReader(v *record) Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.faults
	s.faults.CrossFrames = max(0, f.CrossFrames-1)
	s.faults.DoubleFrames = max(0, f.DoubleFrames-1)
	s.faults.SkipFrames = max(0, f.SkipFrames-1)
	v.readers++
	return f
}

func (r *record) end(finish string) {
	r.finish = finish
	r.signal()
}

func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// outputLength reads a length from a prompt that ends in "length=N", so that
// tests and demonstrations can choose it; others draw one from their text.
func outputLength(prompt string) int {
	if _, n, ok := strings.Cut(prompt, "length="); ok {
		f := strings.Fields(n)
		if len(f) > 0 {
			if v, err := strconv.Atoi(strings.TrimRight(f[0], ".,\"}]\\n")); err == nil && v > 0 {
				return v
			}
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return 20 + int(h.Sum32()%200)
}

func writeFrame(w io.Writer, f upstream.Frame) {
	b, _ := json.Marshal(f)
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: b}))
}

// writeFaulty writes the frame that is the sent-th of its stream, crossed, doubled
// or left out where a fault says so.
func writeFaulty(w io.Writer, x upstream.Frame, sent int, f *Faults) {
	const faultyFrame = 3
	if f.CrossFrames > 0 && sent == faultyFrame {
		x.Generation = "another"
	}
	if f.SkipFrames > 0 && sent == faultyFrame {
		return
	}
	writeFrame(w, x)
	if f.DoubleFrames > 0 {
		writeFrame(w, x)
	}
}
