//go:build !race || whole

package linetiller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/policy"
)

// servingFleet is a fleet of four boxes that serves calls again and again, and loses boxes.
type servingFleet struct {
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
	if w.on.Load() && q.URL.Query().Get("table") == keptTable {
		return nil, errRefused
	}
	return w.next.RoundTrip(q)
}

// popular is the call that is served all the time before upstreams crash under it.
const popular = "popular"

// servedEvery is the time between two calls.
const servedEvery = 100 * time.Millisecond

// crash has the two upstreams that a call runs at crash, at each of some boxes at once.
func (f *servingFleet) crash(boxes ...string) {
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
func (f *servingFleet) refuseStore(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range limitedBoxes {
		f.refused[n] = on
	}
}

// withholdKept has reads of the kept rows fail, or succeed again, for boxes that start from now on.
func (f *servingFleet) withholdKept(on bool) {
	f.withheld.Store(on)
	for _, n := range limitedBoxes {
		f.platformOf[n] = &withholding{next: &reach{from: n, region: f.region}, on: &f.withheld}
	}
}

// restart kills boxes at once and starts them again.
func (f *servingFleet) restart(boxes ...string) {
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
func (f *servingFleet) restartInTurn() {
	for _, n := range limitedBoxes {
		f.restart(n)
	}
}

// serve serves calls in turn for a time, each of a body at one of some boxes.
func (f *servingFleet) serve(period time.Duration, boxes []string, bodies ...string) {
	f.t.Helper()
	for i, began := 0, time.Now(); time.Since(began) < period; i++ {
		f.sent++
		box, body := boxes[(i/len(bodies))%len(boxes)], bodies[i%len(bodies)]
		if got := f.post(box, fmt.Sprint("call-", f.sent), body); got != http.StatusOK {
			f.t.Fatalf("%s of %s: got status %d, want 200", body, box, got)
		}
		time.Sleep(servedEvery)
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
		play func(f *servingFleet)
	}
	l := []scenario{
		{"all restart", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"other requests are served after the restart", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.serve(time.Minute, all, others("after", 5)...)
			f.crash("box-a1")
		}},
		{"a hundred are frequent", func(f *servingFleet) {
			f.serve(100*time.Second, all, append(others("before", 99), popular)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"a hundred others are frequent later", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.serve(100*time.Second, all, others("later", 100)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"frequent once others have been", func(f *servingFleet) {
			f.serve(10*time.Second, all, others("first", 5)...)
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"served once at each of three boxes", func(f *servingFleet) {
			f.serve(300*time.Millisecond, all, popular)
			time.Sleep(10 * time.Second)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice, others are served between", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.serve(time.Minute, all, others("between", 5)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart in turn", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restartInTurn()
			f.crash("box-a1")
		}},
		{"all restart in turn, others are served between", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			for _, n := range all {
				f.restart(n)
				f.serve(20*time.Second, all, others("between", 5)...)
			}
			f.crash("box-a1")
		}},
		{"four minutes later", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			time.Sleep(4 * time.Minute)
			f.crash("box-a1")
		}},
		{"the store is away as they crash", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.refuseStore(true)
			f.crash("box-a1")
		}},
		{"the store tells nothing of it until some time after they crashed", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.withholdKept(true)
			f.restart(all...)
			f.crash("box-a1")
			time.Sleep(time.Minute)
			f.withholdKept(false)
			time.Sleep(10 * time.Second)
		}},
		{"the store comes back from a copy that lacks it", func(f *servingFleet) {
			f.platform.Copy()
			f.serve(10*time.Second, all, popular)
			f.platform.Restore()
			time.Sleep(20 * time.Second)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"two boxes see crashes at once", func(f *servingFleet) {
			f.serve(10*time.Second, all, popular)
			f.restart(all...)
			f.crash("box-a1", "box-b2")
		}},
		{"a hall's boxes that served it are lost", func(f *servingFleet) {
			f.serve(10*time.Second, all[:2], popular)
			f.kill("box-a1")
			f.kill("box-a2")
			time.Sleep(5 * time.Second)
			f.crash("box-b1")
		}},
	}
	for _, n := range all {
		l = append(l, scenario{"served by " + n + " alone, all restart", func(f *servingFleet) {
			f.serve(10*time.Second, []string{n}, popular)
			f.restart(all...)
			f.crash("box-a1")
		}}, scenario{"served by " + n + " alone, which restarts", func(f *servingFleet) {
			f.serve(10*time.Second, []string{n}, popular)
			f.restart(n)
			f.crash("box-a1")
		}})
	}
	for _, x := range l {
		t.Run(x.name, func(t *testing.T) {
			withLimited(t, func(t *testing.T, r *routes, _ *crowd) {
				x.play(&servingFleet{routes: r, t: t})
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

// TestQuarantineAfterAllBoxesRestarted guards against a poison request that crashes two more upstreams each
// time that all boxes restart, since the boxes alone knew of it.
func TestQuarantineAfterAllBoxesRestarted(t *testing.T) {
	withPoison(t, func(t *testing.T, p *poison) {
		restart := func() {
			for _, n := range allBoxes {
				p.kill(n)
			}
			for _, n := range allBoxes {
				p.startRouter(n)
			}
			time.Sleep(5 * time.Second)
		}
		for range 3 {
			for _, n := range allBoxes {
				p.send(n, routed.Deadly)
				time.Sleep(time.Second)
			}
			time.Sleep(10 * time.Second)
			restart()
		}
		if got, want := p.crashed(routed.Deadly), 2; got != want {
			t.Errorf("crashes: got %d, want %d", got, want)
		}
	})
}

// TestClearedRequestAfterAllBoxesRestarted guards against a request that is quarantined again by a row
// that was written before it was cleared.
func TestClearedRequestAfterAllBoxesRestarted(t *testing.T) {
	withLimited(t, func(t *testing.T, r *routes, _ *crowd) {
		f := &servingFleet{routes: r, t: t}
		f.crash("box-a1")
		time.Sleep(10 * time.Second)
		f.restart(limitedBoxes...)
		if got, want := f.post("box-b1", "refused", popular), http.StatusBadGateway; got != want {
			t.Errorf("after the restart: got status %d, want %d", got, want)
		}
		time.Sleep(10 * time.Minute)
		if got, want := f.post("box-b1", "trial", popular), http.StatusOK; got != want {
			t.Errorf("ten minutes later: got status %d, want %d", got, want)
		}
		time.Sleep(10 * time.Second)
		f.restart(limitedBoxes...)
		for _, n := range limitedBoxes {
			if got, want := f.post(n, "cleared-"+n, popular), http.StatusOK; got != want {
				t.Errorf("%s, after the next restart: got status %d, want %d", n, got, want)
			}
		}
	})
}

// TestKeptRowsAreBounded checks the size of the largest rows against the 64 KB that the platform takes,
// and that they are read as they were written.
func TestKeptRowsAreBounded(t *testing.T) {
	at := time.UnixMilli(1 << 41)
	k := newRecorder()
	k.setRead(at, at)
	var runs []policy.CompletedRun
	for i := range maxRuns {
		runs = append(runs, policy.CompletedRun{At: at, Fingerprint: ^policy.Fingerprint(i), Times: 1 << 31})
	}
	var crashes []policy.Crash
	for i := range maxQuarantined {
		s := policy.Suspect{Cleared: true, Events: 1 << 31, Fingerprint: ^policy.Fingerprint(i), Trials: 3}
		crashes = append(crashes, policy.Crash{At: at, StartedAtMS: 1 << 41, LastReturnAt: at, Suspects: []policy.Suspect{s}, Upstream: fmt.Sprintf("%200d", i)})
	}
	for _, x := range []struct {
		name        string
		again, once json.RawMessage
	}{
		{"runs", encodeRow(decodeRow[runEntry](encodeRow(k.runEntries(runs)))), encodeRow(k.runEntries(runs))},
		{"crashes", encodeRow(decodeRow[crashEntry](encodeRow(k.crashEntries(crashes)))), encodeRow(k.crashEntries(crashes))},
	} {
		if got, most := len(x.once), 65536; got > most {
			t.Errorf("%s: got %d bytes, want at most %d", x.name, got, most)
		}
		if !bytes.Equal(x.again, x.once) {
			t.Errorf("%s: read back differently", x.name)
		}
	}
	for _, foreign := range []string{"", "null", "7", `"AAEC"`, `[{"at":"2026-01-01T00:00:00Z","fingerprint":7}]`} {
		if got := decodeRow[runEntry]([]byte(foreign)); len(got) != 0 {
			t.Errorf("%s: got %v, want none", foreign, got)
		}
	}
}

// TestClockOfTheBoxThatWritesRows guards against rows whose times are by the clock of the box that
// wrote them: where that is ahead or behind, its runs clear no request.
func TestClockOfTheBoxThatWritesRows(t *testing.T) {
	now, storeAt := time.Now(), time.UnixMilli(5000)
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		writer, reader := newRecorder(), newRecorder()
		writer.setRead(now.Add(ahead), storeAt)
		reader.setRead(now, storeAt)
		ranAt := now.Add(-time.Second)
		got, past := reader.localTime(writer.storeMS(ranAt.Add(ahead)))
		if d := got.Sub(ranAt).Abs(); d > time.Millisecond || !past {
			t.Errorf("%v ahead: got %v, past %v, want %v, past true", ahead, got, past, ranAt)
		}
	}
}

// TestClockOfTheStoreThatStartsAnew guards against a row that was written by a clock which has started
// anew since: its runs would count as of now, and clear a poison request of the crashes before.
func TestClockOfTheStoreThatStartsAnew(t *testing.T) {
	now := time.Now()
	k := newRecorder()
	k.setRead(now, time.UnixMilli(1_000_000))
	v := encodeRow(k.runEntries([]policy.CompletedRun{{At: now.Add(-time.Minute), Fingerprint: 1, Times: 5}}))
	if got, want := len(k.decodeRuns(v)), 1; got != want {
		t.Errorf("by the same clock: got %d runs, want %d", got, want)
	}
	k.setRead(now, time.UnixMilli(1000))
	if got := k.decodeRuns(v); len(got) != 0 {
		t.Errorf("by a new clock: got %v, want none", got)
	}
}

// FuzzKeptRow has boxes read rows that hold anything: no time that they learn lies ahead, and what they
// write of it they read back.
func FuzzKeptRow(f *testing.F) {
	now := time.UnixMilli(1 << 41)
	k := newRecorder()
	k.setRead(now, time.UnixMilli(5000))
	f.Add([]byte(encodeRow(k.runEntries([]policy.CompletedRun{{At: now, Fingerprint: 1, Times: 2}}))))
	f.Add([]byte(encodeRow(k.crashEntries([]policy.Crash{{At: now, Suspects: []policy.Suspect{{Fingerprint: 1}}, Upstream: "u"}}))))
	f.Add([]byte(`"gYMb//////////8bAAAAAAAAAAEB"`))
	f.Fuzz(func(t *testing.T, value []byte) {
		runs, crashes := k.decodeRuns(value), k.decodeCrashes(value)
		m, q := policy.NewFrequentRuns(), policy.NewQuarantine()
		m.Merge(runs, now)
		q.Record(crashes, now)
		for _, x := range runs {
			if m.LastRunAt(x.Fingerprint, now).After(now) {
				t.Errorf("a run is ahead: got %v, want at most %v", x.At, now)
			}
		}
		for _, c := range crashes {
			if c.At.After(now) || c.LastReturnAt.After(now) {
				t.Errorf("a crash is ahead: got %v, %v, want at most %v", c.At, c.LastReturnAt, now)
			}
		}
		if l := q.QuarantinedCrashes(maxQuarantined, now); len(decodeRow[crashEntry](encodeRow(k.crashEntries(l)))) != len(l) {
			t.Errorf("read back: want %d crashes", len(l))
		}
		if l := m.Top(maxRuns, now); len(decodeRow[runEntry](encodeRow(k.runEntries(l)))) != len(l) {
			t.Errorf("read back: want %d runs", len(l))
		}
	})
}
