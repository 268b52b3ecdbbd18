package client

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// objectType is the "object" field of a completion, which distinguishes the two completion APIs.
type objectType string

const (
	objectChat objectType = "chat.completion"
	objectText objectType = "text_completion"
)

// completionRequest is the request body of both completion APIs.
type completionRequest struct {
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	MaxTokens           *int            `json:"max_tokens"`
	Messages            []message       `json:"messages"`
	Model               string          `json:"model"`
	N                   *int            `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Content json.RawMessage `json:"content"`
	Role    string          `json:"role"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Data   []modelEntry `json:"data"`
	Object string       `json:"object"`
}

type contentPart struct {
	Text string `json:"text"`
	Type string `json:"type"`
}

const (
	bytesPerToken  = 4   // average, to estimate the length of a prompt in tokens for placement and admission
	maxPrefixBytes = 512 // maximum length of the prompt prefix that is hashed
	minPrefixBytes = 64  // prompts shorter than this have no prefix hash
)

// fillWork fills in the description of the request that placement and admission decide on.
func (s *Server) fillWork(w *policy.Work, c *completionRequest, r *http.Request, x *resource.Workspace, prompt string, now time.Time) error {
	m, err := s.modelOf(c.Model)
	if err != nil {
		return err
	}
	w.Arrived = now
	w.Halls = s.hallRegions.Allowed(x.Spec.Regions)
	w.ID = newWorkID()
	w.Kind = r.Header.Get(HeaderKind)
	w.MaxTokens, err = maxTokensOf(c, m.MaxTokens)
	if err != nil {
		return err
	}
	w.Model = c.Model
	w.Prompt = 1 + len(prompt)/bytesPerToken
	if len(prompt) >= minPrefixBytes {
		w.Prefix = xxhash.Sum64String(c.Model + "\x00" + prompt[:min(len(prompt), maxPrefixBytes)])
	}
	w.Weight = x.Spec.Weight
	w.Workspace = x.Name
	w.Priority, err = s.priorityOf(r.Header.Get(HeaderPriority), x.Spec.Priority)
	return err
}

// promptOf returns the prompt of a request, or an error if the field that carries it is malformed.
func promptOf(c *completionRequest, f objectType) (string, error) {
	if f == objectChat {
		return promptOfMessages(c.Messages)
	}
	var t string
	if json.Unmarshal(c.Prompt, &t) == nil && t != "" {
		return t, nil
	}
	var l []string
	if json.Unmarshal(c.Prompt, &l) == nil && len(l) == 1 {
		return l[0], nil
	}
	return "", badField("prompt", "must be a string or a list of one string")
}

// promptOfMessages joins the messages of a chat into one prompt, a line of "role: content" for each.
func promptOfMessages(l []message) (string, error) {
	if len(l) == 0 {
		return "", badField("messages", "must not be empty")
	}
	var b strings.Builder
	for _, m := range l {
		if m.Role == "" {
			return "", badField("messages.role", "must be set")
		}
		t, err := contentOf(m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + ": " + t + "\n")
	}
	return b.String(), nil
}

