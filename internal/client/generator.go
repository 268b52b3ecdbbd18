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

// Generator is a client of the completion API. It runs generations at one of several boxes and, when
// a box becomes unavailable, resumes at the next one.
type Generator struct {
	// Boxes are the base URLs of the boxes' client addresses, in the order in which they are tried.
	Boxes []string
	// HTTP sends the requests.
	HTTP *http.Client
	// Key is the workspace's bearer key.
	Key string
	// OnToken is called once with each token, in order. An error from it ends the generation.
	OnToken func(id, text string) error
}

// GenerationRequest describes a generation for Generator.Run.
type GenerationRequest struct {
	Deadline  string // in the format of HeaderDeadline, or ""
	Key       string // the request key, or ""
	Kind      string
	MaxTokens int
	Model     string
	Priority  string
	Prompt    string
}

// streamEvent is the data of one event of a streamed completion.
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

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 64 << 10

// Run runs the generation q and passes its tokens to OnToken. It returns the finish reason and the
// number of boxes tried.
//
// It tries the next box only after a fail.Unavailable error, and only if there is an event ID to resume
// from or a request key, either of which prevents a second run, or if the box sent no response.
func (g *Generator) Run(ctx context.Context, q *GenerationRequest) (finish string, boxesTried int, err error) {
	lastEventID := ""
	for boxesTried < len(g.Boxes) {
		b := g.Boxes[boxesTried]
		boxesTried++
		finish, err = g.runAt(ctx, b, q, &lastEventID)
		if err == nil || !errorx.IsOfType(err, fail.Unavailable) || (lastEventID == "" && q.Key == "" && fail.Reason(err) != "box_unreachable") {
			return finish, boxesTried, err
		}
	}
	return finish, boxesTried, err
}

// runAt runs the generation at one box, from the token after *lastEventID, which it keeps up to date.
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
			return "", fail.New(fail.Unavailable, p, "stream_garbled", "event is not valid JSON")
		}
		if v.Error != nil {
			return "", typedError(p, v.Error)
		}
		if len(v.Choices) != 1 {
			return "", fail.New(fail.Unavailable, p, "stream_garbled", "event does not have exactly one choice")
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

// responseError returns the error in a response whose status is not 200.
func responseError(p fail.Origin, w *http.Response) error {
	var v errorBody
	if json.NewDecoder(io.LimitReader(w.Body, maxErrorBytes)).Decode(&v) != nil {
		return fail.New(fail.Unavailable, p, "box_garbled", "%s", w.Status)
	}
	return typedError(p, &v.Error)
}

// typedError converts an error in the format of the API to the type of package fail that it names,
// or to fail.Unknown.
func typedError(p fail.Origin, e *apiError) error {
	for _, m := range errorStatuses {
		if m.apiType == e.Type {
			return fail.New(m.kind, p, e.Code, "%s", e.Message)
		}
	}
	return fail.New(fail.Unknown, p, e.Code, "%s", e.Message)
}
