package delivery

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestSessions runs requests against an engine with various faults. The client must see each token
// exactly once, and the calls to the upstreams and the platform must match the golden file.
func TestSessions(t *testing.T) {
	for _, x := range []struct {
		name   string
		faults engine.Faults
		tokens int
		starts int
	}{
		{"whole", engine.Faults{}, 6, 1},
		{"cut", engine.Faults{CutAfter: 2}, 6, 1},
		{"stalled", engine.Faults{StallAfter: 4}, 6, 1},
		{"doubled", engine.Faults{DuplicateFrames: 1}, 6, 1},
		{"crossed", engine.Faults{CrossFrames: 1}, 6, 1},
		{"skipped", engine.Faults{SkipFrames: 1}, 6, 1},
		{"start-lost", engine.Faults{LoseStarts: 1}, 6, 1},
		{"leaving", engine.Faults{RefuseLeaving: true}, 6, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.engines["engine-1"].SetFaults(x.faults)
				if err := r.run(t.Context(), "a", r.request("length=6", "")); err != nil {
					t.Error(err)
				}
				r.checkTokens(x.tokens)
				if got, want := r.started(), x.starts; got != want {
					t.Errorf("generations started: got %d, want %d", got, want)
				}
				r.golden(x.name)
			})
		})
	}
}

// TestEngineLostMidStream checks that a request whose engine restarts after tokens were delivered ends
// as interrupted, and is not continued with the tokens of another generation.
func TestEngineLostMidStream(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.engines["engine-1"].SetFaults(engine.Faults{CutAfter: 3})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		time.AfterFunc(60*time.Millisecond, func() { r.restartEngine("engine-1") })
		err := r.run(ctx, "a", r.request("length=6", ""))
		if !errorx.IsOfType(err, fail.Interrupted) {
			t.Errorf("got %v, want an interrupted outcome", err)
		}
		if got, want := r.engines["engine-2"].StartedGenerations(), 0; got != want {
			t.Errorf("generations at the other engine: got %d, want %d", got, want)
		}
		r.golden("engine-lost-mid-stream")
	})
}

