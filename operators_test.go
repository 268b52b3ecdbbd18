package linetiller_test

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestOperatorsRace has writers race at different boxes: in each round exactly one succeeds, and
// the others get a conflict with the current version.
func TestOperatorsRace(t *testing.T) {
	h := newHall(t, 3, 1)
	h.platform.SetFaults(fakeplatform.Faults{LoseAnswers: 3})
	o := h.operator(0)
	v, err := o.Apply(t.Context(), newResource(resource.KindPriority, "raced", resource.PrioritySpec{Value: 0}))
	if err != nil {
		t.Fatal(err)
	}
	for round := 1; round <= 10; round++ {
		var won atomic.Int64
		var next sync.Map
		var g sync.WaitGroup
		for n := range 3 {
			g.Go(func() {
				r := newResource(resource.KindPriority, "raced", resource.PrioritySpec{Value: 10*n + round})
				r.Metadata.ResourceVersion = v.Metadata.ResourceVersion
				x, err := h.operator(n).Apply(t.Context(), r)
				var p *operator.Problem
				switch {
				case err == nil:
					won.Add(1)
					next.Store("winner", x)
				case !errors.As(err, &p) || p.Current == nil || (p.Code != "raced" && p.Code != "stale_version"):
					t.Errorf("loser: got %v, want a conflict with the current version", err)
				}
			})
		}
		g.Wait()
		if got, want := won.Load(), int64(1); got != want {
			t.Fatalf("round %d: got %d winners, want %d", round, got, want)
		}
		x, _ := next.Load("winner")
		v = x.(*resource.Resource)
	}
}

// TestBadResources checks that an invalid resource is refused with all of its faults, each named by
// its field.
func TestBadResources(t *testing.T) {
	h := newHall(t, 1, 1)
	_, err := h.operator(0).Apply(t.Context(), newResource(resource.KindUpstream, "bad", resource.UpstreamSpec{
		Address: "http://example.com:80", KVTokens: -1, Models: []string{"none"}, Type: resource.UpstreamEngine,
	}))
	var p *operator.Problem
	if !errors.As(err, &p) {
		t.Fatalf("got %v, want a problem", err)
	}
	var got []string
	for _, f := range p.Faults {
		got = append(got, f.Field)
	}
	want := "spec.address spec.hall spec.kvTokens spec.maxBatch spec.models[0]"
	if strings.Join(got, " ") != want {
		t.Errorf("fields: got %v, want %s", got, want)
	}
}

// TestWatchResumes ends a watch several times and resumes it from the last revision that it
// returned.
func TestWatchResumes(t *testing.T) {
	h := newHall(t, 2, 1)
	errEnough := errors.New("enough")
	lastRevision := "0"
	var events []string
	watch := func(count int) {
		t.Helper()
		err := h.operator(1).Watch(t.Context(), "", lastRevision, func(e *operator.WatchEvent) error {
			if e.Type == operator.WatchBookmark {
				return nil
			}
			events = append(events, string(e.Type)+" "+e.Resource.Metadata.Name)
			lastRevision = e.Revision
			if count--; count == 0 {
				return errEnough
			}
			return nil
		})
		if !errors.Is(err, errEnough) {
			t.Fatal(err)
		}
	}
	watch(2)
	watch(3)
	h.apply(newResource(resource.KindPriority, "later", resource.PrioritySpec{Value: 1}))
	if err := h.operator(0).Delete(t.Context(), resource.KindPriority, "later"); err != nil {
		t.Fatal(err)
	}
	for len(events) < 6 || !strings.HasPrefix(events[len(events)-1], "deleted") {
		watch(1)
	}
	want := "applied tiller-llm,applied counter,applied quotes,applied quote-desk-1,applied engine-1"
	if got := strings.Join(events[:5], ","); got != want {
		t.Errorf("events: got %s, want %s", got, want)
	}
	if got, want := events[len(events)-1], "deleted later"; got != want {
		t.Errorf("last event: got %s, want %s", got, want)
	}
}
