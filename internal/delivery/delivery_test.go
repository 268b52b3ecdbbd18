package delivery

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/fake/link"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
	"github.com/linetiller/linetiller/platform"
)

var update = flag.Bool("update", false, "write the golden files")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a deliverer with two engines and a platform, in memory and virtual time.
type rig struct {
	deliverer *Deliverer
	engines   map[string]*engine.Server
	link      *link.Link
	metrics   *metric.Set
	mutex     sync.Mutex // guards session
	platform  *fakeplatform.Platform
	session   strings.Builder // what the client saw
	t         *testing.T
	tracker   *placement.Tracker
	view      *resource.View
}

// withRig runs f with a rig in virtual time.
func withRig(t *testing.T, f func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{engines: make(map[string]*engine.Server), link: link.New(), metrics: metric.NewSet(), platform: fakeplatform.New(), t: t, view: resource.NewView()}
		r.link.Join("platform", r.platform)
		var changes []resource.Change
		for i, n := range []string{"engine-1", "engine-2"} {
			r.startEngine(n)
			spec := fmt.Sprintf(`{"address":"http://%s","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine"}`, n)
			changes = append(changes, resource.Change{Revision: int64(i + 1), Resource: &resource.Resource{
				Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: n}, Spec: []byte(spec),
			}})
		}
		r.view.Apply(changes, 2)
		k := requestkey.New(platform.NewStore("http://platform", platform.WithStoreTransport(r.link)).Table(), r.metrics)
		e := upstream.NewEngines(2*time.Second, upstream.WithTransport(r.link))
		r.tracker = placement.NewTracker(func(*policy.Load) {})
		r.deliverer = New(e, k, r.tracker, r.view, r.metrics, slog.New(slog.DiscardHandler))
		r.deliverer.Place = r.place
		f(t, r)
		if err := r.deliverer.Close(); err != nil {
			t.Error(err)
		}
		if err := k.Close(); err != nil {
			t.Error(err)
		}
		for _, e := range r.engines {
			_ = e.Close()
		}
		time.Sleep(time.Hour) // lets every stand-in's handler end
	})
}

// place gives the first upstream that is not avoided.
func (r *rig) place(_ context.Context, _ *policy.Work, avoid map[string]bool) (*placement.Place, error) {
	for _, n := range []string{"engine-1", "engine-2"} {
		if u := r.view.Upstream(n); !avoid[n] && u != nil && !u.Spec.Leaving {
			return &placement.Place{Granted: time.Now(), Upstream: u}, nil
		}
	}
	return nil, fail.New(fail.NotRun, fail.Place{Peer: "upstreams", Step: "choose"}, "no_upstream", "none is left")
}

func (r *rig) request(prompt, key string) *Request {
	return &Request{Key: key, Print: prompt, Prompt: prompt, Work: policy.Work{
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: newID(), MaxTokens: 100, Model: "m", Prompt: 10, Workspace: "w",
	}}
}

// note adds a line to the session.
func (r *rig) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(&r.session, format+"\n", arguments...)
}

// seen returns the session so far.
func (r *rig) seen() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.session.String()
}

// run runs a request and notes what its client sees.
func (r *rig) run(ctx context.Context, name string, q *Request) error {
	r.note("client %s asks", name)
	err := r.deliverer.Generate(ctx, q, func(t *Token) error {
		if t.Finish != "" {
			r.note("client %s end %s at %d", name, t.Finish, t.Index)
			return nil
		}
		r.note("client %s token %d%s of %s at %s", name, t.Index, t.Text, t.Generation, t.Upstream)
		return ctx.Err()
	})
	if x := errorx.Cast(err); x != nil {
		r.note("client %s error %s %s", name, x.Type().FullName(), fail.Reason(err))
	}
	return err
}

func (r *rig) startEngine(n string) {
	old := r.engines[n]
	r.engines[n] = engine.NewServer(engine.DefaultSettings(), 0)
	r.link.Join(n, r.engines[n])
	if old != nil {
		_ = old.Close()
	}
}

func (r *rig) started() int {
	n := 0
	for _, e := range r.engines {
		n += e.Started()
	}
	return n
}

var idPattern = regexp.MustCompile(`[a-z0-9]{26}`)

