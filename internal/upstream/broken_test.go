package upstream_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/raw"
	"github.com/linetiller/linetiller/internal/upstream"
)

// TestAnswerOfAServiceCutDuringUpload guards against answers without a length that are cut off while their request is
// still being sent and look complete.
func TestAnswerOfAServiceCutDuringUpload(t *testing.T) {
	a := raw.Answer{End: raw.EndReset, Pieces: []string{"HTTP/1.1 200 OK\r\n\r\npart"}}
	u, err := raw.Listen(a)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = u.Close() }()
	c := upstream.NewClient(time.Minute)
	defer func() { _ = c.Close() }()
	for i := range 8 {
		a.Pause = time.Duration(4*i) * time.Millisecond
		u.SetAnswer(a)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+u.Address()+"/x", bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			t.Fatal(err)
		}
		r.GetBody = nil
		w, err := c.Call(r)
		if err != nil {
			continue
		}
		got, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err == nil {
			t.Errorf("attempt %d: got %q as a complete answer, want an error", i, got)
		}
	}
}
