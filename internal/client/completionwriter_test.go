package client

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/delivery"
)

// sinkWriter is a response writer that records the body if keep is set and discards it otherwise.
type sinkWriter struct {
	header http.Header
	keep   bool
	text   strings.Builder
}

func (w *sinkWriter) Flush()                             {}
func (w *sinkWriter) Header() http.Header                { return w.header }
func (w *sinkWriter) SetWriteDeadline(_ time.Time) error { return nil }
func (w *sinkWriter) WriteHeader(int)                    {}

func (w *sinkWriter) Write(b []byte) (int, error) {
	if w.keep {
		w.text.Write(b)
	}
	return len(b), nil
}

func newCompletionWriter(f objectType, w *sinkWriter) *completionWriter {
	return &completionWriter{control: http.NewResponseController(w), created: 1, object: f, model: "m", writer: w}
}

// TestChunksAgainstMarshal checks that chunks assembled from pre-encoded parts equal those encoded by
// encoding/json, also for texts that need escaping.
func TestChunksAgainstMarshal(t *testing.T) {
	for _, f := range []objectType{objectChat, objectText} {
		for _, text := range []string{" a", "", "\"\\\n\t\x00\x7f", "ü € 😀", "\xff broken", "</script>&<"} {
			a := newCompletionWriter(f, &sinkWriter{header: make(http.Header)})
			v := &delivery.Token{Generation: "g", Index: 3, Text: []byte(text), Upstream: "u"}
			if err := a.send(v); err != nil {
				t.Fatal(err)
			}
			var got, want any
			if err := json.Unmarshal(a.chunk, &got); err != nil {
				t.Fatalf("%s %q: %v in %s", f, text, err, a.chunk)
			}
			_ = json.Unmarshal(a.marshalChunk(v, text), &want)
			g, _ := json.Marshal(got)
			w, _ := json.Marshal(want)
			if string(g) != string(w) {
				t.Errorf("%s %q: got %s, want %s", f, text, g, w)
			}
		}
	}
}

// TestSendAllocatesNothing guards against allocations for each streamed token.
func TestSendAllocatesNothing(t *testing.T) {
	a := newCompletionWriter(objectText, &sinkWriter{header: make(http.Header)})
	v := &delivery.Token{Generation: "g", Text: []byte(" token"), Upstream: "u"}
	got := testing.AllocsPerRun(1000, func() {
		v.Index++
		if err := a.send(v); err != nil {
			t.Fatal(err)
		}
	})
	if want := 0.1; got > want {
		t.Errorf("allocations per token: got %v, want at most %v", got, want)
	}
}

func BenchmarkSendToken(b *testing.B) {
	a := newCompletionWriter(objectText, &sinkWriter{header: make(http.Header)})
	v := &delivery.Token{Generation: "g", Text: []byte(" token"), Upstream: "u"}
	b.ReportAllocs()
	for b.Loop() {
		v.Index++
		_ = a.send(v)
	}
}