// TestEngineLostBeforeFirstToken checks that a request without a key is retried at another upstream if
// its engine is lost before the first token, and that one with a key is not.
func TestEngineLostBeforeFirstToken(t *testing.T) {
	for _, key := range []string{"", "k"} {
		t.Run("key="+key, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.engines["engine-1"].SetFaults(engine.Faults{LoseStarts: 1})
				time.AfterFunc(time.Millisecond, func() { r.restartEngine("engine-1") })
				q := r.request("length=6", key)
				r.deliverer.RefreshViews = func(context.Context) { time.Sleep(500 * time.Microsecond) }
				r.link.DropAnswers("engine-1", true)
				time.AfterFunc(20*time.Millisecond, func() { r.link.DropAnswers("engine-1", false) })
				err := r.run(t.Context(), "a", q)
				if key == "" {
					if err != nil {
						t.Error(err)
					}
					r.checkTokens(6)
					return
				}
				if !errorx.IsOfType(err, fail.Interrupted) && !errorx.IsOfType(err, fail.Unknown) {
					t.Errorf("got %v, want interrupted or unknown", err)
				}
				if got, want := r.engines["engine-2"].StartedGenerations(), 0; got != want {
					t.Errorf("generations at the other engine: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestNotRunIsTrue checks for each cause of a refusal that its type is fail.NotRun, that it is counted,
// that it carries a retry time where one is known, and that no generation was started.
func TestNotRunIsTrue(t *testing.T) {
	for _, x := range []struct {
		name   string
		key    string
		before func(r *rig)
	}{
		{"no upstream reachable", "", func(r *rig) { r.link.SetDown("engine-1", true); r.link.SetDown("engine-2", true) }},
		{"upstreams leaving", "", func(r *rig) {
			for _, e := range r.engines {
				e.SetFaults(engine.Faults{RefuseLeaving: true})
			}
		}},
		{"platform down", "k", func(r *rig) { r.platform.SetFaults(fakeplatform.Faults{Down: true}) }},
		{"platform cut", "k", func(r *rig) { r.link.DropAnswers("platform", true) }},
		{"box leaving", "", func(r *rig) { _ = r.deliverer.Close() }},
		{"too many streams", "", func(r *rig) { r.deliverer.maxInProgress = 0 }},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				x.before(r)
				err := r.run(t.Context(), "a", r.request("length=6", x.key))
				if !errorx.IsOfType(err, fail.NotRun) {
					t.Fatalf("got %v, want not run", err)
				}
				if fail.RetryAt(err).IsZero() && fail.Reason(err) != "no_upstream" && fail.Reason(err) != "upstream_unreachable" && fail.Reason(err) != "upstream_leaving" {
					t.Errorf("%s: got no retry time", fail.Reason(err))
				}
				if got, want := r.metrics.Value(metric.Refusals, "reason", fail.Reason(err)), uint64(1); got != want {
					t.Errorf("counter of %s: got %d, want %d", fail.Reason(err), got, want)
				}
				if got, want := r.started(), 0; got != want {
					t.Errorf("generations started: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestWorkspacesDoNotShutEachOtherOut checks that a workspace that exceeds its share of requests in
// progress or its queue limit is refused, while another workspace is served.
func TestWorkspacesDoNotShutEachOtherOut(t *testing.T) {
	for _, x := range []struct {
		reason  string
		prepare func(r *rig, q *Request)
	}{
		{"workspace_streams", func(r *rig, _ *Request) { r.deliverer.maxInProgress = 4 }},
		{"workspace_queue_full", func(r *rig, q *Request) {
			q.MaxQueued = 3
			r.deliverer.Place = func(ctx context.Context, w *policy.Work, avoid map[string]bool) (*placement.Place, error) {
				time.Sleep(time.Second)
				return r.place(ctx, w, avoid)
			}
		}},
	} {
		t.Run(x.reason, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				generate := func(workspace string) chan error {
					q := r.request("length=50", "")
					q.Work.Workspace = workspace
					x.prepare(r, q)
					done := make(chan error, 1)
					go func() { done <- r.deliverer.Generate(t.Context(), q, func(*Token) error { return nil }) }()
					synctest.Wait()
					return done
				}
				var large []chan error
				for range 4 {
					large = append(large, generate("large"))
				}
				small := generate("small")
				for i, c := range append(large, small) {
					want := ""
					if i == 3 {
						want = x.reason
					}
					err := <-c
					if got := fail.Reason(err); (err == nil) != (want == "") || (err != nil && got != want) {
						t.Errorf("request %d: got %v, want %q", i, err, want)
					}
				}
			})
		})
	}
}

// TestLostStartIsNeverNotRun checks that a request is not reported as not run if the connection is lost
// after the start was sent, and that a repeat does not start a second generation.
func TestLostStartIsNeverNotRun(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.link.DropAnswers("engine-1", true)
		err := r.run(t.Context(), "a", r.request("length=6", "k"))
		if err == nil || errorx.IsOfType(err, fail.NotRun) {
			t.Errorf("got %v, want an outcome that does not say not run", err)
		}
		r.link.DropAnswers("engine-1", false)
		time.Sleep(time.Minute)
		_ = r.run(t.Context(), "b", r.request("length=6", "k"))
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started, a repeat included: got %d, want %d", got, want)
		}
	})
}

// TestClientReturns checks that a client that reconnects receives the generation from the token after
// the last one that it received, and that another workspace cannot resume it.
func TestClientReturns(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		q := r.request("length=20", "")
		first := make(chan error, 1)
		go func() { first <- r.run(ctx, "a", q) }()
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		var last *EventID
		for _, l := range strings.Split(r.transcript(), "\n") {
			var e EventID
			var text string
			if c, _ := fmt.Sscanf(l, "client a token %d %s of %s at %s", &e.Index, &text, &e.Generation, &e.Upstream); c == 4 {
				last = &e
			}
		}
		resumed := r.request("length=20", "")
		resumed.ResumeAfter = last
		if err := r.run(t.Context(), "a", resumed); err != nil {
			t.Error(err)
		}
		r.checkTokens(20)
		if err := <-first; !errorx.IsOfType(err, fail.Interrupted) {
			t.Errorf("first connection: got %v, want interrupted", err)
		}
		other := r.request("length=20", "")
		other.ResumeAfter, other.Work.Workspace = last, "another"
		if err := r.run(t.Context(), "s", other); !errorx.IsOfType(err, fail.NotFound) {
			t.Errorf("another workspace: got %v, want not found", err)
		}
	})
}

// TestClientGoneForGood checks that a generation is cancelled if its client disconnects and does not
// reconnect.
func TestClientGoneForGood(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_ = r.run(ctx, "a", r.request("length=2000", ""))
		got := strings.Join(r.link.Calls(), "\n")
		if want := "engine-1 DELETE"; !strings.Contains(got, want) {
			t.Errorf("calls: got\n%s\nwant %s", got, want)
		}
	})
}

