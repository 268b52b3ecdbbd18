package requestkey

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/linetiller/linetiller/internal/fail"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// slowTable is a table whose commits are delayed and can fail.
type slowTable struct {
	commits     int
	delay       time.Duration
	loseAnswer  func(commit int) bool // whether to commit but report a lost answer
	mutex       sync.Mutex
	unavailable func() bool // whether to reject without committing
	platform    *fakeplatform.Platform
}

func (b *slowTable) commit(ctx context.Context, t *table.Transaction) (*table.Result, error) {
	b.mutex.Lock()
	b.commits++
	n := b.commits
	b.mutex.Unlock()
	select {
	case <-time.After(b.delay):
	case <-ctx.Done():
		return nil, fail.Wrap(fail.Unknown, writeOrigin(), "platform_lost", ctx.Err())
	}
	if b.unavailable != nil && b.unavailable() {
		return nil, fail.New(fail.Unavailable, writeOrigin(), "platform_down", "down")
	}
	r := b.platform.Commit(t)
	if b.loseAnswer != nil && b.loseAnswer(n) {
		return nil, fail.New(fail.Unknown, writeOrigin(), "platform_lost", "lost")
	}
	return &r, nil
}

func withKeys(t *testing.T, b *slowTable, f func(t *testing.T, k *Keys, m *metric.Set)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b.platform = fakeplatform.New()
		m := metric.NewSet()
		k := New(new(table.Store), m)
		k.Commit = b.commit
		k.Get = func(_ context.Context, key string) (*table.Row, error) { return b.platform.Row(key), nil }
		f(t, k, m)
		if err := k.Close(); err != nil {
			t.Error(err)
		}
	})
}

func record(attemptID string) Record {
	return Record{Fingerprint: "p", State: StateRunning, AttemptID: attemptID}
}

// TestInsertsShareTransactions checks that concurrent inserts are batched: 400 keys at 1,000 per
// second, which is the load of many boxes, take at most 25 transactions of 20 ms.
func TestInsertsShareTransactions(t *testing.T) {
	b := &slowTable{delay: 20 * time.Millisecond}
	withKeys(t, b, func(t *testing.T, k *Keys, _ *metric.Set) {
		var g sync.WaitGroup
		for i := range 400 {
			g.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond) // 1,000 per second
				if _, ours, err := k.Insert(t.Context(), fmt.Sprint(i), record("t")); !ours || err != nil {
					t.Errorf("key %d: got %v %v", i, ours, err)
				}
			})
		}
		g.Wait()
		if got, want := b.commits, 25; got > want {
			t.Errorf("transactions for 400 keys at 1,000 per second: got %d, want at most %d", got, want)
		}
	})
}

// TestLostAnswersAreSettled checks that exactly one of three concurrent attempts claims each key
// although every other answer of the table is lost.
func TestLostAnswersAreSettled(t *testing.T) {
	b := &slowTable{delay: time.Millisecond, loseAnswer: func(n int) bool { return n%2 == 1 }}
	withKeys(t, b, func(t *testing.T, k *Keys, _ *metric.Set) {
		var mutex sync.Mutex
		winners := make(map[int]int)
		var g sync.WaitGroup
		for i := range 50 {
			for attempt := range 3 {
				g.Go(func() {
					c, ours, err := k.Insert(t.Context(), fmt.Sprint(i), record(fmt.Sprint(attempt)))
					if err != nil {
						t.Error(err)
						return
					}
					mutex.Lock()
					defer mutex.Unlock()
					if ours {
						winners[i]++
					}
					if got, want := c.Record.AttemptID == fmt.Sprint(attempt), ours; got != want {
						t.Errorf("key %d: row is of this attempt: got %v, want %v", i, got, want)
					}
				})
			}
		}
		g.Wait()
		for i := range 50 {
			if got, want := winners[i], 1; got != want {
				t.Errorf("key %d: got %d holders, want %d", i, got, want)
			}
		}
	})
}

// TestGivenUpInsertIsTakenBack checks that the row of an abandoned insert is deleted if its answer
// was lost. The client then gets the answer that the request did not run, so the row must not remain.
func TestGivenUpInsertIsTakenBack(t *testing.T) {
	var down atomic.Bool
	b := &slowTable{delay: time.Millisecond, loseAnswer: func(n int) bool { return n == 1 }}
	b.unavailable = down.Load
	withKeys(t, b, func(t *testing.T, k *Keys, _ *metric.Set) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(2*time.Millisecond, func() { down.Store(true) })
		if _, _, err := k.Insert(ctx, "k", record("t")); err == nil || fail.Reason(err) != "platform_slow" {
			t.Errorf("got %v, want platform_slow", err)
		}
		if b.platform.Row("k") == nil {
			t.Fatal("row: got none, want the write whose answer was lost")
		}
		down.Store(false)
		time.Sleep(5 * time.Second)
		if got := b.platform.Row("k"); got != nil {
			t.Errorf("row: got %s, want none", got.Value)
		}
	})
}

func TestUpdateOfATakenKeyFails(t *testing.T) {
	withKeys(t, &slowTable{}, func(t *testing.T, k *Keys, _ *metric.Set) {
		c, _, err := k.Insert(t.Context(), "k", record("t"))
		if err != nil {
			t.Fatal(err)
		}
		stale := *c
		if err := k.Update(t.Context(), c, record("t2")); err != nil {
			t.Fatal(err)
		}
		if err := k.Update(t.Context(), &stale, record("t3")); fail.Reason(err) != "key_taken" {
			t.Errorf("with the old revision: got %v, want key_taken", err)
		}
		if err := k.Release(t.Context(), c); err != nil {
			t.Fatal(err)
		}
		if got, err := k.Lookup(t.Context(), "k"); got != nil || err != nil {
			t.Errorf("after the release: got %v %v, want none", got, err)
		}
	})
}

func TestLargeAnswersGoToTheObjectStore(t *testing.T) {
	withKeys(t, &slowTable{}, func(t *testing.T, k *Keys, _ *metric.Set) {
		objects := make(map[string][]byte)
		k.PutObject = func(_ context.Context, n string, b []byte) error {
			objects[n] = b
			return nil
		}
		k.GetObject = func(_ context.Context, n string) ([]byte, error) { return objects[n], nil }
		for _, n := range []int{10, maxInlineBytes, maxInlineBytes + 1} {
			r := record("t")
			want := string(make([]byte, n))
			if err := k.StoreAnswer(t.Context(), "k", &r, want); err != nil {
				t.Fatal(err)
			}
			if got, want := r.Object != "", n > maxInlineBytes; got != want {
				t.Errorf("%d bytes in an object: got %v, want %v", n, got, want)
			}
			if got, err := k.Answer(t.Context(), &r); got != want || err != nil {
				t.Errorf("%d bytes: got %d bytes back, %v", n, len(got), err)
			}
		}
	})
}

func TestCloseAnswersWhoWaits(t *testing.T) {
	b := &slowTable{delay: time.Hour}
	withKeys(t, b, func(t *testing.T, k *Keys, _ *metric.Set) {
		done := make(chan error, 1)
		go func() {
			_, _, err := k.Insert(t.Context(), "k", record("t"))
			done <- err
		}()
		synctest.Wait()
		_ = k.Close()
		if err := <-done; err == nil {
			t.Error("insert not committed: got no error")
		} else if errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want an error because of the close", err)
		}
	})
}
