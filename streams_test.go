package linetiller_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
)

// tokenChecker checks that the tokens which a client gets are those of one generation: complete, in
// order and each once.
type tokenChecker struct {
	generation string
	next       int
	upstream   string
}

func (c *tokenChecker) check(id, text string) error {
	p := strings.Split(id, "/")
	if len(p) != 3 {
		return fmt.Errorf("event id %q", id)
	}
	if c.generation == "" {
		c.upstream, c.generation = p[0], p[1]
	}
	if p[0] != c.upstream || p[1] != c.generation || p[2] != fmt.Sprint(c.next) || text != engine.Token(c.generation, c.next) {
		return fmt.Errorf("got token %q %q, want token %d of %s at %s", id, text, c.next, c.generation, c.upstream)
	}
	c.next++
	return nil
}

func (h *hall) startedGenerations() int {
	n := 0
	for _, e := range h.engines {
		n += e.StartedGenerations()
	}
	return n
}

// TestBoxKilledMidStream kills the box that streams: the client resumes at another box, without a
// second generation.
func TestBoxKilledMidStream(t *testing.T) {
	h := newHall(t, 3, 2)
	c := new(tokenChecker)
	g := h.client(0, 1)
	g.OnToken = func(id, text string) error {
		if c.next == 20 {
			go func() { _ = h.boxes[0].Close() }()
		}
		return c.check(id, text)
	}
	finish, boxes, err := g.Run(t.Context(), &client.GenerationRequest{Model: testModel, Prompt: "length=300"})
	if err != nil || finish != "stop" {
		t.Fatalf("got %q %v, want stop", finish, err)
	}
	if got, want := boxes, 2; got != want {
		t.Errorf("boxes asked: got %d, want %d", got, want)
	}
	if got, want := c.next, 300; got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
	if got, want := h.startedGenerations(), 1; got != want {
		t.Errorf("generations started: got %d, want %d", got, want)
	}
}

// TestAllBoxesReplacedUnderLoad replaces the boxes one by one while clients keep sending requests,
// each to a single box: none is interrupted or runs twice.
func TestAllBoxesReplacedUnderLoad(t *testing.T) {
	h := newHall(t, 3, 2)
	var addresses sync.Map // client addresses by number of the box
	for n := range h.boxes {
		addresses.Store(n, "http://"+h.boxes[n].ClientAddress())
	}
	ready := func() []string { // the ready boxes, to which alone the load balancer sends requests
		var l []string
		addresses.Range(func(_, a any) bool {
			w, err := http.Get(a.(string) + "/readyz")
			if err == nil {
				_ = w.Body.Close()
				if w.StatusCode == http.StatusOK {
					l = append(l, a.(string))
				}
			}
			return true
		})
		return l
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c := new(tokenChecker)
				l := ready()
				if len(l) == 0 {
					continue
				}
				g := &client.Generator{Boxes: l[n%len(l) : n%len(l)+1], HTTP: &http.Client{}, Key: testKey, OnToken: c.check}
				a := &client.GenerationRequest{Model: testModel, Prompt: fmt.Sprintf("client %d length=40", n)}
				if i%2 == 0 {
					a.Key = fmt.Sprintf("key-%d-%d", n, i)
				}
				_, _, err := g.Run(t.Context(), a)
				if c.next == 0 && (fail.Reason(err) == "box_leaving" || fail.Reason(err) == "box_unreachable") {
					continue // the box left after the readiness check: not run
				}
				if err != nil || c.next != 40 {
					t.Errorf("client %d: got %d tokens, %v; want 40", n, c.next, err)
					return
				}
				served.Add(1)
			}
		})
	}
	for n := range 3 {
		h.startBox()
		addresses.Store(3+n, "http://"+h.boxes[3+n].ClientAddress())
		before := served.Load()
		h.boxes[n].Leave()
		for served.Load() < before+20 && !t.Failed() {
			time.Sleep(time.Millisecond)
		}
	}
	close(stop)
	clients.Wait()
	if got, want := h.startedGenerations(), int(served.Load()); got != want {
		t.Errorf("generations started: got %d, want %d, one for each answer", got, want)
	}
}

// TestStopAtOnceEndsEveryStream closes a box during a stream, which has to end with an error.
func TestStopAtOnceEndsEveryStream(t *testing.T) {
	h := newHall(t, 1, 1)
	begun := make(chan struct{})
	var once sync.Once
	g := h.client(0)
	g.OnToken = func(string, string) error {
		once.Do(func() { close(begun) })
		return nil
	}
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, _, err := g.Run(ctx, &client.GenerationRequest{Model: testModel, Prompt: "length=3000"})
		done <- err
	}()
	<-begun
	if got, want := h.boxes[0].InProgress(), 1; got != want {
		t.Errorf("requests in progress: got %d, want %d", got, want)
	}
	_ = h.boxes[0].Close()
	if err := <-done; err == nil {
		t.Error("the stream of a box that stopped at once ended as if complete")
	}
}
