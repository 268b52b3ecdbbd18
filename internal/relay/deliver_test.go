package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/linetiller/linetiller/internal/memory"
)

// TestAnswersWithoutMemoryAreForwarded guards against an answer that is lost because there is no memory to buffer it: it
// is forwarded as it arrives, of known length or not.
func TestAnswersWithoutMemoryAreForwarded(t *testing.T) {
	want := bytes.Repeat([]byte("answer"), 50_000)
	for _, length := range []int64{int64(len(want)), unknownLength} {
		for _, limit := range []int64{memory.RequestBytes, memory.RequestBytes + 20_000} {
			m, err := memory.NewAccount(limit).Reserve(memory.RequestBytes)
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			e := &exchange{request: &Request{Memory: m}, writer: w}
			a := &Answer{Body: io.NopCloser(bytes.NewReader(want)), Length: length, Status: http.StatusOK}
			read, err := readBody(t.Context(), a, m)
			if !errors.Is(err, errTooLarge) {
				t.Errorf("length %d, limit %d: got error %v, want %v", length, limit, err, errTooLarge)
			}
			if err := e.copyAnswer(a, read); err != nil || !bytes.Equal(w.Body.Bytes(), want) {
				t.Errorf("length %d, limit %d: got %d bytes and error %v, want %d", length, limit, w.Body.Len(), err, len(want))
			}
		}
	}
}

// unknownLength is the length of an answer that does not tell it.
const unknownLength = -1
