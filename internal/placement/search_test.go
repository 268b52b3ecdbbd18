package placement

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
)

// newFullHalls returns a Reserver with 60 engines in three halls. The engines of the halls named
// are full and queue all work; the others start it. requestCounts returns the number of
// placement requests by hall.
func newFullHalls(full ...string) (p *Reserver, requestCounts func() map[string]int) {
	v, m := testView(60, 6)
	p = NewReserver(v, m, policy.NewLengths(), metric.NewSet(), 1)
	var mutex sync.Mutex // a cancelled request may still be in progress
	counts := make(map[string]int)
	requestCounts = func() map[string]int {
		mutex.Lock()
		defer mutex.Unlock()
		return maps.Clone(counts)
	}
	answer := func(ctx context.Context, a *box.PlacementRequest, answer func(*box.Reply) error) {
		h := v.Upstream(a.Upstream).Spec.Hall
		mutex.Lock()
		counts[h]++
		mutex.Unlock()
		if !slices.Contains(full, h) {
			_ = answer(&box.Reply{Answer: &policy.Answer{ID: a.Work.ID, Verdict: policy.VerdictStart}})
			return
		}
		_ = answer(&box.Reply{Answer: &policy.Answer{ID: a.Work.ID, Verdict: policy.VerdictQueue}})
		<-ctx.Done()
	}
	p.RequestLocal = answer
	p.RequestRemote = func(ctx context.Context, _ string, a *box.PlacementRequest, f func(*box.Reply) error) error {
		answer(ctx, a, f)
		return ctx.Err()
	}
	return p, requestCounts
}

// TestFullHallIsLeftBeforeWorkWaits guards against work that waits in the queue of its own hall
// while other halls have capacity: all twenty engines of its hall are full. A queued stream
// starts late, which costs most of its value, while one in another hall ends early only if the
// halls are disconnected.
func TestFullHallIsLeftBeforeWorkWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, requestCounts := newFullHalls("h0")
		for range 20 {
			began := time.Now()
			w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), FirstBy: began.Add(7 * time.Second), ID: "id", MaxTokens: 400, Model: "m", Prompt: 3000}
			v, err := p.Place(t.Context(), w, nil)
			if err != nil || v.Upstream.Spec.Hall == "h0" {
				t.Fatalf("got %+v %v, want a place in another hall", v, err)
			}
		}
		if got, limit := requestCounts()["h0"], 20*maxProbes; got > limit {
			t.Errorf("requests in the full hall: got %d, want at most %d", got, limit)
		}
	})
}

// TestWorkLooksAgainWhileItWaits guards against work that stays in the queue of one upstream
// while another becomes free: all 60 engines are full until those of another hall get capacity.
// The work must start there soon, long before its target time.
func TestWorkLooksAgainWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFullHalls("h0", "h1", "h2")
		began := time.Now()
		startIfFree := func(a *box.PlacementRequest, f func(*box.Reply) error) bool {
			if time.Since(began) < 300*time.Millisecond {
				return false
			}
			u := p.view.Upstream(a.Upstream)
			if u.Spec.Hall != "h2" {
				return false
			}
			_ = f(&box.Reply{Answer: &policy.Answer{ID: a.Work.ID, Verdict: policy.VerdictStart}})
			return true
		}
		local, call := p.RequestLocal, p.RequestRemote
		p.RequestLocal = func(ctx context.Context, a *box.PlacementRequest, f func(*box.Reply) error) {
			if !startIfFree(a, f) {
				local(ctx, a, f)
			}
		}
		p.RequestRemote = func(ctx context.Context, o string, a *box.PlacementRequest, f func(*box.Reply) error) error {
			if startIfFree(a, f) {
				return nil
			}
			return call(ctx, o, a, f)
		}
		w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), FirstBy: began.Add(7 * time.Second), ID: "id", MaxTokens: 400, Model: "m", Prompt: 3000}
		v, err := p.Place(t.Context(), w, nil)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); v.Upstream.Spec.Hall != "h2" || took > 1300*time.Millisecond {
			t.Errorf("got a place in %s after %v, want one in h2 within 1.3 s", v.Upstream.Spec.Hall, took)
		}
	})
}

// TestWorkWaitsWhereAllHallsAreFull checks that, when no engine has capacity, a few engines of
// each hall are probed before the work waits in a queue.
func TestWorkWaitsWhereAllHallsAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, requestCounts := newFullHalls("h0", "h1", "h2")
		began := time.Now()
		w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), FirstBy: began.Add(initialQueueWait), ID: "id", MaxTokens: 400, Model: "m", Prompt: 750}
		if v, err := p.Place(t.Context(), w, nil); err == nil {
			t.Fatalf("got %+v, want no place", v)
		}
		total := 0
		counts := requestCounts()
		for n := range maps.Values(counts) {
			total += n
		}
		if limit := maxProbes + maxProbesOtherHalls + 1; total > limit || counts["h0"] == 0 || counts["h1"]+counts["h2"] == 0 {
			t.Errorf("requests by hall: got %v, want some in the hall of the work and in the others, and at most %d", counts, limit)
		}
	})
}

