package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/table"
)

// TestReadOfALostConnectionIsRepeated has the connection of a waiting read stop carrying data. The
// read must be repeated, as must those of other sources, rather than be waited for until it times
// out.
func TestReadOfALostConnectionIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOutageStore(0)
		f := s.follower()
		var reconnected atomic.Int64
		f.Reconnect = func() { reconnected.Add(1) }
		var mutex sync.Mutex
		began := make(map[resource.Source][]time.Time)
		for _, n := range []resource.Source{resource.SourceConfiguration, resource.SourceUpstreams} {
			f.Add(n, func(ctx context.Context, after int64, wait time.Duration) ([]resource.Batch, int64, error) {
				mutex.Lock()
				began[n] = append(began[n], time.Now())
				first := len(began[n]) == 1
				mutex.Unlock()
				if first {
					<-ctx.Done() // like a connection that carries no more data
					return nil, 0, ctx.Err()
				}
				pause(ctx, wait)
				return nil, after, ctx.Err()
			})
			f.sources[len(f.sources)-1].readRevision.Store(1)
		}
		ctx, cancel := context.WithTimeout(t.Context(), confirmPeriod+minLateReadThreshold+10*time.Millisecond)
		defer cancel()
		f.Run(ctx)
		for n, l := range began {
			if got, want := len(l), 2; got < want {
				t.Errorf("%s: got %d reads, want %d or more", n, got, want)
			}
		}
		if got, want := reconnected.Load(), int64(1); got < want {
			t.Errorf("new connections: got %d, want %d or more", got, want)
		}
	})
}

// TestLongAnswerIsNotAskedForTwice has responses take long, as for a large configuration over a
// narrow link, and snapshot reads, which may take long. They must not be hedged: a second read
// would slow down the first.
func TestLongAnswerIsNotAskedForTwice(t *testing.T) {
	for _, x := range []struct {
		name  string
		after int64
		begun bool
		want  int
	}{{"has begun to arrive", 1, true, 1}, {"a whole table", 0, false, 1}, {"neither", 1, false, 2}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOutageStore(0).follower()
				var mutex sync.Mutex
				reads := 0
				f.Add(resource.SourceUpstreams, func(ctx context.Context, after int64, wait time.Duration) ([]resource.Batch, int64, error) {
					mutex.Lock()
					reads++
					mutex.Unlock()
					pause(ctx, wait)
					if x.begun {
						table.NotifyResponseStart(ctx)
					}
					pause(ctx, time.Second)
					return nil, after, ctx.Err()
				})
				f.sources[0].readRevision.Store(x.after)
				if err := f.readOnce(t.Context(), f.sources[0], time.Second); err != nil {
					t.Fatal(err)
				}
				if got := reads; got != x.want {
					t.Errorf("reads: got %d, want %d", got, x.want)
				}
			})
		})
	}
}

// TestSomeReadEndsItsWaitSoon has three sources change at random. At any time some read of the
// primary must be about to end its wait within the period in which a lost connection is to be
// detected, and few reads may return no change.
func TestSomeReadEndsItsWaitSoon(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			x := rand.New(rand.NewPCG(seed, 0))
			f := newOutageStore(0).follower()
			var mutex sync.Mutex
			ends := make(map[resource.Source]time.Time) // of the waits of the reads in progress
			expired := 0                                // reads that returned no change
			for _, n := range []resource.Source{resource.SourceBoxes, resource.SourceConfiguration, resource.SourceUpstreams} {
				f.Add(n, func(ctx context.Context, after int64, wait time.Duration) ([]resource.Batch, int64, error) {
					mutex.Lock()
					ends[n] = time.Now().Add(wait)
					change := time.Duration(x.ExpFloat64() * float64(3*time.Second))
					mutex.Unlock()
					pause(ctx, min(wait, change))
					mutex.Lock()
					defer mutex.Unlock()
					delete(ends, n)
					if wait < change {
						expired++
					}
					return nil, after + 1, ctx.Err()
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			g.Go(func() { f.Run(ctx) })
			const step, steps = 2 * time.Millisecond, 30_000
			soon := time.Now()
			for range steps {
				time.Sleep(step)
				mutex.Lock()
				var l []time.Duration
				for _, e := range ends {
					l = append(l, time.Until(e))
				}
				mutex.Unlock()
				if len(l) > 0 && slices.Min(l) <= confirmPeriod {
					soon = time.Now()
				}
				if got, most := time.Since(soon), readInterval+2*step; got > most { // the time between two reads of one source, each end of which is noticed up to a step late
					t.Fatalf("seed %d: for %v no read ended its wait within %v, want for at most %v", seed, got, confirmPeriod, most)
				}
			}
			cancel()
			g.Wait()
			if got, most := expired, 75; got > most {
				t.Errorf("seed %d: got %d reads in a minute that returned no change, want at most %d", seed, got, most)
			}
		})
	}
}
