//go:build !race

package linetiller

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/policy"
)

// fame is a fleet that serves calls again and again, and loses boxes.
type fame struct {
	*routes
	sent     int
	t        *testing.T
	withheld atomic.Bool
}

// withholding is a way to the store over which reads of one table fail.
type withholding struct {
	next http.RoundTripper
	on   *atomic.Bool
}

// RoundTrip makes one call.
func (w *withholding) RoundTrip(q *http.Request) (*http.Response, error) {
	if w.on.Load() && q.URL.Query().Get("table") == "served" {
		return nil, errRefused
	}
	return w.next.RoundTrip(q)
}

// popular is the call that is served all the time before upstreams crash under it.
const popular = "popular"

// fameEvery is between two calls of a fleet.
const fameEvery = 100 * time.Millisecond

// crash has the two upstreams that a call runs at crash, at each of some boxes at once.
func (f *fame) crash(boxes ...string) {
	for _, n := range boxes {
		crashed, end := f.crashAll(n)
		defer func() {
			end()
			if got, want := crashed.Load(), int64(2); got != want {
				f.t.Errorf("%s: got %d crashes, want %d", n, got, want)
			}
		}()
	}
	done := make(chan struct{})
	for _, n := range boxes {
		go func() {
			f.post(n, "bystander-"+n, popular)
			done <- struct{}{}
		}()
	}
	for range boxes {
		<-done
	}
}

// refuseStore has the platform's store turn all boxes away, or take their calls again.
func (f *fame) refuseStore(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range limitedBoxes {
		f.refused[n] = on
	}
}

// withholdServed has the store not tell boxes that start from now on what they served, or tell it again.
func (f *fame) withholdServed(on bool) {
	f.withheld.Store(on)
	for _, n := range limitedBoxes {
		f.platformOf[n] = &withholding{next: &reach{from: n, region: f.region}, on: &f.withheld}
	}
}

// restart kills boxes at once and starts them again.
func (f *fame) restart(boxes ...string) {
	for _, n := range boxes {
		f.kill(n)
	}
	for _, n := range boxes {
		f.link.Down(n, false)
		f.link.Down(n+"-entry", false)
		f.startRouter(n)
	}
	time.Sleep(5 * time.Second)
}

// restartInTurn restarts one box after another.
func (f *fame) restartInTurn() {
	for _, n := range limitedBoxes {
		f.restart(n)
	}
}

// serve serves calls in turn for a time, each of a body at one of some boxes.
func (f *fame) serve(period time.Duration, boxes []string, bodies ...string) {
	f.t.Helper()
	for i, began := 0, time.Now(); time.Since(began) < period; i++ {
		f.sent++
		box, body := boxes[(i/len(bodies))%len(boxes)], bodies[i%len(bodies)]
		if got := f.post(box, fmt.Sprint("call-", f.sent), body); got != http.StatusOK {
			f.t.Fatalf("%s of %s: got status %d, want 200", body, box, got)
		}
		time.Sleep(fameEvery)
	}
}

// others returns the bodies of other calls.
func others(name string, count int) []string {
	var l []string
	for i := range count {
		l = append(l, fmt.Sprint(name, "-", i))
	}
	return l
}

