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

// completionWriter writes the response to one completion request, either as a single JSON object or
// as a stream of server-sent events, one per token.
type completionWriter struct {
	buffer       []byte
	chunk        []byte
	chunkEnd     []byte // JSON that follows the text in every chunk
	chunkStart   []byte // JSON that precedes the text in every chunk
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

// writeTimeout is how long one write to the client may take. It bounds how long a client that stops
// reading can block its generation.
const writeTimeout = 30 * time.Second

// collect buffers a token for a response that is not streamed.
func (a *completionWriter) collect(t *delivery.Token) error {
	a.id, a.finish = t.Generation, t.Finish
	a.text.Write(t.Text)
	a.tokens = t.Index
	return nil
}

// fail ends the response with an error: with an error status if nothing has been sent yet, with an
// error event otherwise. The error is not counted here, since the delivery has already done so.
func (a *completionWriter) fail(err error) {
	if !a.started {
		writeError(a.writer, err)
		return
	}
	e, _ := apiErrorOf(err)
	b, _ := json.Marshal(errorBody{e})
	_ = a.write(sse.Append(nil, sse.Event{Data: b}))
}

// fillChunk encodes the data of a token's event. Except for the first token of a chat and the last
// token, chunks of one response differ only in their text. A text that needs no escaping is inserted
// between two parts that were encoded in advance.
func (a *completionWriter) fillChunk(t *delivery.Token) {
	if t.Finish != "" || (a.object == objectChat && t.Index == 0) || !isPlain(t.Text) {
		a.chunk = a.marshalChunk(t, string(t.Text))
		return
	}
	a.chunk = append(append(a.chunk[:0], a.chunkStart...), '"')
	a.chunk = append(append(a.chunk, t.Text...), '"')
	a.chunk = append(a.chunk, a.chunkEnd...)
}

// marshalChunk returns the data of an event with the given text, encoded by encoding/json.
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
		panic("client: encoding a chunk: " + err.Error())
	}
	return b
}

// send writes one token as a server-sent event.
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

// start sends the response header and prepares the parts that all chunks share.
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

// writeCompletion writes the collected tokens as a single JSON object.
func (a *completionWriter) writeCompletion() {
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

// isPlain reports whether a non-empty text can be put into a JSON string without escaping.
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
