package order

import (
	"crypto/rand"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/fake/link"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/lease"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
	"github.com/linetiller/linetiller/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture consists of two boxes that may both send orders to two engines.
type fixture struct {
	boxes    []*Reconciler
	engines  []*engine.Server
	link     *link.Link
	platform *fakeplatform.Platform
	view     *resource.View
}

func withFixture(t *testing.T, permits int, f func(t *testing.T, r *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &fixture{link: link.New(), platform: fakeplatform.New(), view: resource.NewView()}
		r.link.Handle("platform", r.platform)
		r.apply(1, resource.KindModel, "m", `{"maxTokens":10,"default":"v1"}`)
		for i, n := range []string{"u1", "u2"} {
			e := engine.NewServer(engine.DefaultSettings(), 0)
			r.engines = append(r.engines, e)
			r.link.Handle(n, e)
			r.apply(int64(i+2), resource.KindUpstream, n, `{"address":"http://`+n+`","hall":"a","kvTokens":1,"maxBatch":1,"models":["m"],"type":"engine","checksFence":true}`)
		}
		engines := upstream.NewClient(2*time.Second, upstream.WithTransport(r.link))
		store := platform.NewStore("http://platform", platform.WithStoreTransport(r.link))
		for _, n := range []string{"box-1", "box-2"} {
			k := lease.NewManager(n)
			k.Commit, k.Get, k.NewWriteID = store.Commit, store.Get, rand.Text
			b := New(r.view, k, metric.NewSet(), slog.New(slog.DiscardHandler), permits)
			b.SendOrder, b.ReadLoad = engines.Order, engines.Load
			b.Owns = func(*resource.Upstream) bool { return true }
			r.boxes = append(r.boxes, b)
		}
		f(t, r)
		for _, e := range r.engines {
			_ = e.Close()
		}
		time.Sleep(time.Hour)
	})
}

func (r *fixture) apply(revision int64, k resource.Kind, name, spec string) {
	r.view.Apply([]resource.Change{{Revision: revision, Resource: &resource.Resource{
		Kind: k, Metadata: resource.Metadata{Name: name}, Spec: []byte(spec),
	}}}, revision)
}

func (r *fixture) loaded(t *testing.T) string {
	t.Helper()
	l, err := r.boxes[0].ReadLoad(t.Context(), "http://u1")
	if err != nil {
		t.Fatal(err)
	}
	return l.LoadedVersions["m"]
}

func TestOneBoxGivesOrders(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, r *fixture) {
		u := r.view.Upstream("u1")
		if ok, err := r.boxes[0].Step(t.Context(), u); !ok || err != nil {
			t.Fatalf("lease holder: got %v %v, want an order", ok, err)
		}
		r.apply(4, resource.KindModel, "m", `{"maxTokens":10,"default":"v2"}`)
		if ok, err := r.boxes[1].Step(t.Context(), u); ok || err != nil {
			t.Errorf("other box: got %v %v, want no order", ok, err)
		}
		if got, want := r.loaded(t), "v1"; got != want {
			t.Errorf("loaded: got %s, want %s", got, want)
		}
		time.Sleep(lease.TTL + time.Second)
		if ok, err := r.boxes[1].Step(t.Context(), u); !ok || err != nil {
			t.Errorf("other box after the lease expired: got %v %v, want an order", ok, err)
		}
		if got, want := r.loaded(t), "v2"; got != want {
			t.Errorf("loaded: got %s, want %s", got, want)
		}
	})
}

// TestPausedHolderGivesNoOrder checks that a lease holder that is paused between acquiring the lease
// and sending an order, until the lease is no longer valid, does not send the order.
func TestPausedHolderGivesNoOrder(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, r *fixture) {
		u := r.view.Upstream("u1")
		h, err := r.boxes[0].acquireLease(t.Context(), "u1")
		if err != nil || h == nil {
			t.Fatal(h, err)
		}
		time.Sleep(lease.TTL - lease.SafetyMargin) // the pause
		if ok, err := r.boxes[0].send(t.Context(), u, h, &upstream.Order{Kind: upstream.OrderLoad, Model: "m", Version: "old"}); ok || err != nil {
			t.Errorf("got %v %v, want no order", ok, err)
		}
		if got := r.loaded(t); got != "" {
			t.Errorf("loaded: got %s, want nothing", got)
		}
	})
}

