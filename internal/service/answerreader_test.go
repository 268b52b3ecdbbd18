package service

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/link"
	fakeservice "github.com/linetiller/linetiller/internal/fake/service"
	"github.com/linetiller/linetiller/internal/memory"
)

// TestAnswersWithoutEndStayWithinTheMemory guards against services in trouble that send answers without end: each call
// kept up to 8 MiB of them, and a box was killed over a few calls at once.
func TestAnswersWithoutEndStayWithinTheMemory(t *testing.T) {
	const limit, calls, buffers = 8 << 20, 20, 256 << 10 // buffers of one call that are not for its answer
	withRouter(t, func(t *testing.T, r *Router, l *link.Link, _ []*fakeservice.Service) {
		var held atomic.Int64 // bytes sent of the answers in progress
		text := []byte(strings.Repeat("x", 32<<10))
		endless := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			sent := int64(0)
			defer func() { held.Add(-sent) }()
			for q.Context().Err() == nil {
				n, err := w.Write(text)
				sent += int64(n)
				if held.Add(int64(n)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
		l.Handle("desk-0", endless)
		l.Handle("desk-1", endless)
		a := memory.NewAccount(limit)
		var g sync.WaitGroup
		var ended atomic.Int64
		for range calls {
			m, err := a.Reserve(memory.RequestBytes)
			if err != nil {
				t.Fatal(err)
			}
			g.Go(func() {
				defer m.Release()
				_, err := r.Call(t.Context(), &Call{Deadline: time.Now().Add(time.Second), Header: make(http.Header), Memory: m, Method: http.MethodGet, Path: "/x", Service: "desk"})
				if err == nil {
					t.Error("got an answer, want an error")
				}
				ended.Add(1)
			})
		}
		most := int64(0)
		for ended.Load() < calls {
			most = max(most, held.Load())
			if got, maxWant := a.Reserved(), int64(limit+calls*buffers); got > maxWant {
				t.Errorf("reserved: got %d, want at most %d", got, maxWant)
			}
			time.Sleep(time.Millisecond)
		}
		g.Wait()
		if got, maxWant := most, int64(limit+calls*buffers); got == 0 || got > maxWant {
			t.Errorf("bytes read of answers in progress: got up to %d, want some, and at most %d", got, maxWant)
		}
		if got := a.Reserved(); got != 0 {
			t.Errorf("reserved after all calls: got %d, want 0", got)
		}
	})
}

// TestSmallAnswersAreReadWithoutRoom checks that a call whose answer is small is served although the account is full: it
// has run.
func TestSmallAnswersAreReadWithoutRoom(t *testing.T) {
	a := memory.NewAccount(1 << 20)
	m, err := a.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	m.Add(2 << 20)
	for _, c := range []struct {
		bytes int
		fits  bool
	}{{0, true}, {10_000, true}, {100_000, false}} {
		before := a.Reserved()
		got, err := readAnswer(strings.NewReader(strings.Repeat("x", c.bytes)), m)
		if (err == nil) != c.fits || c.fits && len(got) != c.bytes {
			t.Errorf("%d bytes: got %d and %v, want them read: %v", c.bytes, len(got), err, c.fits)
		}
		if got := a.Reserved(); !c.fits && got != before {
			t.Errorf("%d bytes: reserved after the failure: got %d, want %d", c.bytes, got, before)
		}
	}
}