// TestLeavingUpstreamGetsNothingNew checks that a request is not sent to an upstream that is found to be
// leaving after the place was granted and before the send.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.deliverer.RefreshViews = func(context.Context) {
			spec := `{"address":"http://engine-1","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":true}`
			r.view.Apply([]resource.Change{{Revision: 3, Resource: &resource.Resource{
				Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: "engine-1"}, Spec: []byte(spec),
			}}}, 3)
		}
		if err := r.run(t.Context(), "a", r.request("length=6", "")); err != nil {
			t.Error(err)
		}
		if got, want := r.engines["engine-1"].StartedGenerations(), 0; got != want {
			t.Errorf("generations at the leaving engine: got %d, want %d", got, want)
		}
		r.checkTokens(6)
	})
}

// TestCloseCutsOffNothing checks that requests in progress complete when the deliverer is closed.
func TestCloseCutsOffNothing(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		done := make(chan error, 10)
		for range 10 {
			q := r.request("length=50", "")
			go func() { done <- r.deliverer.Generate(t.Context(), q, func(*Token) error { return nil }) }()
		}
		time.Sleep(100 * time.Millisecond)
		if err := r.deliverer.Close(); err != nil {
			t.Error(err)
		}
		for range 10 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
}

func TestParseEventID(t *testing.T) {
	for _, s := range []string{"", "a", "a/b", "a/b/c", "a/b/-1", "/b/1", "a//1", "a/b/1/2"} {
		if _, err := ParseEventID(s); err == nil {
			t.Errorf("%q: got no error", s)
		}
	}
	e := EventID{Generation: "g", Index: 7, Upstream: "u"}
	got, err := ParseEventID(e.String())
	if err != nil || *got != e {
		t.Errorf("got %v %v, want %v", got, err, e)
	}
}

// TestStageIsTruthful checks the types of the errors that correctError returns.
func TestStageIsTruthful(t *testing.T) {
	p := fail.Origin{Peer: "p", Step: "s"}
	for _, x := range []struct {
		stage     stage
		kind      *errorx.Type
		delivered int
		want      *errorx.Type
	}{
		{stageNotRun, fail.NotRun, 0, fail.NotRun},
		{stageNotRun, fail.Unknown, 0, fail.NotRun},
		{stageNotRun, fail.Unavailable, 0, fail.NotRun},
		{stageNotRun, fail.Conflict, 0, fail.Conflict},
		{stageSent, fail.NotRun, 0, fail.Unknown},
		{stageSent, fail.Unknown, 0, fail.Unknown},
		{stageSent, fail.Interrupted, 0, fail.Interrupted},
		{stageSent, fail.NotRun, 3, fail.Interrupted},
		{stageSent, fail.Unavailable, 3, fail.Interrupted},
	} {
		got := x.stage.correctError(fail.New(x.kind, p, "r", "m"), x.delivered)
		if !errorx.IsOfType(got, x.want) {
			t.Errorf("%q %s after %d tokens: got %v, want %s", x.stage, x.kind, x.delivered, got, x.want)
		}
		if fail.Reason(got) != "r" {
			t.Errorf("reason: got %q, want r", fail.Reason(got))
		}
	}
	if err := stageSent.correctError(errors.New("x"), 0); err == nil {
		t.Error("untyped error: got nil")
	}
}
