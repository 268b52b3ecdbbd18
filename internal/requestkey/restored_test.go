package requestkey

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/link"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/platform"
)

// testBox is a box that keeps request keys in a store.
type testBox struct {
	*Keys
	era   int64      // that it knows of
	mutex sync.Mutex // guards era and since
	since time.Time
}

// storeEra returns what the box knows of the store's era.
func (b *testBox) storeEra() (int64, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.era, b.since
}

// learnEra has the box hear of the store's era.
func (b *testBox) learnEra(p *fakeplatform.Platform) {
	era := p.Era()
	b.mutex.Lock()
	changed := era > b.era
	if changed {
		b.era, b.since = era, time.Now()
	}
	b.mutex.Unlock()
	if changed {
		b.StoreRestored()
	}
}

// withBoxes runs f with two boxes on one store, in virtual time.
func withBoxes(t *testing.T, f func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *testBox)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, p := link.New(), fakeplatform.New()
		l.Join("store", p)
		newBox := func() *testBox {
			b := &testBox{Keys: New(platform.NewStore("http://store", platform.WithStoreTransport(l)).Table(), metric.NewSet())}
			b.Era = b.storeEra
			return b
		}
		a, b := newBox(), newBox()
		f(t.Context(), t, p, a, b)
		for _, x := range []*testBox{a, b} {
			if err := x.Close(); err != nil {
				t.Error(err)
			}
		}
	})
}

const testRowKey = "request/w/k"

// claim claims the one key of a test.
func (b *testBox) claim(ctx context.Context, t *testing.T, attemptID string) *Claim {
	t.Helper()
	c, ours, err := b.Insert(ctx, testRowKey, record(attemptID))
	if err != nil || !ours {
		t.Fatalf("got %+v %v %v, want the key", c, ours, err)
	}
	return c
}

// checkRow checks what the store holds under the one key of a test.
func checkRow(t *testing.T, p *fakeplatform.Platform, when, attemptID string, s State) {
	t.Helper()
	got := "none"
	if r := p.Row(testRowKey); r != nil {
		c, err := decodeClaim(r)
		if err != nil {
			t.Fatal(err)
		}
		got = c.Record.AttemptID + " " + string(c.Record.State)
	}
	if want := strings.TrimSpace(attemptID + " " + string(s)); got != want {
		t.Errorf("%s: the row: got %q, want %q", when, got, want)
	}
}

// TestKeyThatTheStoreForgot has the store lose the row of a request that runs. Until the box
// that holds the key has written it again, no other box claims it, whether it has heard that
// the store was restored or not; and then the repeat finds the request.
func TestKeyThatTheStoreForgot(t *testing.T) {
	for _, x := range []struct {
		name       string
		otherFirst bool // the other box hears of it, or asks, before the holder does
		hears      bool // the other box hears of it before it asks
	}{
		{"both have heard", false, true},
		{"the holder hears later", true, true},
		{"the other box has not heard", false, false},
		{"nobody has heard", true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *testBox) {
				p.Copy()
				a.claim(ctx, t, "first")
				p.Restore()
				repeat := func() {
					if x.hears {
						b.learnEra(p)
					}
					c, ours, err := b.Insert(ctx, testRowKey, record("second"))
					if ours || (err == nil && c.Record.AttemptID != "first") || (err != nil && !errorx.IsOfType(err, fail.Unavailable)) {
						t.Errorf("the repeat: got %+v %v %v, want the first claim or a refusal", c, ours, err)
					}
				}
				if x.otherFirst {
					repeat()
				}
				a.learnEra(p)
				time.Sleep(2 * time.Second)
				checkRow(t, p, "2 s after the holder heard", "first", StateRunning)
				if !x.otherFirst {
					repeat()
				}
				b.learnEra(p)
				time.Sleep(claimHoldOff)
				c, ours, err := b.Insert(ctx, testRowKey, record("third"))
				if ours || err != nil || c.Record.AttemptID != "first" {
					t.Errorf("a later repeat: got %+v %v %v, want the first claim", c, ours, err)
				}
			})
		})
	}
}

// TestOutcomeAfterTheStoreWasRestored writes what became of a request whose row the store has
// lost, or holds as it was before.
func TestOutcomeAfterTheStoreWasRestored(t *testing.T) {
	for _, x := range []struct {
		name   string
		copied bool // the copy holds the row
		heard  bool // the box has heard of it as the request ends
	}{{"lost", false, true}, {"older", true, true}, {"lost, unheard", false, false}, {"older, unheard", true, false}} {
		t.Run(x.name, func(t *testing.T) {
			withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
				p.Copy()
				c := a.claim(ctx, t, "first")
				if x.copied {
					p.Copy()
				}
				r := c.Record
				r.Upstream = "u"
				if err := a.Update(ctx, c, r); err != nil {
					t.Fatal(err)
				}
				p.Restore()
				if x.heard {
					a.learnEra(p)
				}
				r.State = StateFinished
				if err := a.Update(ctx, c, r); err != nil {
					t.Errorf("got %v, want it written", err)
				}
				checkRow(t, p, "written", "first", StateFinished)
			})
		})
	}
}

// TestReleasedKeyStaysReleased releases a key whose row the copy lacks, or holds: nothing is
// written again.
func TestReleasedKeyStaysReleased(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		c := a.claim(ctx, t, "first")
		p.Copy()
		p.Restore()
		a.learnEra(p)
		if err := a.Release(ctx, c); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * claimHoldOff)
		checkRow(t, p, "released", "none", "")
	})
}

// TestAnswerThatTheStoreLost looks for the object of a recorded answer that the store has
// lost: it is not taken for an empty answer.
func TestAnswerThatTheStoreLost(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		p.Copy()
		r := record("first")
		if err := a.StoreAnswer(ctx, testRowKey, &r, strings.Repeat("x", maxInlineBytes+1)); err != nil {
			t.Fatal(err)
		}
		if got, err := a.Answer(ctx, &r); len(got) != maxInlineBytes+1 || err != nil {
			t.Fatalf("before: got %d bytes, %v", len(got), err)
		}
		p.Restore()
		if got, err := a.Answer(ctx, &r); !errorx.IsOfType(err, fail.Unknown) {
			t.Errorf("got %q %v, want that the outcome is unknown", got, err)
		}
	})
}

// TestKeyIsNotClaimedAsTheStoreIsRestored has a box hear that the store was restored at the
// very moment at which it begins to claim a key: it claims none.
func TestKeyIsNotClaimedAsTheStoreIsRestored(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		p.Copy()
		p.Restore()
		if _, _, err := a.Insert(ctx, "request/w/other", record("t")); err == nil {
			t.Fatal("the first claim, which tells the era: got it held, want a refusal")
		}
		asked := 0
		a.Era = func() (int64, time.Time) {
			if asked++; asked == 1 {
				return 0, time.Time{}
			}
			return 1, time.Now()
		}
		if c, ours, err := a.Insert(ctx, testRowKey, record("first")); ours || err == nil {
			t.Errorf("got %+v %v %v, want a refusal", c, ours, err)
		}
	})
}
