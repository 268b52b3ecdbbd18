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

// testBox holds the request keys of one box and the store's era as known to the box.
type testBox struct {
	*Keys
	era   int64      // the store's era as known to the box
	mutex sync.Mutex // guards era and since
	since time.Time  // when the box learned of the era
}

// storeEra implements Keys.Era.
func (b *testBox) storeEra() (int64, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.era, b.since
}

// learnEra makes the box learn the store's current era.
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

// withBoxes runs f in virtual time with two boxes that share a store.
func withBoxes(t *testing.T, f func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *testBox)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l, p := link.New(), fakeplatform.New()
		l.Handle("store", p)
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

// claim claims testRowKey.
func (b *testBox) claim(ctx context.Context, t *testing.T, attemptID string) *Claim {
	t.Helper()
	c, ours, err := b.Insert(ctx, testRowKey, record(attemptID))
	if err != nil || !ours {
		t.Fatalf("got %+v %v %v, want the key", c, ours, err)
	}
	return c
}

// checkRow checks the attempt and state in the row of testRowKey; "none" and "" stand for no row.
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

// TestKeyThatTheStoreForgot checks that no other box claims the key of a running request whose row was
// lost when the store was restored, whether or not that box has learned of the restore. Once the
// holder has rewritten the row, a repeat finds the request.
func TestKeyThatTheStoreForgot(t *testing.T) {
	for _, x := range []struct {
		name              string
		otherInsertsFirst bool // the other box inserts before the holder learns of the restore
		otherLearns       bool // the other box learns of the restore before it inserts
	}{
		{"both know of the restore", false, true},
		{"the holder learns of it later", true, true},
		{"the other box does not know", false, false},
		{"neither knows", true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, b *testBox) {
				p.TakeSnapshot()
				a.claim(ctx, t, "first")
				p.Restore()
				repeat := func() {
					if x.otherLearns {
						b.learnEra(p)
					}
					c, ours, err := b.Insert(ctx, testRowKey, record("second"))
					if ours || (err == nil && c.Record.AttemptID != "first") || (err != nil && !errorx.IsOfType(err, fail.Unavailable)) {
						t.Errorf("repeat: got %+v %v %v, want the first claim or a refusal", c, ours, err)
					}
				}
				if x.otherInsertsFirst {
					repeat()
				}
				a.learnEra(p)
				time.Sleep(2 * time.Second)
				checkRow(t, p, "2 s after the holder learned of the restore", "first", StateRunning)
				if !x.otherInsertsFirst {
					repeat()
				}
				b.learnEra(p)
				time.Sleep(restoreGracePeriod)
				c, ours, err := b.Insert(ctx, testRowKey, record("third"))
				if ours || err != nil || c.Record.AttemptID != "first" {
					t.Errorf("later repeat: got %+v %v %v, want the first claim", c, ours, err)
				}
			})
		})
	}
}

// TestOutcomeAfterTheStoreWasRestored checks that the outcome of a request is recorded although the
// restored store has lost the row or holds an older version of it.
func TestOutcomeAfterTheStoreWasRestored(t *testing.T) {
	for _, x := range []struct {
		name      string
		inBackup  bool // the backup contains the row
		boxLearns bool // the box learns of the restore before the request ends
	}{{"lost", false, true}, {"older", true, true}, {"lost, box does not know", false, false}, {"older, box does not know", true, false}} {
		t.Run(x.name, func(t *testing.T) {
			withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
				p.TakeSnapshot()
				c := a.claim(ctx, t, "first")
				if x.inBackup {
					p.TakeSnapshot()
				}
				r := c.Record
				r.Upstream = "u"
				if err := a.Update(ctx, c, r); err != nil {
					t.Fatal(err)
				}
				p.Restore()
				if x.boxLearns {
					a.learnEra(p)
				}
				r.State = StateFinished
				if err := a.Update(ctx, c, r); err != nil {
					t.Errorf("update after the restore: got %v", err)
				}
				checkRow(t, p, "written", "first", StateFinished)
			})
		})
	}
}

// TestReleasedKeyStaysReleased checks that the claim on a key is not rewritten if it is released right
// after the store was restored from a backup that contains its row.
func TestReleasedKeyStaysReleased(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		c := a.claim(ctx, t, "first")
		p.TakeSnapshot()
		p.Restore()
		a.learnEra(p)
		if err := a.Release(ctx, c); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * restoreGracePeriod)
		checkRow(t, p, "released", "none", "")
	})
}

// TestAnswerThatTheStoreLost checks that a recorded answer whose object a restored store has lost is
// an error, not an empty answer.
func TestAnswerThatTheStoreLost(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		p.TakeSnapshot()
		r := record("first")
		if err := a.StoreAnswer(ctx, testRowKey, &r, strings.Repeat("x", maxInlineBytes+1)); err != nil {
			t.Fatal(err)
		}
		if got, err := a.Answer(ctx, &r); len(got) != maxInlineBytes+1 || err != nil {
			t.Fatalf("before: got %d bytes, %v", len(got), err)
		}
		p.Restore()
		if got, err := a.Answer(ctx, &r); !errorx.IsOfType(err, fail.Unknown) {
			t.Errorf("got %q %v, want an unknown outcome", got, err)
		}
	})
}

// TestKeyIsNotClaimedAsTheStoreIsRestored checks that Insert refuses a claim if the box learns between
// the first check and the write that the store was restored.
func TestKeyIsNotClaimedAsTheStoreIsRestored(t *testing.T) {
	withBoxes(t, func(ctx context.Context, t *testing.T, p *fakeplatform.Platform, a, _ *testBox) {
		p.TakeSnapshot()
		p.Restore()
		if _, _, err := a.Insert(ctx, "request/w/other", record("t")); err == nil {
			t.Fatal("first claim, which reveals the era: got no error, want a refusal")
		}
		calls := 0
		a.Era = func() (int64, time.Time) {
			if calls++; calls == 1 {
				return 0, time.Time{}
			}
			return 1, time.Now()
		}
		if c, ours, err := a.Insert(ctx, testRowKey, record("first")); ours || err == nil {
			t.Errorf("got %+v %v %v, want a refusal", c, ours, err)
		}
	})
}