// golden compares the whole session, of the client and of the calls to the
// upstreams and the platform, with its file.
func (r *rig) golden(name string) {
	r.t.Helper()
	names := make(map[string]string)
	clean := func(s string) string {
		return idPattern.ReplaceAllStringFunc(s, func(id string) string {
			if names[id] == "" {
				names[id] = fmt.Sprintf("G%d", len(names)+1)
			}
			return names[id]
		})
	}
	text := regexp.MustCompile(`( t\d+)\.[0-9a-f]{4}`).ReplaceAllString(r.seen(), "$1")
	got := clean(text) + "--\n" + clean(strings.Join(r.link.Calls(), "\n")) + "\n"
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			r.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		r.t.Fatal(err)
	}
	if got != string(want) {
		r.t.Errorf("session: got\n%s\nwant\n%s", got, want)
	}
}

// checkWhole checks that client a saw tokens 0 to n-1, each once and in
// order, of one generation, with the text that this generation has.
func (r *rig) checkWhole(n int) {
	r.t.Helper()
	generation := ""
	next := 0
	for _, l := range strings.Split(r.seen(), "\n") {
		var index int
		var text, of, at string
		if c, _ := fmt.Sscanf(l, "client a token %d %s of %s at %s", &index, &text, &of, &at); c != 4 {
			continue
		}
		if generation == "" {
			generation = of
		}
		if of != generation || index != next || " "+text != engine.Token(of, index) {
			r.t.Fatalf("token: got %q, want token %d of %s", l, next, generation)
		}
		next++
	}
	if got, want := next, n; got != want {
		r.t.Errorf("tokens: got %d, want %d", got, want)
	}
}

// TestSessions runs whole sessions under faults of the upstreams.
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
		{"doubled", engine.Faults{DoubleFrames: 1}, 6, 1},
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
				r.checkWhole(x.tokens)
				if got, want := r.started(), x.starts; got != want {
					t.Errorf("generations started: got %d, want %d", got, want)
				}
				r.golden(x.name)
			})
		})
	}
}

// TestEngineLostMidStream checks that an answer whose engine dies after tokens
// were delivered ends as interrupted and is not spliced with another run.
func TestEngineLostMidStream(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.engines["engine-1"].SetFaults(engine.Faults{CutAfter: 3})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		time.AfterFunc(60*time.Millisecond, func() { r.startEngine("engine-1") })
		err := r.run(ctx, "a", r.request("length=6", ""))
		if !errorx.IsOfType(err, fail.Interrupted) {
			t.Errorf("got %v, want an interrupted outcome", err)
		}
		if got, want := r.engines["engine-2"].Started(), 0; got != want {
			t.Errorf("generations at the other engine: got %d, want %d", got, want)
		}
		r.golden("engine-lost-mid-stream")
	})
}

