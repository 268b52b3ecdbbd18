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
	// Taken is called with each token, in order and once; a seam.
	Taken func(id, text string) error
}

// Ask is a generation that a Generator asks for.
type Ask struct {
	Deadline  string // in the form of HeaderDeadline, or ""
	Key       string // the request key, or ""
	Kind      string
	MaxTokens int
	Model     string
	Priority  string
	Prompt    string
}

// streamed is one event of an answer, as a client reads it.
type streamed struct {
	Choices []choice  `json:"choices"`
	Error   *apiError `json:"error"`
}

type askBody struct {
	MaxTokens int    `json:"max_tokens,omitempty"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
}

const maxErrorBytes = 64 << 10

// Run asks for a and hands its tokens out until its end. It returns why the
// generation ended, and at how many boxes it was asked for.
func (g *Generator) Run(ctx context.Context, a *Ask) (finish string, boxes int, err error) {
	last := ""
	for boxes < len(g.Boxes) {
		b := g.Boxes[boxes]
		boxes++
		finish, err = g.runAt(ctx, b, a, &last)
		if err == nil || !errorx.IsOfType(err, fail.Unavailable) || (last == "" && a.Key == "" && fail.Reason(err) != "box_unreachable") {
			return finish, boxes, err
		}
	}
	return finish, boxes, err
}

// runAt asks one box, from the token after last on.
func (g *Generator) runAt(ctx context.Context, address string, a *Ask, last *string) (string, error) {
	p := fail.Place{Peer: "box " + address, Step: "generate"}
	w, err := g.send(ctx, address, a, *last)
	if err != nil {
		return "", fail.Wrap(fail.Unavailable, p, "box_unreachable", err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return "", answerError(p, w)
	}
	r := sse.NewReader(w.Body)
	for {
		e, err := r.Next()
		if err != nil {
			return "", fail.Wrap(fail.Unavailable, p, "stream_cut", err)
		}
		var v streamed
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
		*last = string(e.ID)
		if c.Text != nil {
			if err := g.Taken(*last, *c.Text); err != nil {
				return "", err
			}
		}
	}
}

func (g *Generator) send(ctx context.Context, address string, a *Ask, last string) (*http.Response, error) {
	b, err := json.Marshal(askBody{MaxTokens: a.MaxTokens, Model: a.Model, Prompt: a.Prompt, Stream: true})
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
		HeaderDeadline: a.Deadline, HeaderKey: a.Key, HeaderKind: a.Kind, HeaderLast: last, HeaderPriority: a.Priority,
	} {
		if v != "" {
			r.Header.Set(h, v)
		}
	}
	return g.HTTP.Do(r)
}

func answerError(p fail.Place, w *http.Response) error {
	var v errorAnswer
	if json.NewDecoder(io.LimitReader(w.Body, maxErrorBytes)).Decode(&v) != nil {
		return fail.New(fail.Unavailable, p, "box_garbled", "%s", w.Status)
	}
	return typedError(p, &v.Error)
}

// typedError returns the error that a box told, in its type.
func typedError(p fail.Place, e *apiError) error {
	for _, m := range mappings {
		if m.name == e.Type {
			return fail.New(m.kind, p, e.Code, "%s", e.Message)
		}
	}
	return fail.New(fail.Unknown, p, e.Code, "%s", e.Message)
}