// TestServedRequestIsNotForgotten guards against a request that is refused at all boxes for the crashes
// of another one, although it was served again and again, since the boxes that served it restarted.
func TestServedRequestIsNotForgotten(t *testing.T) {
	all := limitedBoxes
	type scenario struct {
		name string
		play func(f *fame)
	}
	l := []scenario{
		{"all restart", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"other requests are served after the restart", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.serve(time.Minute, all, others("after", 5)...)
			f.crash("box-a1")
		}},
		{"a hundred are frequent", func(f *fame) {
			f.serve(100*time.Second, all, append(others("before", 99), popular)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"a hundred others are frequent later", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.serve(100*time.Second, all, others("later", 100)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"frequent once others have been", func(f *fame) {
			f.serve(10*time.Second, all, others("first", 5)...)
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"served once at each of three boxes", func(f *fame) {
			f.serve(300*time.Millisecond, all, popular)
			time.Sleep(10 * time.Second)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice, others are served between", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.serve(time.Minute, all, others("between", 5)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart in turn", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restartInTurn()
			f.crash("box-a1")
		}},
		{"all restart in turn, others are served between", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			for _, n := range all {
				f.restart(n)
				f.serve(20*time.Second, all, others("between", 5)...)
			}
			f.crash("box-a1")
		}},
		{"four minutes later", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			time.Sleep(4 * time.Minute)
			f.crash("box-a1")
		}},
		{"the store is away as they crash", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.refuseStore(true)
			f.crash("box-a1")
		}},
		{"the store tells nothing of it until some time after they crashed", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.withholdServed(true)
			f.restart(all...)
			f.crash("box-a1")
			time.Sleep(time.Minute)
			f.withholdServed(false)
			time.Sleep(10 * time.Second)
		}},
		{"two boxes see crashes at once", func(f *fame) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1", "box-b2")
		}},
		{"a hall's boxes that served it are lost", func(f *fame) {
			f.serve(10*time.Second, all[:2], popular)
			f.kill("box-a1")
			f.kill("box-a2")
			time.Sleep(5 * time.Second)
			f.crash("box-b1")
		}},
	}
	for _, n := range all {
		l = append(l, scenario{"served by " + n + " alone, all restart", func(f *fame) {
			f.serve(10*time.Second, []string{n}, popular)
			f.restart(all...)
			f.crash("box-a1")
		}}, scenario{"served by " + n + " alone, which restarts", func(f *fame) {
			f.serve(10*time.Second, []string{n}, popular)
			f.restart(n)
			f.crash("box-a1")
		}})
	}
	for _, x := range l {
		t.Run(x.name, func(t *testing.T) {
			withLimited(t, func(t *testing.T, r *routes, _ *crowd) {
				x.play(&fame{routes: r, t: t})
				time.Sleep(time.Second)
				for n := range r.boxes {
					if got := r.post(n, "next-"+n, popular); got != http.StatusOK {
						t.Errorf("%s: got status %d, want 200", n, got)
					}
				}
			})
		})
	}
}

// TestServedRowIsBounded checks the size of the largest row against the 64 KB that the platform takes.
func TestServedRowIsBounded(t *testing.T) {
	var l []policy.ServedRun
	for i := range servedRowMost {
		l = append(l, policy.ServedRun{At: time.UnixMilli(1 << 41), Fingerprint: ^policy.Fingerprint(i), Times: 1 << 31})
	}
	v := encodeServed(l, func(t time.Time) time.Time { return t })
	if got, most := len(v), 65536; got > most {
		t.Errorf("size: got %d bytes, want at most %d", got, most)
	}
	for i, x := range decodeServed(v) {
		if got, want := (policy.ServedRun{At: time.UnixMilli(x.AtMS), Fingerprint: x.Fingerprint, Times: x.Times}), l[i]; got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	for _, foreign := range []string{"", "null", "7", `"AAEC"`, `[{"at":"2026-01-01T00:00:00Z","fingerprint":7}]`} {
		if got := decodeServed([]byte(foreign)); len(got) != 0 {
			t.Errorf("%s: got %v, want none", foreign, got)
		}
	}
}

// TestClockOfTheBoxThatWritesRuns guards against a row whose times are by the clock of the box that
// wrote it: where that is ahead or behind, the runs of the row clear no request.
func TestClockOfTheBoxThatWritesRuns(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		readAt := time.Now()
		storeAt := time.UnixMilli(5000)
		s := newServedRuns()
		s.setRead(readAt.Add(ahead), storeAt)
		x := decodeServed(encodeServed([]policy.ServedRun{{At: readAt.Add(ahead).Add(time.Second), Fingerprint: 1, Times: 1}}, s.storeTime))[0]
		if got, want := time.UnixMilli(x.AtMS), storeAt.Add(time.Second); !got.Equal(want) {
			t.Errorf("%v ahead: got %v, want %v", ahead, got, want)
		}
	}
}
