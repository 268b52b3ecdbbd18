package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/sse"
)

// Generator asks boxes for a generation, as a client of the system does, and
// goes on at the next box where one is lost.
type Generator struct {
	// Boxes are the client addresses, as URLs, in the order in which they are tried.
	Boxes []string
	// HTTP makes the requests.
	HTTP *http.Client
	// Key is the workspace's bearer key.
	Key string
	// OnToken is called with each token, in order and once; a seam.
	OnToken func(id, text string) error
}

// GenerationRequest is a generation that a Generator asks for.
type GenerationRequest struct {
	Deadline  string // in the form of HeaderDeadline, or ""
	Key       string // the request key, or ""
	Kind      string
	MaxTokens int
	Model     string
	Priority  string
	Prompt    string
}

// streamEvent is one event of an answer, as a client reads it.
type streamEvent struct {
	Choices []choice  `json:"choices"`
	Error   *apiError `json:"error"`
}

type requestBody struct {
	MaxTokens int    `json:"max_tokens,omitempty"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
}

const maxErrorBytes = 64 << 10

// Run asks for a and hands its tokens out until its end. It returns why the
// generation ended, and at how many boxes it was asked for.
func (g *Generator) Run(ctx context.Context, q *GenerationRequest) (finish string, tried int, err error) {
	lastEventID := ""
	for tried < len(g.Boxes) {
		b := g.Boxes[tried]
		tried++
		finish, err = g.runAt(ctx, b, q, &lastEventID)
		if err == nil || !errorx.IsOfType(err, fail.Unavailable) || (lastEventID == "" && q.Key == "" && fail.Reason(err) != "box_unreachable") {
			return finish, tried, err
		}
	}
	return finish, tried, err
}

// runAt asks one box, from the token after last on.
func (g *Generator) runAt(ctx context.Context, address string, q *GenerationRequest, lastEventID *string) (string, error) {
	p := fail.Origin{Peer: "box " + address, Step: "generate"}
	w, err := g.send(ctx, address, q, *lastEventID)
	if err != nil {
		return "", fail.Wrap(fail.Unavailable, p, "box_unreachable", err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return "", responseError(p, w)
	}
	r := sse.NewReader(w.Body)
	for {
		e, err := r.Next()
		if err != nil {
			return "", fail.Wrap(fail.Unavailable, p, "stream_cut", err)
		}
		var v streamEvent
		if json.Unmarshal(e.Data, &v) != nil {
			return "", fail.New(fail.Unavailable, p, "stream_garbled", "an event is not JSON")
		}
		if v.Error != nil {
			return "", typedError(p, v.Error)
		}
		if len(v.Choices) != 1 {
			return "", fail.New(fail.Unavailable, p, "stream_garbled", "an event without a choice")
		}
		c := &v.Choices[0]
		if c.FinishReason != nil {
			return *c.FinishReason, nil
		}
		*lastEventID = string(e.ID)
		if c.Text != nil {
			if err := g.OnToken(*lastEventID, *c.Text); err != nil {
				return "", err
			}
		}
	}
}

func (g *Generator) send(ctx context.Context, address string, q *GenerationRequest, lastEventID string) (*http.Response, error) {
	b, err := json.Marshal(requestBody{MaxTokens: q.MaxTokens, Model: q.Model, Prompt: q.Prompt, Stream: true})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+g.Key)
	r.Header.Set("Content-Type", "application/json")
	for h, v := range map[string]string{
		HeaderDeadline: q.Deadline, HeaderIdempotencyKey: q.Key, HeaderKind: q.Kind, HeaderLastEventID: lastEventID, HeaderPriority: q.Priority,
	} {
		if v != "" {
			r.Header.Set(h, v)
		}
	}
	return g.HTTP.Do(r)
}

func responseError(p fail.Origin, w *http.Response) error {
	var v errorBody
	if json.NewDecoder(io.LimitReader(w.Body, maxErrorBytes)).Decode(&v) != nil {
		return fail.New(fail.Unavailable, p, "box_garbled", "%s", w.Status)
	}
	return typedError(p, &v.Error)
}

// typedError returns the error that a box told, in its type.
func typedError(p fail.Origin, e *apiError) error {
	for _, m := range errorStatuses {
		if m.apiType == e.Type {
			return fail.New(m.kind, p, e.Code, "%s", e.Message)
		}
	}
	return fail.New(fail.Unknown, p, e.Code, "%s", e.Message)
}