// TestSearchForLargePromptsOutlastsAFewRefusals gives capacity to one engine in six, while the
// others refuse at once because the work would start too late there. Most large prompts must get
// a place, and work that gets none must be refused quickly.
func TestSearchForLargePromptsOutlastsAFewRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFullHalls()
		hasRoom := make(map[string]bool)
		for i, u := range p.view.UpstreamsOfModel("m") {
			hasRoom[u.Name] = i%6 == 0
		}
		answer := func(_ context.Context, a *box.PlacementRequest, f func(*box.Reply) error) {
			time.Sleep(3 * time.Millisecond)
			v := &policy.Answer{ID: a.Work.ID, Reason: policy.ReasonDeadline, Verdict: policy.VerdictRefuse}
			if hasRoom[a.Upstream] {
				v.Verdict = policy.VerdictStart
			}
			_ = f(&box.Reply{Answer: v})
		}
		p.RequestLocal = answer
		p.RequestRemote = func(ctx context.Context, _ string, a *box.PlacementRequest, f func(*box.Reply) error) error {
			answer(ctx, a, f)
			return nil
		}
		large, placed := 0, 0
		for i := range 1000 {
			began := time.Now()
			w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), ID: "id", MaxTokens: 400, Model: "m", Prompt: 1000 + i%10*200}
			_, err := p.Place(t.Context(), w, nil)
			if got, limit := time.Since(began), 40*time.Millisecond; got > limit {
				t.Errorf("answer: got it after %v, want it within %v", got, limit)
			}
			if w.Large {
				large++
				if err == nil {
					placed++
				}
			}
		}
		if minimum := 55 * large / 100; large < 50 || placed < minimum {
			t.Errorf("large prompts with a place: got %d of %d, want at least %d", placed, large, minimum)
		}
	})
}

// TestWorkIsRefusedWhileItsCallerIsThere guards against refusals that come only when the caller
// disconnects. No engine has capacity, and the caller waits two seconds for its first token: it
// must be refused as soon as its prompt, which takes 0.4 s to prefill, could no longer be
// prefilled in time.
func TestWorkIsRefusedWhileItsCallerIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFullHalls("h0", "h1", "h2")
		began := time.Now()
		w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), FirstBy: began.Add(2 * time.Second), ID: "id", MaxTokens: 400, Model: "m", Prompt: 3000}
		_, err := p.Place(t.Context(), w, nil)
		if got, want := fail.Reason(err), string(policy.ReasonDeadline); got != want {
			t.Errorf("reason: got %s, want %s", got, want)
		}
		if got, want := time.Since(began), 1600*time.Millisecond; got > want {
			t.Errorf("refused after: got %v, want at most %v", got, want)
		}
	})
}

// TestPromptsThatTakeLongAreNotGivenUp guards against refusing a prompt merely because its
// estimated prefill time exceeds the time that its caller waits: a place must still be requested at
// an engine with capacity.
func TestPromptsThatTakeLongAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newFullHalls()
		now := time.Now()
		w := &policy.Work{Arrived: now, Deadline: now.Add(time.Minute), FirstBy: now.Add(2 * time.Second), ID: "id", MaxTokens: 400, Model: "m", Prompt: 30_000}
		if v, err := p.Place(t.Context(), w, nil); err != nil {
			t.Errorf("got %+v %v, want a place", v, err)
		}
	})
}

// TestWorkThatDoesNotQueue checks that such work is placed where it can start at once, and is refused within
// a few requests otherwise.
func TestWorkThatDoesNotQueue(t *testing.T) {
	for _, x := range []struct {
		full  []string
		found bool
	}{
		{[]string{"h0"}, true},
		{[]string{"h0", "h1", "h2"}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, requestCounts := newFullHalls(x.full...)
			began := time.Now()
			w := &policy.Work{Arrived: began, Deadline: began.Add(time.Minute), ID: "id", MaxTokens: 400, Model: "m", NoQueue: true, Prompt: 3000}
			v, err := p.Place(t.Context(), w, nil)
			if got := err == nil; got != x.found {
				t.Errorf("full halls %v: got %+v %v, want a place: %v", x.full, v, err, x.found)
			}
			sum := 0
			for _, n := range requestCounts() {
				sum += n
			}
			if limit := maxProbes + maxProbesOtherHalls; sum > limit || time.Since(began) > 100*time.Millisecond {
				t.Errorf("full halls %v: got %d requests in %s, want at most %d at once", x.full, sum, time.Since(began), limit)
			}
		})
	}
}
