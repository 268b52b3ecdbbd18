package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// callers send requests through the boxes and check every answer.
type callers struct {
	violations     []string       // descriptions of violated guarantees
	statusCounts   map[string]int // number of answers by status
	http           *http.Client
	mutex          sync.Mutex // guards atMostOnce, dispatches, leavingNotices, partPeriods, refused, silenceCounts, statusCounts and violations
	leavingNotices []leavingNotice
	refused        []string            // IDs of requests that were answered as not run
	dispatches     map[string]dispatch // by request ID
	atMostOnce     []string            // IDs of requests that may run at most once
	cluster        *cluster
	partPeriods    []*partPeriod
	silenceCounts  silenceCounts
	linkCuts       []*linkCut // only used by the goroutine of runLinkCuts until it has ended
}

// callerRequest is a request as its caller sent it.
type callerRequest struct {
	id, path, method string
	body             string
	events           int    // number of events received
	parts            string // parts of its prompt as the header lists them; "" for none
	quarantined      bool   // it was refused because upstreams had crashed under such requests
	lastEvent        int    // the last event that the caller has when it resumes a stream; 0 for none
	resumable        bool   // streams of its route may be resumed
	status           int    // status of its answer; 0 for none
	tokens           int    // length of the stream in tokens; 0 if the answer is not a stream
	routeRemoved     bool   // its route was removed from the configuration, so 404 is correct
}

// Paths of requests.
const (
	oftenPath = "/often/x" // a call that may be repeated
	planPath  = "/plan/x"  // a stream that may not be resumed
)

// maxAttempts is how often a caller sends a request, including the first time and resumptions.
const maxAttempts = 5

func newCallers(w *cluster) *callers {
	return &callers{statusCounts: make(map[string]int), dispatches: make(map[string]dispatch), http: &http.Client{Transport: transport()}, cluster: w}
}

// addViolation records a violation of a guarantee.
func (c *callers) addViolation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// call sends one request, checks its answer, and reports whether it was served in full.
func (c *callers) call(ctx context.Context, box *soakBox, s *callerRequest) (served bool) {
	q, err := http.NewRequestWithContext(ctx, s.method, "http://"+box.entryProxy.address()+s.path, strings.NewReader(s.body))
	if err != nil {
		c.addViolation("%s: %v", s.id, err)
		return false
	}
	q.Host = soakHost
	q.Header.Set("Authorization", "Bearer "+soakKey)
	q.Header.Set("X-Linetiller-Request-Id", s.id)
	q.Header.Set("X-Linetiller-Deadline-Ms", "15000")
	if s.tokens > 0 {
		q.Header.Set("X-Linetiller-Model", "m")
		q.Header.Set("X-Linetiller-Token-Count", "1000,2224")
		q.Header.Set("Length-Hint", fmt.Sprint(s.tokens))
	}
	if s.parts != "" {
		q.Header.Set("X-Linetiller-Prefix-Hash", s.parts)
	}
	if s.lastEvent > 0 {
		q.Header.Set("Last-Event-Id", fmt.Sprint(s.lastEvent))
	}
	c.recordDispatch(s.id, dispatch{box: box, sentAt: time.Now(), service: s.service()})
	w, err := c.http.Do(q)
	if err != nil {
		return false // nothing is guaranteed for a connection that breaks
	}
	defer func() { _ = w.Body.Close() }()
	s.status = w.StatusCode
	if w.Header.Get("Server-Leaving") != "" {
		c.recordLeavingNotice(box, w.Header.Get("X-Linetiller-Server-Stamp"))
	}
	c.checkStatus(s, w)
	if w.StatusCode == http.StatusBadGateway {
		b, _ := io.ReadAll(w.Body)
		s.quarantined = strings.TrimSpace(string(b)) == "ends_upstreams"
	}
	return w.StatusCode == http.StatusOK && c.readAnswer(s, w)
}

// checkConfiguration checks, after all faults ended, that every box applies the latest
// configuration: the route that it adds is served, and the one that it removed is not.
func (c *callers) checkConfiguration() {
	c.cluster.mutex.Lock()
	latest := c.cluster.configVersion
	c.cluster.mutex.Unlock()
	for i, b := range c.cluster.boxes {
		for v, want := range map[int]bool{latest: true, latest - 1: false} {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			s := &callerRequest{id: fmt.Sprintf("in-force-%d-%d", i, v), path: fmt.Sprintf("/extra%d/x", v), method: http.MethodGet, routeRemoved: !want}
			served := c.call(ctx, b, s)
			if served != want || (!want && s.status != http.StatusNotFound) {
				c.addViolation("%s: the route of version %d, where %d is the latest: served %v, status %d", b.name, v, latest, served, s.status)
			}
			cancel()
		}
	}
}

