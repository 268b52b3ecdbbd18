// Package client serves the clients of the system over HTTP: completions in the format of the OpenAI
// API, as a single response or streamed as server-sent events, and calls to plain services. It also
// contains Generator, a client of that API.
package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/service"
)

// Server is the http.Handler of the client API.
type Server struct {
	// CallService sends a call to a plain service. It must be set before the first request.
	CallService func(ctx context.Context, c *service.Call) (*service.Answer, error)
	// Generate runs a generation and passes its tokens to sink. It must be set before the first
	// request.
	Generate func(ctx context.Context, q *delivery.Request, sink delivery.Sink) error
	// Ready reports whether the load balancer should send requests to this box. It must be set
	// before the first request.
	Ready func() bool

	bodyBytes      int64
	deadline       time.Duration
	hallRegions    resource.HallRegions
	memory         *memory.Account
	metrics        *metric.Set
	mux            *http.ServeMux
	platformRegion string
	view           *resource.View
}

// Option configures a Server.
type Option func(*Server)

// Headers of requests and responses beyond those of the OpenAI API.
const (
	HeaderDeadline       = "Linetiller-Deadline" // RFC 3339, or a duration from now such as 30s
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderKind           = "Linetiller-Kind"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderPriority       = "Linetiller-Priority"
	HeaderRepeated       = "Linetiller-Repeated" // set on a recorded answer to an earlier request with the same key
	HeaderShouldRetry    = "X-Should-Retry"      // whether client libraries should retry
)

// maxHeaderValue is the maximum length of a request key or kind, in characters.
const maxHeaderValue = 256

// memoryRetryDelay is the time after which a caller may retry for whose request the box has no memory.
const memoryRetryDelay = time.Second

// New returns a server for the workspaces and models in v.
func New(v *resource.View, m *metric.Set, options ...Option) *Server {
	s := &Server{bodyBytes: 4 << 20, deadline: 5 * time.Minute, memory: memory.NewAccount(0), metrics: m, mux: http.NewServeMux(), view: v}
	for _, o := range options {
		o(s)
	}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { m.Write(w) })
	s.mux.HandleFunc("GET /readyz", s.getReady)
	s.mux.HandleFunc("GET /v1/models", s.getModels)
	s.mux.HandleFunc("POST /v1/chat/completions", s.withMemory(func(w http.ResponseWriter, r *http.Request, m *memory.Reservation) {
		s.postCompletion(w, r, objectChat, m)
	}))
	s.mux.HandleFunc("POST /v1/completions", s.withMemory(func(w http.ResponseWriter, r *http.Request, m *memory.Reservation) {
		s.postCompletion(w, r, objectText, m)
	}))
	s.mux.HandleFunc("/services/{name}/", s.withMemory(s.handleServiceCall))
	s.mux.HandleFunc("/", s.handleUnknownPath)
	return s
}

// WithBodyBytes sets the maximum size of a request body, by default 4 MiB.
func WithBodyBytes(n int64) Option {
	return func(s *Server) { s.bodyBytes = n }
}

// WithDeadline sets how long a request without a HeaderDeadline may take, by default 5 minutes.
func WithDeadline(d time.Duration) Option {
	return func(s *Server) { s.deadline = d }
}

// WithMemory sets the account of the memory that requests hold. By default they have one without a limit.
func WithMemory(a *memory.Account) Option {
	return func(s *Server) { s.memory = a }
}

// WithRegions sets the region of each data hall, and that of the platform's store, which may be
// unknown. By default no hall is in a region.
func WithRegions(halls resource.HallRegions, platform string) Option {
	return func(s *Server) { s.hallRegions, s.platformRegion = halls, platform }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// authorize returns the workspace of the bearer key of a request.
func (s *Server) authorize(r *http.Request) (*resource.Workspace, error) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return nil, fail.New(fail.Unauthorized, origin("authorize"), "key_absent", "the Authorization header must carry a bearer key")
	}
	w := s.view.WorkspaceByKey(k)
	if w == nil {
		return nil, fail.New(fail.Unauthorized, origin("authorize"), "key_unknown", "the bearer key belongs to no workspace")
	}
	return w, nil
}

// deadlineOf returns the deadline in the header of a request, or the default one if there is none.
func (s *Server) deadlineOf(r *http.Request, now time.Time) (time.Time, error) {
	h := r.Header.Get(HeaderDeadline)
	if h == "" {
		return now.Add(s.deadline), nil
	}
	if t, err := time.Parse(time.RFC3339Nano, h); err == nil {
		return t, nil
	}
	d, err := time.ParseDuration(h)
	if err != nil || d <= 0 {
		return time.Time{}, fail.New(fail.BadInput, origin("read headers"), "bad_deadline", "%s must be a time such as %s or 30s", HeaderDeadline, time.RFC3339)
	}
	return now.Add(d), nil
}