// contentOf returns the text of a message, which is a string or a list of text parts.
func contentOf(c json.RawMessage) (string, error) {
	var t string
	if json.Unmarshal(c, &t) == nil {
		return t, nil
	}
	var l []contentPart
	if json.Unmarshal(c, &l) != nil {
		return "", badField("messages.content", "must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range l {
		if p.Type != "text" {
			return "", badField("messages.content", "parts must be of type text")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func (s *Server) modelOf(name string) (*resource.ModelSpec, error) {
	x := s.view.Get(resource.KindModel, name)
	if x == nil {
		return nil, fail.New(fail.NotFound, origin("read body"), "model_unknown", "model %q is not served", name)
	}
	m, err := resource.Decode[resource.ModelSpec](x)
	if err != nil {
		return nil, fail.Wrap(fail.NotFound, origin("read body"), "model_unknown", err)
	}
	return m, nil
}

// promptCopies is how many copies of a prompt are held while a request is read, besides its body: the decoded
// texts, and the prompt that is put together from them.
const promptCopies = 2

// postCompletion serves a completion request.
func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request, f objectType, m *memory.Reservation) {
	now := time.Now()
	q, stream, err := s.readCompletion(w, r, f, m, now)
	if err != nil {
		s.refuse(w, err)
		return
	}
	a := &completionWriter{
		created: now.Unix(), object: f, model: q.Work.Model, promptTokens: q.Work.Prompt, writer: w, control: http.NewResponseController(w),
	}
	sink := a.collect
	if stream {
		sink = a.send
	}
	if err := s.Generate(r.Context(), q, sink); err != nil {
		a.fail(err)
		return
	}
	if !stream {
		a.writeCompletion()
	}
}

// priorityOf returns the value of the requested priority, or of the workspace's own if none is
// requested. A request cannot exceed the priority of its workspace.
func (s *Server) priorityOf(requested, own string) (int, error) {
	limit, err := s.priorityValue(own)
	if err != nil || requested == "" {
		return limit, err
	}
	v, err := s.priorityValue(requested)
	return min(v, limit), err
}

// priorityValue returns the value of a priority resource, or 0 for an empty name.
func (s *Server) priorityValue(name string) (int, error) {
	if name == "" {
		return 0, nil
	}
	x := s.view.Get(resource.KindPriority, name)
	if x == nil {
		return 0, fail.New(fail.BadInput, origin("read headers"), "bad_priority", "priority %q is not known", name)
	}
	p, err := resource.Decode[resource.PrioritySpec](x)
	if err != nil {
		return 0, fail.Wrap(fail.BadInput, origin("read headers"), "bad_priority", err)
	}
	return p.Value, nil
}

// readCompletion reads and validates a completion request, and reports whether the response is to be
// streamed.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, f objectType, m *memory.Reservation, now time.Time) (*delivery.Request, bool, error) {
	x, err := s.authorize(r)
	if err != nil {
		return nil, false, err
	}
	b, err := s.readBody(w, r, m)
	if err != nil {
		return nil, false, err
	}
	if err := m.Grow(int64(promptCopies * len(b))); err != nil {
		return nil, false, memoryError()
	}
	c := new(completionRequest)
	if err := json.Unmarshal(b, c); err != nil {
		return nil, false, fail.Wrap(fail.BadInput, origin("read body"), "bad_json", err)
	}
	if c.N != nil && *c.N != 1 {
		return nil, false, badField("n", "must be 1")
	}
	t, err := promptOf(c, f)
	if err != nil {
		return nil, false, err
	}
	q := &delivery.Request{MaxQueued: x.Spec.MaxQueued, Fingerprint: fingerprint([]byte(f), b), Prompt: t}
	if err := s.readHeaders(r, q, now); err != nil {
		return nil, false, err
	}
	if err := s.checkKeyRegion(x, q.Key); err != nil {
		return nil, false, err
	}
	return q, c.Stream, s.fillWork(&q.Work, c, r, x, t, now)
}

// readHeaders fills in the parts of a request that come from its headers.
func (s *Server) readHeaders(r *http.Request, q *delivery.Request, now time.Time) error {
	var err error
	if q.Key, err = keyOf(r); err != nil {
		return err
	}
	if q.Work.Deadline, err = s.deadlineOf(r, now); err != nil {
		return err
	}
	if slices.ContainsFunc(r.Header.Values(HeaderKind), func(v string) bool { return len(v) > maxHeaderValue }) {
		return fail.New(fail.BadInput, origin("read headers"), "bad_kind", "%s must be at most %d characters", HeaderKind, maxHeaderValue)
	}
	h := r.Header.Get(HeaderLastEventID)
	if h == "" {
		return nil
	}
	q.ResumeAfter, err = delivery.ParseEventID(h)
	if err != nil {
		return fail.Wrap(fail.BadInput, origin("read headers"), "bad_event_id", err)
	}
	return nil
}

func badField(field, message string) error {
	return fail.New(fail.BadInput, origin("read body"), "bad_field", "%s: %s", field, message)
}

// maxTokensOf returns the requested maximum number of tokens, at most limit. max_completion_tokens
// takes precedence over max_tokens.
func maxTokensOf(c *completionRequest, limit int) (int, error) {
	n := limit
	for _, v := range []*int{c.MaxTokens, c.MaxCompletionTokens} {
		if v != nil {
			n = *v
		}
	}
	if n < 1 {
		return 0, badField("max_tokens", "must be above 0")
	}
	return min(n, limit), nil
}
