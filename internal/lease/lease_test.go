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

// holder is a box that acquires leases.
type holder struct {
	*Manager
	era      int64 // era of the store that the box knows
	eraSince time.Time
}

// newHolder returns a holder with its own client of the store.
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

// learnEra lets the box learn that the store is in a new era.
func (h *holder) learnEra(era int64) {
	h.era, h.eraSince = era, time.Now()
}

// withHolders runs f with two boxes that acquire leases, in virtual time.
func withHolders(t *testing.T, f func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, p := link.New(), fakeplatform.New()
		l.Handle("store", p)
		f(t.Context(), t, p, newHolder(l, "a"), newHolder(l, "b"))
	})
}

// acquire acquires the only lease of the tests.
func (h *holder) acquire(ctx context.Context, t *testing.T) *Lease {
	t.Helper()
	l, err := h.Acquire(ctx, "thing")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestLeaseIsTakenOverOnceItHasEnded checks that a lease has one holder at a time, and that the next
// holder has a higher epoch.
func TestLeaseIsTakenOverOnceItHasEnded(t *testing.T) {
	withHolders(t, func(ctx context.Context, t *testing.T, _ *fakeplatform.Platform, a, b *holder) {
		first := a.acquire(ctx, t)
		if first == nil || !first.Valid(time.Now()) {
			t.Fatalf("first holder: got %+v, want a valid lease", first)
		}
		if l := b.acquire(ctx, t); l != nil {
			t.Errorf("other box while the lease is held: got %+v, want none", l)
		}
		time.Sleep(TTL)
		second := b.acquire(ctx, t)
		if second == nil || second.Epoch <= first.Epoch || first.Valid(time.Now()) {
			t.Errorf("after the lease expired: got %+v after %+v, want one with a higher epoch, and the first invalid", second, first)
		}
	})
}

// TestLeaseThatTheStoreForgot restores the store from a backup that was made before a lease was
// acquired. The holder must not use the lease once it knows of the restore. Until the lease has
// expired no box may acquire it, because a holder that does not know may still use it. The next
// epoch must be higher than the lost one.
func TestLeaseThatTheStoreForgot(t *testing.T) {
	for _, x := range []struct {
		name   string
		before bool // another box's lease expired before the backup
	}{{"no earlier lease", false}, {"earlier lease that expired", true}} {
		t.Run(x.name, func(t *testing.T) {
			withHolders(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder) {
				if x.before {
					b.acquire(ctx, t)
					time.Sleep(TTL)
				}
				p.TakeSnapshot()
				l := a.acquire(ctx, t)
				if l == nil {
					t.Fatal("before the restore: got no lease, want one")
				}
				p.Restore()
				b.learnEra(1)
				if !l.Valid(time.Now()) {
					t.Error("holder that does not know of the restore: got an invalid lease, want it still valid")
				}
				if got := b.acquire(ctx, t); got != nil {
					t.Errorf("other box right after the restore: got %+v, want none while the lost lease may be in use", got)
				}
				a.learnEra(1)
				if l.Valid(time.Now()) {
					t.Error("holder that knows of the restore: got a valid lease, want it invalid")
				}
				if got, err := a.Renew(ctx, "thing", l); got != nil || err != nil {
					t.Errorf("renewal by a holder that knows of the restore: got %+v %v, want none", got, err)
				}
				time.Sleep(TTL)
				second := b.acquire(ctx, t)
				if second == nil || second.Epoch <= l.Epoch {
					t.Errorf("after the lost lease expired: got %+v after %+v, want one with a higher epoch", second, l)
				}
			})
		})
	}
}

// TestLeaseIsNotTakenInAnEraUnheardOf checks that a box that does not know that the store was
// restored cannot acquire a lease, although its write succeeds: another box may hold a lease whose
// row was lost.
func TestLeaseIsNotTakenInAnEraUnheardOf(t *testing.T) {
	withHolders(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *holder) {
		p.TakeSnapshot()
		a.acquire(ctx, t)
		p.Restore()
		if l := b.acquire(ctx, t); l != nil {
			t.Errorf("lease in an unknown era: got %+v, want none", l)
		}
	})
}