// checkKeyRegion returns an error if a request of a workspace must not have a request key, because
// the answer that is kept under it would be stored outside the regions of the workspace.
func (s *Server) checkKeyRegion(x *resource.Workspace, key string) error {
	if key == "" || x.Spec.Regions == nil || (s.platformRegion != "" && slices.Contains(x.Spec.Regions, s.platformRegion)) {
		return nil
	}
	return fail.New(fail.BadInput, origin("read headers"), "key_region", "requests of workspace %q may have no %s: answers are kept outside its regions", x.Name, HeaderIdempotencyKey)
}

func (s *Server) getModels(w http.ResponseWriter, r *http.Request) {
	if _, err := s.authorize(r); err != nil {
		s.refuse(w, err)
		return
	}
	l := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range s.view.List(resource.KindModel) {
		l.Data = append(l.Data, modelEntry{ID: m.Metadata.Name, Object: "model", OwnedBy: "linetiller"})
	}
	writeJSON(w, http.StatusOK, l)
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// handleServiceCall serves a call to a plain service, of any method.
func (s *Server) handleServiceCall(w http.ResponseWriter, r *http.Request, m *memory.Reservation) {
	c, err := s.readCall(w, r, m)
	if err != nil {
		s.refuse(w, err)
		return
	}
	a, err := s.CallService(r.Context(), c)
	if err != nil {
		s.refuse(w, err)
		return
	}
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if a.Repeated {
		w.Header().Set(HeaderRepeated, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// handleUnknownPath answers requests for paths that no other handler serves.
func (s *Server) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, fail.New(fail.NotFound, origin("route"), "path_unknown", "%s %s is not served", r.Method, r.URL.Path))
}

// keyOf returns the request key, or "". A key consists of at most maxHeaderValue printable ASCII
// characters without spaces.
func keyOf(r *http.Request) (string, error) {
	k := r.Header.Get(HeaderIdempotencyKey)
	if len(k) > maxHeaderValue || strings.ContainsFunc(k, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return "", fail.New(fail.BadInput, origin("read headers"), "bad_key", "%s must be at most %d printable ASCII characters", HeaderIdempotencyKey, maxHeaderValue)
	}
	return k, nil
}

// readBody reads the body of a request, whose memory it reserves in m.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, m *memory.Reservation) ([]byte, error) {
	b, err := memory.ReadBody(http.MaxBytesReader(w, r.Body, s.bodyBytes), min(r.ContentLength, s.bodyBytes+1), s.bodyBytes, m)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fail.New(fail.BadInput, origin("read body"), "body_too_large", "the body is larger than %d bytes", s.bodyBytes)
	}
	if errors.Is(err, memory.ErrShort) {
		return nil, memoryError()
	}
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, origin("read body"), "body_cut", err)
	}
	return b, nil
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, m *memory.Reservation) (*service.Call, error) {
	x, err := s.authorize(r)
	if err != nil {
		return nil, err
	}
	k, err := keyOf(r)
	if err != nil {
		return nil, err
	}
	if err := s.checkKeyRegion(x, k); err != nil {
		return nil, err
	}
	d, err := s.deadlineOf(r, time.Now())
	if err != nil {
		return nil, err
	}
	b, err := s.readBody(w, r, m)
	if err != nil {
		return nil, err
	}
	n := r.PathValue("name")
	p := service.PathOf(r.URL, n)
	return &service.Call{
		Body: b, Deadline: d, Halls: s.hallRegions.Allowed(x.Spec.Regions), Header: r.Header, Key: k, Memory: m, Method: r.Method, Path: p,
		Fingerprint: fingerprint([]byte(r.Method+" "+n+" "+p), b), Service: n, Workspace: x.Name,
	}, nil
}

// refuse counts an error and writes it in the format of the OpenAI API.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.metrics.Count(metric.Refusals, "reason", fail.Reason(err))
	writeError(w, err)
}

// withMemory returns a handler that reserves the memory of a request for as long as h handles it.
func (s *Server) withMemory(h func(w http.ResponseWriter, r *http.Request, m *memory.Reservation)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m, err := s.memory.Reserve(memory.RequestBytes)
		if err != nil {
			s.refuse(w, memoryError())
			return
		}
		defer m.Release()
		h(w, r, m)
	}
}

// fingerprint returns a hash of a request. A request key may only be used again with the same
// fingerprint. Each part is preceded by its length, so that the boundaries of the parts count, too.
func fingerprint(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(p)) + ":"))
		_, _ = h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))[:32]
}

func origin(step string) fail.Origin {
	return fail.Origin{Peer: "client", Step: step}
}

// memoryError returns the error for a request for which the box has no memory.
func memoryError() error {
	err := fail.New(fail.NotRun, origin("read body"), string(policy.ReasonMemory), "the box has no memory for the request")
	return fail.WithRetryAt(err, time.Now().Add(memoryRetryDelay))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
