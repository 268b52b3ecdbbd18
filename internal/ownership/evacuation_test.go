package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// applyChange applies a single change to a view.
func applyChange(v *resource.View, revision int64, s resource.Source, k resource.Kind, name, spec string, deleted bool) {
	v.Merge(&resource.Batch{Revision: revision, Source: s, Changes: []resource.Change{{
		Deleted: deleted, Revision: revision, Resource: &resource.Resource{Kind: k, Metadata: resource.Metadata{Name: name}, Spec: json.RawMessage(spec)},
	}}})
}

// TestWhatWaitsGoesElsewhereAtOnce evacuates the hall of an engine that has queued work. The
// queued work must be refused within about a tenth of a second, so that it can go elsewhere, and
// new work must be refused until the evacuation is withdrawn.
func TestWhatWaitsGoesElsewhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := resource.NewView()
		applyChange(v, 1, resource.SourceUpstreams, resource.KindUpstream, "u1", `{"address":"http://u1","hall":"a","models":["m"],"kvTokens":4000,"maxBatch":8,"type":"engine"}`, false)
		o := New(v, member.NewTable(box.Member{Hall: "a", Name: "box-1", State: box.StateServing}), policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler))
		o.ReadLoad = func(context.Context, string) (*upstream.Load, error) { return &upstream.Load{AsOf: time.Now()}, nil }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			o.Run(ctx)
			close(done)
		}()
		time.Sleep(5 * time.Second)
		request := func(id string) chan *policy.Answer {
			c := make(chan *policy.Answer, 4)
			w := policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: id, MaxTokens: 100, Model: "m", Prompt: 3000}
			go o.RequestPlace(ctx, &box.PlacementRequest{Upstream: "u1", Work: w}, func(r *box.Reply) error {
				c <- r.Answer
				return nil
			})
			return c
		}
		if a := <-request("first"); a.Verdict != policy.VerdictStart {
			t.Fatalf("first request: got %+v, want a place", a)
		}
		queued := request("waits")
		if a := <-queued; a.Verdict != policy.VerdictQueue {
			t.Fatalf("second request: got %+v, want it queued", a)
		}
		applyChange(v, 2, resource.SourceEvacuations, resource.KindEvacuation, "e", `{"hall":"a"}`, false)
		began := time.Now()
		if a := <-queued; a.Reason != policy.ReasonEvacuated || !a.RetryAt.After(began) {
			t.Errorf("queued request: got %+v, want a refusal with a retry time", a)
		}
		if got, limit := time.Since(began), assignInterval+2*tickInterval; got > limit {
			t.Errorf("queued request: refused after %v, want at most %v", got, limit)
		}
		if a := <-request("new"); a.Reason != policy.ReasonEvacuated {
			t.Errorf("new request: got %+v, want a refusal", a)
		}
		applyChange(v, 3, resource.SourceEvacuations, resource.KindEvacuation, "e", `{"hall":"a"}`, true)
		time.Sleep(time.Second)
		o.RecordProgress(&box.ProgressReport{Upstream: "u1", Items: []box.GenerationProgress{{Released: true, ID: "first"}}})
		if a := <-request("back"); a.Verdict != policy.VerdictStart {
			t.Errorf("after the evacuation is withdrawn: got %+v, want a place", fmt.Sprint(a))
		}
		cancel()
		<-done
	})
}

// TestOwnerGoesByItsViewAsItIsAsked guards against an owner that decides by an outdated
// evacuation state. The test requests a place right after the view of the owner's box shows that
// the hall is evacuated, or no longer is. The requesting box has by then brought the owner's
// box up to date with its own view, so the owner must decide by that view.
//
// An owner that applies evacuations only every 100 ms refuses a caller as evacuated 40 ms after
// the evacuation is withdrawn, although the views of both boxes are up to date.
func TestOwnerGoesByItsViewAsItIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := resource.NewView()
		applyChange(v, 1, resource.SourceUpstreams, resource.KindUpstream, "u1", `{"address":"http://u1","hall":"a","models":["m"],"kvTokens":4000,"maxBatch":8,"type":"engine"}`, false)
		o := New(v, member.NewTable(box.Member{Hall: "a", Name: "box-1", State: box.StateServing}), policy.NewLengths(), metric.NewSet(), slog.New(slog.DiscardHandler))
		request := func(id string) policy.Answer {
			var a policy.Answer
			w := policy.Work{Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), ID: id, MaxTokens: 10, Model: "m", Prompt: 10}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			o.RequestPlace(ctx, &box.PlacementRequest{Upstream: "u1", Work: w}, func(r *box.Reply) error {
				a = *r.Answer
				cancel()
				return nil
			})
			return a
		}
		if a := request("before"); a.Reason == policy.ReasonEvacuated {
			t.Fatalf("before: got %+v, want no refusal for an evacuation", a)
		}
		applyChange(v, 2, resource.SourceEvacuations, resource.KindEvacuation, "e", `{"hall":"a"}`, false)
		if a := request("evacuated"); a.Reason != policy.ReasonEvacuated {
			t.Errorf("evacuated: got %+v, want a refusal", a)
		}
		applyChange(v, 3, resource.SourceEvacuations, resource.KindEvacuation, "e", `{"hall":"a"}`, true)
		if a := request("withdrawn"); a.Reason == policy.ReasonEvacuated {
			t.Errorf("withdrawn: got %+v, want no refusal for an evacuation", a)
		}
	})
}
