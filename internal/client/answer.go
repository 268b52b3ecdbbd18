package client

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/sse"
)

// answerWriter writes one completion, whole or token by token.
type answerWriter struct {
	buffer       []byte
	control      *http.ResponseController
	created      int64
	form         form
	id           string
	finish       string
	model        string
	promptTokens int
	started      bool
	text         strings.Builder
	tokens       int
	writer       http.ResponseWriter
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
	Role    string `json:"role,omitempty"`
}

type choice struct {
	Delta        *chatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
	Index        int        `json:"index"`
	Message      *chatDelta `json:"message,omitempty"`
	Text         *string    `json:"text,omitempty"`
}

type completion struct {
	Choices []choice `json:"choices"`
	Created int64    `json:"created"`
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Object  string   `json:"object"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// writePeriod bounds how long a client may take to read one token.
const writePeriod = 30 * time.Second

// collect keeps a token for a whole answer.
func (a *answerWriter) collect(t *delivery.Token) error {
	a.id, a.finish = t.Generation, t.Finish
	a.text.WriteString(t.Text)
	a.tokens = t.Index
	return nil
}

// fail ends the answer with an error: as a status where nothing was sent yet,
// as a last event otherwise. The delivery has counted it.
func (a *answerWriter) fail(err error) {
	if !a.started {
		writeError(a.writer, err)
		return
	}
	e, _ := errorOf(err)
	b, _ := json.Marshal(errorAnswer{e})
	_ = a.write(sse.Append(nil, sse.Event{Data: b}))
}

// send writes one token as an event.
func (a *answerWriter) send(t *delivery.Token) error {
	a.id = t.Generation
	e := delivery.EventID{Generation: t.Generation, Index: t.Index, Upstream: t.Upstream}
	if !a.started {
		a.start()
	}
	b, err := json.Marshal(a.chunk(t))
	if err != nil {
		return fail.Wrap(fail.Interrupted, place("deliver"), "internal", err)
	}
	a.buffer = sse.Append(a.buffer[:0], sse.Event{Data: b, ID: e.String()})
	if t.Finish != "" {
		a.buffer = sse.Append(a.buffer, sse.Event{Data: []byte("[DONE]")})
	}
	return a.write(a.buffer)
}

// whole writes the collected answer.
func (a *answerWriter) whole() {
	t := a.text.String()
	c := choice{FinishReason: &a.finish}
	if a.form == formChat {
		c.Message = &chatDelta{Content: t, Role: "assistant"}
	} else {
		c.Text = &t
	}
	u := &usage{CompletionTokens: a.tokens, PromptTokens: a.promptTokens, TotalTokens: a.tokens + a.promptTokens}
	writeJSON(a.writer, http.StatusOK, completion{
		Choices: []choice{c}, Created: a.created, ID: a.id, Model: a.model, Object: string(a.form), Usage: u,
	})
}

// chunk returns the event of one token.
func (a *answerWriter) chunk(t *delivery.Token) *completion {
	o := string(a.form)
	x := choice{}
	if a.form == formChat {
		o += ".chunk"
		x.Delta = &chatDelta{Content: t.Text}
		if t.Index == 0 {
			x.Delta.Role = "assistant"
		}
	} else {
		x.Text = &t.Text
	}
	if t.Finish != "" {
		x.FinishReason = &t.Finish
	}
	return &completion{Choices: []choice{x}, Created: a.created, ID: a.id, Model: a.model, Object: o}
}

func (a *answerWriter) start() {
	a.started = true
	h := a.writer.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Type", "text/event-stream")
	a.writer.WriteHeader(http.StatusOK)
}

func (a *answerWriter) write(b []byte) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writePeriod))
	if _, err := a.writer.Write(b); err != nil {
		return err
	}
	return a.control.Flush()
}

func newWorkID() string {
	return strings.ToLower(rand.Text())
}