// TestEngineLostBeforeFirstToken checks that a request which may be repeated
// runs elsewhere where nothing was delivered, and one with a key does not.
func TestEngineLostBeforeFirstToken(t *testing.T) {
	for _, key := range []string{"", "k"} {
		t.Run("key="+key, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.engines["engine-1"].SetFaults(engine.Faults{LoseStarts: 1})
				time.AfterFunc(time.Millisecond, func() { r.startEngine("engine-1") })
				q := r.request("length=6", key)
				r.deliverer.Fresh = func(context.Context) { time.Sleep(500 * time.Microsecond) }
				r.link.Cut("engine-1", true)
				time.AfterFunc(20*time.Millisecond, func() { r.link.Cut("engine-1", false) })
				err := r.run(t.Context(), "a", q)
				if key == "" {
					if err != nil {
						t.Error(err)
					}
					r.checkWhole(6)
					return
				}
				if !errorx.IsOfType(err, fail.Interrupted) && !errorx.IsOfType(err, fail.Unknown) {
					t.Errorf("got %v, want interrupted or unknown", err)
				}
				if got, want := r.engines["engine-2"].Started(), 0; got != want {
					t.Errorf("generations at the other engine: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestNotRunIsTrue checks that each refusal that says so left nothing running.
func TestNotRunIsTrue(t *testing.T) {
	for _, x := range []struct {
		name   string
		key    string
		before func(r *rig)
	}{
		{"no upstream reachable", "", func(r *rig) { r.link.Down("engine-1", true); r.link.Down("engine-2", true) }},
		{"upstreams leaving", "", func(r *rig) {
			for _, e := range r.engines {
				e.SetFaults(engine.Faults{RefuseLeaving: true})
			}
		}},
		{"platform down", "k", func(r *rig) { r.platform.SetFaults(fakeplatform.Faults{Down: true}) }},
		{"platform cut", "k", func(r *rig) { r.link.Cut("platform", true) }},
		{"box leaving", "", func(r *rig) { _ = r.deliverer.Close() }},
		{"too many streams", "", func(r *rig) { r.deliverer.limit = 0 }},
	} {
		t.Run(x.name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				x.before(r)
				err := r.run(t.Context(), "a", r.request("length=6", x.key))
				if !errorx.IsOfType(err, fail.NotRun) {
					t.Fatalf("got %v, want not run", err)
				}
				if fail.RetryAt(err).IsZero() && fail.Reason(err) != "no_upstream" && fail.Reason(err) != "upstream_unreachable" && fail.Reason(err) != "upstream_leaving" {
					t.Errorf("%s: got no time to come back", fail.Reason(err))
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

// TestWorkspacesDoNotShutEachOtherOut lets one workspace ask for more than its
// share: it is refused, and another is served.
func TestWorkspacesDoNotShutEachOtherOut(t *testing.T) {
	for _, x := range []struct {
		reason  string
		prepare func(r *rig, q *Request)
	}{
		{"workspace_streams", func(r *rig, _ *Request) { r.deliverer.limit = 4 }},
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
				ask := func(workspace string) chan error {
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
					large = append(large, ask("large"))
				}
				small := ask("small")
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

// TestLostStartIsNeverNotRun checks that once the first byte has gone out and
// nothing more is heard, the outcome is not called "not run".
func TestLostStartIsNeverNotRun(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.link.Cut("engine-1", true)
		err := r.run(t.Context(), "a", r.request("length=6", "k"))
		if err == nil || errorx.IsOfType(err, fail.NotRun) {
			t.Errorf("got %v, want an outcome that does not say not run", err)
		}
		r.link.Cut("engine-1", false)
		time.Sleep(time.Minute)
		_ = r.run(t.Context(), "b", r.request("length=6", "k"))
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started, a repeat included: got %d, want %d", got, want)
		}
	})
}

// TestRequestKeyRunsOnce checks the repeats of a key, in each state it may be in.
func TestRequestKeyRunsOnce(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		for _, n := range []string{"a", "b"} {
			if err := r.run(t.Context(), n, r.request("length=6", "k")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if err := r.run(t.Context(), "c", r.request("length=7", "k")); !errorx.IsOfType(err, fail.Conflict) {
			t.Errorf("the key with another request: got %v, want a conflict", err)
		}
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
		r.golden("key-repeated")
	})
}

// TestRequestKeyAtTwoBoxesAtOnce races the same key at two boxes.
func TestRequestKeyAtTwoBoxesAtOnce(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		done := make(chan error, 2)
		for range 2 {
			q := r.request("length=6", "k")
			go func() { done <- r.deliverer.Generate(t.Context(), q, func(*Token) error { return nil }) }()
		}
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if got, want := r.started(), 1; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}

// TestRequestKeyWithLostAnswers loses the answers of the table's writes.
func TestRequestKeyWithLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				r.platform.SetFaults(fakeplatform.Faults{LoseAnswers: lost})
				for _, n := range []string{"a", "b"} {
					if err := r.run(t.Context(), n, r.request("length=6", "k")); err != nil {
						t.Fatal(err)
					}
					synctest.Wait()
				}
				if got, want := r.started(), 1; got != want {
					t.Errorf("generations started: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestOutcomeIsRecordedAfterAnOutage takes the platform away while a request
// with a key runs; a repeat after its return gets the recorded answer.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		time.AfterFunc(60*time.Millisecond, func() { r.platform.SetFaults(fakeplatform.Faults{Down: true}) })
		if err := r.run(t.Context(), "a", r.request("length=6", "k")); err != nil {
			t.Fatal(err)
		}
		if err := r.run(t.Context(), "b", r.request("length=6", "k")); !errorx.IsOfType(err, fail.NotRun) {
			t.Errorf("repeat during the outage: got %v, want not run", err)
		}
		time.Sleep(time.Minute)
		r.platform.SetFaults(fakeplatform.Faults{})
		time.Sleep(time.Minute)
		r.startEngine("engine-1") // the engine has forgotten it: only the record is left
		if err := r.run(t.Context(), "c", r.request("length=6", "k")); err != nil {
			t.Error(err)
		}
		if !strings.Contains(r.seen(), "client c end stop at 6") {
			t.Errorf("session: got\n%s\nwant the recorded answer for c", r.seen())
		}
	})
}

// TestBoxKilledBetweenWriteAndSend leaves a key's row without a generation, as
// a box does that dies in between: a repeat is told that the outcome is unknown.
func TestBoxKilledBetweenWriteAndSend(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		q := r.request("length=6", "k")
		_, ours, err := r.deliverer.keys.Insert(t.Context(), requestkey.RowKey("w", "k"), requestkey.Record{
			Generation: newID(), Print: q.Print, State: requestkey.StateRunning, Try: newID(), Upstream: "engine-1",
		})
		if err != nil || !ours {
			t.Fatal(ours, err)
		}
		if err := r.run(t.Context(), "a", q); !errorx.IsOfType(err, fail.Unknown) {
			t.Errorf("got %v, want unknown", err)
		}
		if got, want := r.started(), 0; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}

// TestClientReturns takes up a generation at the token after the last one seen.
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
		for _, l := range strings.Split(r.seen(), "\n") {
			var e EventID
			var text string
			if c, _ := fmt.Sscanf(l, "client a token %d %s of %s at %s", &e.Index, &text, &e.Generation, &e.Upstream); c == 4 {
				last = &e
			}
		}
		back := r.request("length=20", "")
		back.Resume = last
		if err := r.run(t.Context(), "a", back); err != nil {
			t.Error(err)
		}
		r.checkWhole(20)
		if err := <-first; !errorx.IsOfType(err, fail.Interrupted) {
			t.Errorf("the first connection: got %v, want interrupted", err)
		}
		stranger := r.request("length=20", "")
		stranger.Resume, stranger.Work.Workspace = last, "another"
		if err := r.run(t.Context(), "s", stranger); !errorx.IsOfType(err, fail.NotFound) {
			t.Errorf("another workspace: got %v, want not found", err)
		}
	})
}

// TestClientGoneForGood checks that a generation nobody reads is cancelled.
func TestClientGoneForGood(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_ = r.run(ctx, "a", r.request("length=2000", ""))
		got := strings.Join(r.link.Calls(), "\n")
		if want := "engine-1 DELETE"; !strings.Contains(got, want) {
			t.Errorf("calls: got\n%s\nwant a %s", got, want)
		}
	})
}

// TestLeavingUpstreamGetsNothingNew checks that what becomes known between the
// place and the send keeps the request away.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.deliverer.Fresh = func(context.Context) {
			spec := `{"address":"http://engine-1","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":true}`
			r.view.Apply([]resource.Change{{Revision: 3, Resource: &resource.Resource{
				Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: "engine-1"}, Spec: []byte(spec),
			}}}, 3)
		}
		if err := r.run(t.Context(), "a", r.request("length=6", "")); err != nil {
			t.Error(err)
		}
		if got, want := r.engines["engine-1"].Started(), 0; got != want {
			t.Errorf("generations at the leaving engine: got %d, want %d", got, want)
		}
		r.checkWhole(6)
	})
}

// TestCloseCutsOffNothing closes the deliverer while requests run.
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

// TestStageIsTruthful checks every pair of stage and error.
func TestStageIsTruthful(t *testing.T) {
	p := fail.Place{Peer: "p", Step: "s"}
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
		got := x.stage.truthful(fail.New(x.kind, p, "r", "m"), x.delivered)
		if !errorx.IsOfType(got, x.want) {
			t.Errorf("%q %s after %d tokens: got %v, want %s", x.stage, x.kind, x.delivered, got, x.want)
		}
		if fail.Reason(got) != "r" {
			t.Errorf("reason: got %q, want r", fail.Reason(got))
		}
	}
	if err := stageSent.truthful(errors.New("x"), 0); err == nil {
		t.Error("an error was lost")
	}
}
