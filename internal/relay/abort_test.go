package relay

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// heldWriter is a response writer whose writes wait until release is closed.
type heldWriter struct {
	http.ResponseWriter
	release chan struct{}
}

func (w *heldWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.ResponseWriter.Write(b)
}

// TestAbortWaitsForFailures guards against a relay that has ended while the failure of a request is still being written,
// so that its box closes the connection without an answer.
func TestAbortWaitsForFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(resource.NewView(), nil, policy.NewLengths(), "a", metric.NewSet(), slog.New(slog.DiscardHandler))
		w := &heldWriter{httptest.NewRecorder(), make(chan struct{})}
		go x.Serve(t.Context(), w, new(Request))
		synctest.Wait()
		ended := make(chan struct{})
		go func() {
			_ = x.Abort()
			close(ended)
		}()
		synctest.Wait()
		select {
		case <-ended:
			t.Error("the relay has ended before the failure of its request was written")
		default:
		}
		if got, want := x.InProgress(), 1; got != want {
			t.Errorf("in progress: got %d, want %d", got, want)
		}
		close(w.release)
		<-ended
	})
}
