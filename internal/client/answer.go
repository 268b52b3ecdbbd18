package client

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/sse"
)

// completionWriter writes one completion, whole or token by token.
type completionWriter struct {
	buffer       []byte
	chunk        []byte
	chunkEnd     []byte // of every chunk, after the text
	chunkStart   []byte // of every chunk, before the text
	eventID      []byte
	control      *http.ResponseController
	created      int64
	object       objectType
	id           string
	finish       string
	model        string
	promptTokens int
	started      bool
	text         strings.Builder
	tokens       int
	writer       http.ResponseWriter
}

type chatMessage struct {
	Content string `json:"content,omitempty"`
	Role    string `json:"role,omitempty"`
}

type choice struct {
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
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

// writeTimeout bounds how long a client may take to read one token.
const writeTimeout = 30 * time.Second

// collect keeps a token for a whole answer.
func (a *completionWriter) collect(t *delivery.Token) error {
	a.id, a.finish = t.Generation, t.Finish
	a.text.Write(t.Text)
	a.tokens = t.Index
	return nil
}

// fail ends the answer with an error: as a status where nothing was sent yet,
// as a last event otherwise. The delivery has counted it.
func (a *completionWriter) fail(err error) {
	if !a.started {
		writeError(a.writer, err)
		return
	}
	e, _ := apiErrorOf(err)
	b, _ := json.Marshal(errorBody{e})
	_ = a.write(sse.Append(nil, sse.Event{Data: b}))
}

// send writes one token as an event.
func (a *completionWriter) send(t *delivery.Token) error {
	if !a.started {
		a.id = t.Generation
		a.start()
	}
	e := delivery.EventID{Generation: t.Generation, Index: t.Index, Upstream: t.Upstream}
	a.eventID = e.Append(a.eventID[:0])
	a.fillChunk(t)
	a.buffer = sse.Append(a.buffer[:0], sse.Event{Data: a.chunk, ID: a.eventID})
	if t.Finish != "" {
		a.buffer = sse.Append(a.buffer, sse.Event{Data: []byte("[DONE]")})
	}
	return a.write(a.buffer)
}

// writeWhole writes the collected answer.
func (a *completionWriter) writeWhole() {
	t := a.text.String()
	c := choice{FinishReason: &a.finish}
	if a.object == objectChat {
		c.Message = &chatMessage{Content: t, Role: "assistant"}
	} else {
		c.Text = &t
	}
	u := &usage{CompletionTokens: a.tokens, PromptTokens: a.promptTokens, TotalTokens: a.tokens + a.promptTokens}
	writeJSON(a.writer, http.StatusOK, completion{
		Choices: []choice{c}, Created: a.created, ID: a.id, Model: a.model, Object: string(a.object), Usage: u,
	})
}

// fillChunk makes the data of one token's event. All but the text is the same
// for every token of an answer, save the first of a chat and the last.
func (a *completionWriter) fillChunk(t *delivery.Token) {
	if t.Finish != "" || (a.object == objectChat && t.Index == 0) || !isPlain(t.Text) {
		a.chunk = a.marshalChunk(t, string(t.Text))
		return
	}
	a.chunk = append(append(a.chunk[:0], a.chunkStart...), '"')
	a.chunk = append(append(a.chunk, t.Text...), '"')
	a.chunk = append(a.chunk, a.chunkEnd...)
}

// marshalChunk returns the data of an event that carries the given text.
func (a *completionWriter) marshalChunk(t *delivery.Token, text string) []byte {
	o := string(a.object)
	x := choice{}
	if a.object == objectChat {
		o += ".chunk"
		x.Delta = &chatMessage{Content: text}
		if t.Index == 0 {
			x.Delta.Role = "assistant"
		}
	} else {
		x.Text = &text
	}
	if t.Finish != "" {
		x.FinishReason = &t.Finish
	}
	b, err := json.Marshal(&completion{Choices: []choice{x}, Created: a.created, ID: a.id, Model: a.model, Object: o})
	if err != nil {
		panic("client: a chunk can always be encoded: " + err.Error())
	}
	return b
}

func (a *completionWriter) start() {
	a.started = true
	const mark = "\x01"
	b := a.marshalChunk(&delivery.Token{Index: 1}, mark)
	a.chunkStart, a.chunkEnd, _ = bytes.Cut(b, []byte(`"\u0001"`))
	h := a.writer.Header()
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Type", "text/event-stream")
	a.writer.WriteHeader(http.StatusOK)
}

func (a *completionWriter) write(b []byte) error {
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.writer.Write(b); err != nil {
		return err
	}
	return a.control.Flush()
}

// isPlain reports whether a text stands in JSON as it is.
func isPlain(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return len(text) > 0 && utf8.Valid(text)
}

func newWorkID() string {
	return strings.ToLower(rand.Text())
}
