package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/fake/link"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/platform"
)

// holder is a box that takes leases.
type holder struct {
	*Manager
	era      int64 // that it knows of
	eraSince time.Time
}

// newHolder returns a holder with a client of the store of its own.
func newHolder(l *link.Link, name string) *holder {
	s := platform.NewStore("http://store", platform.WithStoreTransport(l)).Table()
	h := &holder{Manager: NewManager(name)}
	n := 0
	h.Commit, h.Get = s.Commit, s.Get
	h.NewWriteID = func() string {
		n++
		return fmt.Sprint(name, n)
	}
	h.Era = func() (int64, time.Time) { return h.era, h.eraSince }
	return h
}

// learnEra has the box hear of an era of the store.
func (h *holder) learnEra(era int64) {
	h.era, h.eraSince = era, time.Now()
}

// withHolders runs f with two boxes that take leases, in virtual time.
func withHolders(t *testing.T, f func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, p := link.New(), fakeplatform.New()
		l.Join("store", p)
		f(t.Context(), t, p, newHolder(l, "a"), newHolder(l, "b"))
	})
}

// acquire takes a lease on the one thing of a test.
func (h *holder) acquire(ctx context.Context, t *testing.T) *Lease {
	t.Helper()
	l, err := h.Acquire(ctx, "thing")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestLeaseIsTakenOverOnceItHasEnded checks the order of holders and of their fences.
func TestLeaseIsTakenOverOnceItHasEnded(t *testing.T) {
	withHolders(t, func(ctx context.Context, t *testing.T, _ *fakeplatform.Platform, a, b *holder) {
		first := a.acquire(ctx, t)
		if first == nil || !first.Valid(time.Now()) {
			t.Fatalf("the first: got %+v, want a lease that holds", first)
		}
		if l := b.acquire(ctx, t); l != nil {
			t.Errorf("while it holds: got %+v, want none", l)
		}
		time.Sleep(TTL)
		second := b.acquire(ctx, t)
		if second == nil || second.Epoch <= first.Epoch || first.Valid(time.Now()) {
			t.Errorf("once it has ended: got %+v after %+v, want one with a higher fence, and the first at an end", second, first)
		}
	})
}

// TestLeaseThatTheStoreForgot takes a lease after the copy from which the store comes back.
// Its holder believes in it no more once it has heard of that, and nobody takes the lease
// before all who have not heard must hold it for ended: the copy tells nothing of it. Then
// the fence is higher than any before, although the store has forgotten those.
func TestLeaseThatTheStoreForgot(t *testing.T) {
	for _, x := range []struct {
		name   string
		before bool // another holder's lease had ended before the copy
	}{{"there was none before", false}, {"another one had ended", true}} {
		t.Run(x.name, func(t *testing.T) {
			withHolders(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder) {
				if x.before {
					b.acquire(ctx, t)
					time.Sleep(TTL)
				}
				p.Copy()
				l := a.acquire(ctx, t)
				if l == nil {
					t.Fatal("got no lease before the store is restored")
				}
				p.Restore()
				b.learnEra(1)
				if !l.Valid(time.Now()) {
					t.Error("a holder that has not heard: got no lease, want the one that it took")
				}
				if got := b.acquire(ctx, t); got != nil {
					t.Errorf("at once: another box got %+v, want none while the first may be believed", got)
				}
				a.learnEra(1)
				if l.Valid(time.Now()) {
					t.Error("a holder that has heard: got a lease that holds, want it ended")
				}
				if got, err := a.Renew(ctx, "thing", l); got != nil || err != nil {
					t.Errorf("a holder that has heard extends it: got %+v %v, want none", got, err)
				}
				time.Sleep(TTL)
				second := b.acquire(ctx, t)
				if second == nil || second.Epoch <= l.Epoch {
					t.Errorf("later: got %+v after %+v, want one with a higher fence", second, l)
				}
			})
		})
	}
}

// TestLeaseIsNotTakenInAnEraUnheardOf has a box that has not heard that the store was restored
// take a lease: what it wrote is not believed, since another box may hold the lease by the
// store as it was.
func TestLeaseIsNotTakenInAnEraUnheardOf(t *testing.T) {
	withHolders(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder) {
		p.Copy()
		a.acquire(ctx, t)
		p.Restore()
		if l := b.acquire(ctx, t); l != nil {
			t.Errorf("got %+v, want none", l)
		}
	})
}
