package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/memory"
	"github.com/linetiller/linetiller/platform"
)

// endlessBody answers each request with text without end, in pieces of 64 KiB each millisecond, until its caller closes
// the answer.
type endlessBody struct {
	text string
	sent atomic.Int64 // bytes of all answers
}

func (b *endlessBody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const piece = 64 << 10
	h := w.Header()
	h.Set("X-Linetiller-Request-Id", r.Header.Get("X-Linetiller-Request-Id"))
	h.Set("X-Linetiller-Server-Stamp", "stamp")
	text := strings.Repeat(b.text, piece/len(b.text))
	for r.Context().Err() == nil {
		n, err := w.Write([]byte(text))
		if b.sent.Add(int64(n)); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// TestStreamOfBytesWithoutEnd guards against an upstream in trouble that sends bytes that are no events: a box reads a
// bounded number of them, and a stream that may be resumed goes on at another upstream.
func TestStreamOfBytesWithoutEnd(t *testing.T) {
	const maxWant = 2 << 20
	for name, text := range map[string]string{"one line": "x", "comments": ": comment\n", "empty lines": "\n", "data": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			withRig(t, 2, 0, func(t *testing.T, r *rig) {
				b := &endlessBody{text: text}
				r.link.Handle("u1", b)
				s, err := r.readStream(checkRequest(t.Context(), 200), nil)
				if err != nil || !s.complete || s.events != 50 || b.sent.Load() > maxWant {
					t.Errorf("a stream that may be resumed: got %+v %v and %d bytes read, want 50 events, an end and at most %d", s, err, b.sent.Load(), maxWant)
				}
				b.sent.Store(0)
				began := time.Now()
				w, _, err := r.do(planRequest(t.Context(), "plan", 200))
				if err == nil && w.StatusCode == http.StatusOK || b.sent.Load() > maxWant || time.Since(began) > time.Second {
					t.Errorf("another stream: got %+v %v after %s and %d bytes read, want a failure at once and at most %d", w, err, time.Since(began), b.sent.Load(), maxWant)
				}
			})
		})
	}
}

// TestAnswerWithoutEnd guards against an answer without end that holds its caller longer than the route allows, or looks
// complete.
func TestAnswerWithoutEnd(t *testing.T) {
	for _, path := range []string{"/once/x", "/often/x"} {
		withRig(t, 0, 1, func(t *testing.T, r *rig) {
			r.link.Handle("s1", &endlessBody{text: "x"})
			began := time.Now()
			w, _, err := r.do(request(t.Context(), http.MethodPost, path, "id", ""))
			if err == nil && w.StatusCode < http.StatusInternalServerError {
				t.Errorf("%s: got %+v, want an answer that is cut off", path, w)
			}
			if got, maxWant := time.Since(began), 2*time.Second; got > maxWant {
				t.Errorf("%s: the answer ended after %s, want at most the 1.5 s of the route and half a second", path, got)
			}
		})
	}
}

// TestAnswersWithoutEndToSlowCallers guards against answers without end, several at once, whose callers do not read them:
// a box may hold only what it has memory for, and requests beside them are served.
func TestAnswersWithoutEndToSlowCallers(t *testing.T) {
	const limit, callers, buffers = 8 << 20, 40, 256 << 10 // buffers of one request that are not for its answer's body
	withRig(t, 0, 2, func(t *testing.T, r *rig) {
		b := &endlessBody{text: "x"}
		r.link.Handle("s1", b)
		i := platform.NewIngress(r.relay, 1<<20)
		i.Memory = memory.NewAccount(limit)
		r.link.Handle("small-box", i)
		send := func(id string) (*http.Response, error) {
			q := request(t.Context(), http.MethodPost, "/once/x", id, "")
			q.URL.Host = "small-box"
			return r.link.RoundTrip(q)
		}
		var g sync.WaitGroup
		for n := range callers {
			g.Go(func() {
				w, err := send(fmt.Sprint("id-", n))
				if err != nil {
					return
				}
				time.Sleep(time.Second)
				_ = w.Body.Close()
			})
		}
		time.Sleep(time.Second / 2)
		if got, maxWant := b.sent.Load(), int64(limit+callers*buffers); got == 0 || got > maxWant {
			t.Errorf("bytes read of all answers: got %d, want some, and at most %d", got, maxWant)
		}
		if got := i.Memory.Reserved(); got > limit {
			t.Errorf("reserved: got %d, want at most %d", got, limit)
		}
		r.remove("s1")
		w, err := send("beside")
		if err != nil || w.StatusCode != http.StatusOK {
			t.Errorf("a request beside them: got %+v, %v; want status 200", w, err)
		} else {
			_ = w.Body.Close()
		}
		g.Wait()
		time.Sleep(2 * time.Second)
		if got := i.Memory.Reserved(); got != 0 {
			t.Errorf("reserved after all requests: got %d, want 0", got)
		}
	})
}

// TestLargeHeadersStayWithinTheMemory guards against an upstream in trouble whose answers have many fields: a box holds
// them until the answers end, and a short field takes many times its text.
func TestLargeHeadersStayWithinTheMemory(t *testing.T) {
	const limit, callers, fields, fieldBytes = 8 << 20, 40, 5_000, 200
	withRig(t, 0, 1, func(t *testing.T, r *rig) {
		r.link.Handle("s1", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			h := w.Header()
			for i := range fields {
				h[fmt.Sprintf("%X", i)] = []string{""}
			}
			h.Set("X-Linetiller-Request-Id", q.Header.Get("X-Linetiller-Request-Id"))
			h.Set("X-Linetiller-Server-Stamp", "stamp")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-q.Context().Done():
			case <-time.After(time.Second):
			}
			_, _ = w.Write([]byte("answer"))
		}))
		i := platform.NewIngress(r.relay, 1<<20)
		i.Memory = memory.NewAccount(limit)
		r.link.Handle("small-box", i)
		var g sync.WaitGroup
		var answered atomic.Int64
		for n := range callers {
			g.Go(func() {
				q := request(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("id-", n), "")
				q.URL.Host = "small-box"
				w, err := r.link.RoundTrip(q)
				if err != nil {
					return
				}
				if _, large := w.Header["0"]; large {
					answered.Add(1)
				}
				_ = w.Body.Close()
			})
		}
		g.Wait()
		time.Sleep(2 * time.Second)
		if got, maxWant := int(answered.Load()), limit/(fields*fieldBytes); got == 0 || got > maxWant {
			t.Errorf("large headers held at once: got %d, want some, and at most %d", got, maxWant)
		}
		if got := i.Memory.Reserved(); got != 0 {
			t.Errorf("reserved after all requests: got %d, want 0", got)
		}
	})
}

// TestUsualHeadersPassWithoutRoom guards against sound answers that fail for their header while events of streams have
// filled the account beyond its limit: their requests have run.
func TestUsualHeadersPassWithoutRoom(t *testing.T) {
	withRig(t, 0, 1, func(t *testing.T, r *rig) {
		i := platform.NewIngress(r.relay, 1<<20)
		i.Memory = memory.NewAccount(1 << 20)
		r.link.Handle("small-box", i)
		r.engines["s1"].SetFaults(routed.Faults{Delay: 100 * time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() {
			m, err := i.Memory.Reserve(1)
			if err != nil {
				t.Error(err)
			}
			m.Add(2 << 20)
		})
		q := request(t.Context(), http.MethodPost, "/once/x", "id", "")
		q.URL.Host = "small-box"
		w, err := r.link.RoundTrip(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = w.Body.Close()
		if got, want := w.StatusCode, http.StatusOK; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
}
