package delivery

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/upstream"
)

// pausable is the handler of an engine whose process can be suspended: until the pause ends, it sends nothing and
// handles no call.
type pausable struct {
	http.Handler
	mutex sync.Mutex
	until time.Time
}

// pausedWriter is the response writer of a call to a pausable handler.
type pausedWriter struct {
	http.ResponseWriter
	handler *pausable
}

func (p *pausable) pause(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.until = time.Now().Add(d)
}

func (p *pausable) await() {
	p.mutex.Lock()
	d := time.Until(p.until)
	p.mutex.Unlock()
	time.Sleep(d)
}

func (p *pausable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.await()
	p.Handler.ServeHTTP(&pausedWriter{w, p}, r)
}

func (w *pausedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pausedWriter) Write(b []byte) (int, error) {
	w.handler.await()
	return w.ResponseWriter.Write(b)
}

// limitedTransport ends calls without a response header after headerTimeout, as the transport of a box does.
type limitedTransport struct{ http.RoundTripper }

const headerTimeout = 2 * time.Second

func (l *limitedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(q.Context())
	t := time.AfterFunc(headerTimeout, cancel)
	defer t.Stop()
	w, err := l.RoundTripper.RoundTrip(q.WithContext(ctx))
	if err == nil {
		return w, nil
	}
	cancel()
	if q.Context().Err() == nil && errors.Is(err, context.Canceled) {
		err = os.ErrDeadlineExceeded
	}
	return nil, err
}

// TestGenerationOutlastsASilence guards against generations that are given up because their engine is silent for
// longer than a resumption is tried, although it goes on.
func TestGenerationOutlastsASilence(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, 12 * time.Second, 20 * time.Second, 40 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.deliverer.engines = upstream.NewClient(headerTimeout, upstream.WithTransport(&limitedTransport{r.link}))
				p := &pausable{Handler: r.engines["engine-1"]}
				r.link.Handle("engine-1", p)
				time.AfterFunc(100*time.Millisecond, func() { p.pause(length) })
				err := r.run(t.Context(), "a", r.request("prompt length=50", ""))
				if got, want := strings.Count(r.transcript(), " token "), 50; err != nil || got != want {
					t.Errorf("got %d tokens, %v; want %d", got, err, want)
				}
			})
		})
	}
}