// TestFenceStopsALateOrder checks that an engine rejects an order of a former lease holder that
// arrives after one of the new holder.
func TestFenceStopsALateOrder(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, r *fixture) {
		u := r.view.Upstream("u1")
		old, _ := r.boxes[0].acquireLease(t.Context(), "u1")
		time.Sleep(lease.TTL + time.Second)
		if ok, err := r.boxes[1].Step(t.Context(), u); !ok || err != nil {
			t.Fatal(ok, err)
		}
		err := r.boxes[0].SendOrder(t.Context(), u.Spec.Address, &upstream.Order{Fence: old.Epoch, Kind: upstream.OrderLoad, Model: "m", Version: "old"})
		if fail.Reason(err) != "upstream_conflict" {
			t.Errorf("late order of the former holder: got %v, want a conflict", err)
		}
		if got, want := r.loaded(t), "v1"; got != want {
			t.Errorf("loaded: got %s, want %s", got, want)
		}
	})
}

// TestLateOrderWithoutFenceIsUndone checks that a late order takes effect on an upstream that does
// not check fencing tokens, and that the lease holder corrects the state at its next step.
func TestLateOrderWithoutFenceIsUndone(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, r *fixture) {
		r.engines[0].SetFaults(engine.Faults{IgnoreFence: true})
		u := r.view.Upstream("u1")
		if ok, err := r.boxes[0].Step(t.Context(), u); !ok || err != nil {
			t.Fatal(ok, err)
		}
		_ = r.boxes[1].SendOrder(t.Context(), u.Spec.Address, &upstream.Order{Fence: 0, Kind: upstream.OrderLoad, Model: "m", Version: "old"})
		if got, want := r.loaded(t), "old"; got != want {
			t.Fatalf("loaded by the late order: got %s, want %s", got, want)
		}
		time.Sleep(lease.TTL + time.Second)
		if ok, err := r.boxes[0].Step(t.Context(), u); !ok || err != nil {
			t.Errorf("next step of the lease holder: got %v %v, want an order", ok, err)
		}
		if got, want := r.loaded(t), "v1"; got != want {
			t.Errorf("loaded: got %s, want %s", got, want)
		}
	})
}

// TestWeightStoreIsNotCrowded checks that of two boxes that want to load weights at the same time,
// with one permit, the second one waits until the permit expires.
func TestWeightStoreIsNotCrowded(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, r *fixture) {
		if ok, err := r.boxes[0].Step(t.Context(), r.view.Upstream("u1")); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if ok, err := r.boxes[1].Step(t.Context(), r.view.Upstream("u2")); ok || err != nil {
			t.Errorf("while the permit is taken: got %v %v, want no order", ok, err)
		}
		time.Sleep(lease.TTL + time.Second)
		if ok, err := r.boxes[1].Step(t.Context(), r.view.Upstream("u2")); !ok || err != nil {
			t.Errorf("after the permit expired: got %v %v, want an order", ok, err)
		}
	})
}

func TestLeaseAnswersLost(t *testing.T) {
	withFixture(t, 1, func(t *testing.T, r *fixture) {
		r.platform.SetFaults(fakeplatform.Faults{LoseAnswers: 1})
		h, err := r.boxes[0].acquireLease(t.Context(), "u1")
		if err != nil || h == nil {
			t.Fatalf("lost answer: got %v %v, want the lease that was written", h, err)
		}
		if o, err := r.boxes[1].acquireLease(t.Context(), "u1"); o != nil || err != nil {
			t.Errorf("other box: got %v %v, want no lease", o, err)
		}
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(lease.TTL)
		if o, err := r.boxes[0].acquireLease(t.Context(), "u1"); o != nil || err == nil {
			t.Errorf("platform down: got %v %v, want an error", o, err)
		}
		if ok, err := r.boxes[0].Step(t.Context(), r.view.Upstream("u1")); ok || err == nil {
			t.Errorf("platform down: got %v %v, want no order", ok, errors.Unwrap(err))
		}
	})
}

func TestRolesAndUnloads(t *testing.T) {
	withFixture(t, 2, func(t *testing.T, r *fixture) {
		b := r.boxes[0]
		_ = b.SendOrder(t.Context(), "http://u1", &upstream.Order{Kind: upstream.OrderLoad, Model: "old", Version: "v0"})
		for range 2 {
			if ok, err := b.Step(t.Context(), r.view.Upstream("u1")); !ok || err != nil {
				t.Fatal(ok, err)
			}
		}
		r.apply(9, resource.KindUpstream, "u1", `{"address":"http://u1","hall":"a","kvTokens":1,"maxBatch":1,"models":["m"],"type":"engine","leaving":true}`)
		if ok, err := b.Step(t.Context(), r.view.Upstream("u1")); !ok || err != nil {
			t.Fatal(ok, err)
		}
		l, err := b.ReadLoad(t.Context(), "http://u1")
		if err != nil || !l.Leaving || len(l.LoadedVersions) != 1 || l.LoadedVersions["m"] != "v1" {
			t.Errorf("got %+v %v, want a leaving engine with m at v1 alone", l, err)
		}
		if ok, err := b.Step(t.Context(), r.view.Upstream("u1")); ok || err != nil {
			t.Errorf("declared state reached: got %v %v, want no order", ok, err)
		}
	})
}