// checkExecutions checks, after all faults ended, how often requests ran: those of unsafe kinds at
// most once, and refused ones never.
func (c *callers) checkExecutions() {
	runs := func(id string) int {
		n := 0
		for _, u := range append(c.cluster.liveUpstreams(), c.cluster.endedUpstreams...) {
			n += u.engine.StartCount(id)
		}
		return n
	}
	for _, id := range c.atMostOnce {
		if n := runs(id); n > 1 {
			c.addViolation("%s: ran %d times", id, n)
		}
	}
	for _, id := range c.refused {
		if n := runs(id); n > 0 {
			c.addViolation("%s: ran although its answer said that it had not", id)
		}
	}
}

// checkStatus counts and checks the status of an answer.
func (c *callers) checkStatus(s *callerRequest, w *http.Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.statusCounts[fmt.Sprint(w.StatusCode)]++
	switch w.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.refused = append(c.refused, s.id)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if s.routeRemoved {
			return
		}
		c.violations = append(c.violations, fmt.Sprintf("%s: status %d for a key and a route that always exist", s.id, w.StatusCode))
	}
}

// drawRequest returns a random request.
func (c *callers) drawRequest(id string, r *rand.Rand) *callerRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch r.IntN(4) {
	case 0:
		c.atMostOnce = append(c.atMostOnce, id)
		return &callerRequest{id: id, path: planPath, method: http.MethodPost, tokens: 4 * (5 + r.IntN(200))}
	case 1:
		c.atMostOnce = append(c.atMostOnce, id)
		return &callerRequest{id: id, path: "/once/x", method: http.MethodPost}
	case 2:
		return &callerRequest{id: id, path: "/check/x", method: http.MethodPost, resumable: true, tokens: 4 * (5 + r.IntN(100))}
	}
	return &callerRequest{id: id, path: oftenPath, method: http.MethodGet}
}

// resumption returns the request with which a caller resumes a stream that broke off, or nil if it
// cannot be resumed. The events of the resumed stream must continue without a gap.
func (s *callerRequest) resumption(attempt int) *callerRequest {
	if !s.resumable || s.status != http.StatusOK || s.lastEvent+s.events >= s.tokens/4 {
		return nil
	}
	return &callerRequest{id: fmt.Sprintf("%s-back%d", s.id, attempt), lastEvent: s.lastEvent + s.events, method: s.method, path: s.path, resumable: true, tokens: s.tokens}
}

// service returns the service that answers the request: engines answer streams.
func (s *callerRequest) service() string {
	if s.tokens > 0 {
		return serviceLLM
	}
	return serviceDesk
}

// readAnswer reads a successful answer and checks that its contents are correct and, unless the
// connection breaks, complete.
func (c *callers) readAnswer(s *callerRequest, w *http.Response) bool {
	if w.Header.Get("X-Linetiller-Server-Stamp") == "" {
		c.addViolation("%s: a successful answer without the upstream's stamp", s.id)
	}
	if s.tokens == 0 {
		b, err := io.ReadAll(w.Body)
		if err == nil && !strings.Contains(string(b), " of "+s.id+": ") {
			c.addViolation("%s: got the wrong answer %q", s.id, b)
		}
		return err == nil
	}
	x := bufio.NewScanner(w.Body)
	for x.Scan() {
		data, ok := strings.CutPrefix(x.Text(), "data: ")
		if !ok {
			continue
		}
		s.events++
		if want := routed.Event(s.id, s.lastEvent+s.events); data != want {
			c.addViolation("%s: event %d: got %q, want %q", s.id, s.lastEvent+s.events, data, want)
			return false
		}
	}
	if n := s.lastEvent + s.events; x.Err() == nil && n != s.tokens/4 {
		c.addViolation("%s: the stream ended without an error after %d of %d events", s.id, n, s.tokens/4)
	}
	return x.Err() == nil
}

// run sends requests until the context ends.
func (c *callers) run(ctx context.Context, number int, r *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		s := c.drawRequest(fmt.Sprintf("%d-%d", number, i), r)
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 15*time.Second)
		if r.IntN(10) == 0 { // some callers hang up early
			time.AfterFunc(time.Duration(r.IntN(600))*time.Millisecond, cancel)
		}
		for attempt := 1; s != nil && attempt <= maxAttempts; attempt++ {
			box, sentAt := c.cluster.boxes[r.IntN(len(c.cluster.boxes))], time.Now()
			served := c.call(callCtx, box, s)
			c.recordStream(callCtx, box, s, sentAt, served)
			if served || callCtx.Err() != nil {
				break
			}
			s = s.resumption(attempt)
		}
		cancel()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}
