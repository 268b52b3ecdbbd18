package engine

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/upstream"
)

// Server runs a Scheduler in real time behind the HTTP interface of an engine. It is an
// http.Handler; Close stops its loop and waits for it.
type Server struct {
	mutex         sync.Mutex
	cacheEvents   []upstream.CacheEvent
	closed        chan struct{}
	done          chan struct{}
	faults        Faults
	fence         int64
	loaded        map[string]string
	role          string
	instance      string
	leaving       bool
	loadReports   []upstream.Load // recent load reports, oldest first
	mux           *http.ServeMux
	startRequests int // including refused ones
	records       map[string]*record
	reportLag     time.Duration
	scheduler     *Scheduler
	settings      Settings
	stepMicros    int64
	wake          chan struct{}
}

// Faults selects the faults that the fake injects.
type Faults struct {
	CrossFrames       int  `json:"crossFrames"`   // how many of the next streams carry a frame of another generation
	CutAfter          int  `json:"cutAfter"`      // streams are cut after this many tokens; 0 is never
	DuplicateFrames   int  `json:"doubleFrames"`  // how many of the next streams carry every frame twice
	SkipFrames        int  `json:"skipFrames"`    // how many of the next streams leave out a token
	StallAfter        int  `json:"stallAfter"`    // streams stop without an end after this many tokens; 0 is never
	IgnoreFence       bool `json:"ignoreFence"`   // orders with an outdated fence are obeyed
	LoseStarts        int  `json:"loseStarts"`    // how many of the next starts take effect without an answer
	RefuseLeaving     bool `json:"refuseLeaving"` // starts are refused, and the load report says that the engine is leaving
	RetryAfterSeconds int  `json:"restSeconds"`   // starts are refused with this Retry-After; 0 is off
}

// record is a generation with the tokens it has produced.
type record struct {
	changed    chan struct{} // closed and replaced at each token
	finish     string
	generation *Generation
	readers    int
	texts      []string
	workspace  string
}

const (
	maxCacheEvents     = 256
	charactersPerToken = 4 // average of a prompt
	maxBodyBytes       = 16 << 20
	maxLoadReports     = 64
)

// NewServer returns a running engine whose load report lags by reportLag.
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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// StartRequests returns how many requests to start a generation arrived, including refused ones.
func (s *Server) StartRequests() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.startRequests
}

// StartedGenerations returns how many generations were started so far.
func (s *Server) StartedGenerations() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.records)
}

// Token returns the text of token i of a generation. It depends on the generation's ID, so that a
// stream mixed from two generations is detected.
func Token(generation string, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%d", generation, i)
	return fmt.Sprintf(" t%d.%04x", i, h.Sum32()&0xffff)
}

// loop runs scheduler steps while there is work, and waits otherwise.
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

// recordLoad appends the current load to the reports; the lock is held.
func (s *Server) recordLoad() {
	s.loadReports = append(s.loadReports, upstream.Load{
		AsOf: time.Now(), Instance: s.instance, KVTokens: s.settings.KVTokens,
		Preemptions: s.scheduler.Preemptions, Running: s.scheduler.RunningCount(),
		StepMicros: s.stepMicros, UsedTokens: s.scheduler.UsedTokens, Waiting: s.scheduler.WaitingCount(),
	})
	if len(s.loadReports) > maxLoadReports {
		s.loadReports = s.loadReports[1:]
	}
}

// recordToken appends a token to the record of g; the lock is held.
func (s *Server) recordToken(g *Generation, finished bool) {
	v := s.records[g.ID]
	if v.finish != "" {
		return
	}
	v.texts = append(v.texts, Token(g.ID, len(v.texts)))
	if !finished {
		v.signal()
		return
	}
	if g.ProducedTokens >= g.MaxOutputTokens {
		v.end(upstream.FinishLength)
		return
	}
	v.end(upstream.FinishStop)
}

// start submits a generation to the scheduler; the lock is held. It fails if the ID is in use or
// the prompt does not fit into the memory.
func (s *Server) start(v *upstream.Start) (*record, error) {
	if s.records[v.ID] != nil {
		return nil, fmt.Errorf("generation %q exists", v.ID)
	}
	g := &Generation{
		ID: v.ID, MaxOutputTokens: v.MaxTokens, OutputTokens: outputTokens(v.Prompt), Prefix: v.Prefix,
		Priority: v.Priority, PromptTokens: 1 + len(v.Prompt)/charactersPerToken,
	}
	if !s.scheduler.Submit(g) {
		return nil, fmt.Errorf("generation %q cannot fit", v.ID)
	}
	x := &record{changed: make(chan struct{}), generation: g, workspace: v.Workspace}
	s.records[v.ID] = x
	s.cacheEvents = append(s.cacheEvents, upstream.CacheEvent{Number: int64(len(s.records)), Prefix: v.Prefix, Stored: true})
	if len(s.cacheEvents) > maxCacheEvents {
		s.cacheEvents = s.cacheEvents[1:]
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return x, nil
}

// step runs one scheduler step, waits for its duration and then publishes its tokens. It reports
// false when the server is closed.
func (s *Server) step() bool {
	var updates []func()
	s.mutex.Lock()
	d := s.scheduler.Step(func(g *Generation, finished bool) {
		updates = append(updates, func() { s.recordToken(g, finished) })
	})
	s.mutex.Unlock()
	select {
	case <-s.closed:
		return false
	case <-time.After(d):
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, f := range updates {
		f()
	}
	s.stepMicros = d.Microseconds()
	s.recordLoad()
	return true
}

func (r *record) end(finish string) {
	r.finish = finish
	r.signal()
}

func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// outputTokens returns the output length of a prompt in tokens: N if the prompt contains
// "length=N", so that tests and demonstrations can choose it, or else a value derived from a hash
// of the prompt.
func outputTokens(prompt string) int {
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
