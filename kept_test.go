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

// servingFleet is a region of four boxes that serve calls repeatedly, and are restarted or killed
// meanwhile.
type servingFleet struct {
	*routedRegion
	callCount         int
	t                 *testing.T
	recorderReadsFail atomic.Bool // reads of the recorders' rows fail
}

// recorderReadFaults is a transport to the store that fails reads of the recorders' rows while
// active is set.
type recorderReadFaults struct {
	next   http.RoundTripper
	active *atomic.Bool
}

// RoundTrip makes one call.
func (w *recorderReadFaults) RoundTrip(q *http.Request) (*http.Response, error) {
	if w.active.Load() && q.URL.Query().Get("table") == recorderTable {
		return nil, errRefused
	}
	return w.next.RoundTrip(q)
}

// servedBody is the body of the call that is served before upstreams crash while they run it.
const servedBody = "popular"

// servedCallInterval is the time between two calls.
const servedCallInterval = 100 * time.Millisecond

// crash sends the call through some boxes at once, while the two upstreams that each box tries crash
// as they run it.
func (f *servingFleet) crash(boxes ...string) { f.crashUnder(servedBody, boxes...) }

// crashUnder sends a call with the given body through some boxes at once, while the two upstreams
// that each box tries crash as they run it.
func (f *servingFleet) crashUnder(body string, boxes ...string) {
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
			f.post(n, "bystander-"+body+n, body)
			done <- struct{}{}
		}()
	}
	for range boxes {
		<-done
	}
}

// setStoreRefuses makes the platform's store refuse the calls of all boxes, or accept them again.
func (f *servingFleet) setStoreRefuses(on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range boxesByHall {
		f.refusedBoxes[n] = on
	}
}

// setRecorderReadsFail makes reads of the recorders' rows fail, or succeed again, for boxes that
// start after the first call.
func (f *servingFleet) setRecorderReadsFail(on bool) {
	f.recorderReadsFail.Store(on)
	for _, n := range boxesByHall {
		f.storeTransports[n] = &recorderReadFaults{next: &boxTransport{from: n, region: f.region}, active: &f.recorderReadsFail}
	}
}

// restart kills boxes, all before the first one starts again.
func (f *servingFleet) restart(boxes ...string) {
	for _, n := range boxes {
		f.kill(n)
	}
	for _, n := range boxes {
		f.link.SetDown(n, false)
		f.link.SetDown(n+"-entry", false)
		f.startEntryBox(n)
	}
	time.Sleep(5 * time.Second)
}

// restartOneByOne restarts all boxes, one after another.
func (f *servingFleet) restartOneByOne() {
	for _, n := range boxesByHall {
		f.restart(n)
	}
}

// serve sends calls for a period, with each of the bodies in turn through each of the boxes in
// turn, and checks that each is served.
func (f *servingFleet) serve(period time.Duration, boxes []string, bodies ...string) {
	f.t.Helper()
	for i, began := 0, time.Now(); time.Since(began) < period; i++ {
		f.callCount++
		box, body := boxes[(i/len(bodies))%len(boxes)], bodies[i%len(bodies)]
		if got := f.post(box, fmt.Sprint("call-", f.callCount), body); got != http.StatusOK {
			f.t.Fatalf("%s of %s: got status %d, want 200", body, box, got)
		}
		time.Sleep(servedCallInterval)
	}
}

// numberedBodies returns count distinct bodies, each of another call.
func numberedBodies(name string, count int) []string {
	var l []string
	for i := range count {
		l = append(l, fmt.Sprint(name, "-", i))
	}
	return l
}

// TestServedRequestIsNotForgotten guards against a request that all boxes refuse for crashes which
// another request caused, although it was served repeatedly: the boxes that served it have restarted
// since.
func TestServedRequestIsNotForgotten(t *testing.T) {
	all := boxesByHall
	type scenario struct {
		name string
		play func(f *servingFleet)
	}
	l := []scenario{
		{"all restart", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"other requests are served after the restart", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.serve(time.Minute, all, numberedBodies("after", 5)...)
			f.crash("box-a1")
		}},
		{"a hundred are frequent", func(f *servingFleet) {
			f.serve(100*time.Second, all, append(numberedBodies("before", 99), servedBody)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"a hundred others are frequent later", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.serve(100*time.Second, all, numberedBodies("later", 100)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"frequent once others have been", func(f *servingFleet) {
			f.serve(10*time.Second, all, numberedBodies("first", 5)...)
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"served once at each of three boxes", func(f *servingFleet) {
			f.serve(300*time.Millisecond, all, servedBody)
			time.Sleep(10 * time.Second)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart twice, others are served between", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.serve(time.Minute, all, numberedBodies("between", 5)...)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"all restart in turn", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restartOneByOne()
			f.crash("box-a1")
		}},
		{"all restart in turn, others are served between", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			for _, n := range all {
				f.restart(n)
				f.serve(20*time.Second, all, numberedBodies("between", 5)...)
			}
			f.crash("box-a1")
		}},
		{"four minutes later", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			time.Sleep(4 * time.Minute)
			f.crash("box-a1")
		}},
		{"the store is unavailable as upstreams crash", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.setStoreRefuses(true)
			f.crash("box-a1")
		}},
		{"the kept rows cannot be read until a minute after the crashes", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.setRecorderReadsFail(true)
			f.restart(all...)
			f.crash("box-a1")
			time.Sleep(time.Minute)
			f.setRecorderReadsFail(false)
			time.Sleep(10 * time.Second)
		}},
		{"the store comes back from a copy that lacks it", func(f *servingFleet) {
			f.platform.TakeSnapshot()
			f.serve(10*time.Second, all, servedBody)
			f.platform.Restore()
			time.Sleep(20 * time.Second)
			f.restart(all...)
			f.crash("box-a1")
		}},
		{"two boxes see crashes at once", func(f *servingFleet) {
			f.serve(10*time.Second, all, servedBody)
			f.restart(all...)
			f.crash("box-a1", "box-b2")
		}},
		{"a hall's boxes that served it are lost", func(f *servingFleet) {
			f.serve(10*time.Second, all[:2], servedBody)
			f.kill("box-a1")
			f.kill("box-a2")
			time.Sleep(5 * time.Second)
			f.crash("box-b1")
		}},
	}
	for _, n := range all {
		l = append(l, scenario{"served by " + n + " alone, all restart", func(f *servingFleet) {
			f.serve(10*time.Second, []string{n}, servedBody)
			f.restart(all...)
			f.crash("box-a1")
		}}, scenario{"served by " + n + " alone, which restarts", func(f *servingFleet) {
			f.serve(10*time.Second, []string{n}, servedBody)
			f.restart(n)
			f.crash("box-a1")
		}})
	}
	for _, x := range l {
		t.Run(x.name, func(t *testing.T) {
			withPlainUpstreams(t, func(t *testing.T, r *routedRegion, _ *callers) {
				x.play(&servingFleet{routedRegion: r, t: t})
				time.Sleep(time.Second)
				for n := range r.boxes {
					if got := r.post(n, "next-"+n, servedBody); got != http.StatusOK {
						t.Errorf("%s: got status %d, want 200", n, got)
					}
				}
			})
		})
	}
}

// TestServedRequestsWhileUpstreamsCrashAgain guards against requests that are refused although they
// were served since, because two crashes of an upstream shortly after each other count as one.
func TestServedRequestsWhileUpstreamsCrashAgain(t *testing.T) {
	all := boxesByHall
	for _, x := range []struct {
		name    string
		restart bool
		pause   time.Duration // between two crashes
	}{
		{"all boxes restarted", true, time.Second},
		{"all boxes restarted, 1.9 s", true, 1900 * time.Millisecond},
		{"all boxes restarted, 4 s", true, 4 * time.Second},
		{"no box restarted", false, time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			withPlainUpstreams(t, func(t *testing.T, r *routedRegion, _ *callers) {
				f := &servingFleet{routedRegion: r, t: t}
				bodies := numberedBodies("call", 100)
				f.serve(120*time.Second, all, bodies...)
				if x.restart {
					f.restart(all...)
				}
				for i, body := range bodies[:10] {
					f.crashUnder(body, all[i%len(all)])
					time.Sleep(x.pause)
				}
				time.Sleep(20 * time.Second)
				for _, body := range bodies[:10] {
					for _, n := range all {
						if got := f.post(n, "next-"+body+n, body); got != http.StatusOK {
							t.Errorf("%s at %s: got status %d, want 200", body, n, got)
						}
					}
				}
			})
		})
	}
}

// TestQuarantineAfterAllBoxesRestarted guards against a poison request that crashes two more
// upstreams each time all boxes restart, because its quarantine was stored nowhere but in the memory
// of the boxes.
func TestQuarantineAfterAllBoxesRestarted(t *testing.T) {
	withPoisonFleet(t, func(t *testing.T, p *poisonFleet) {
		restart := func() {
			for _, n := range boxesAlternatingHalls {
				p.kill(n)
			}
			for _, n := range boxesAlternatingHalls {
				p.startEntryBox(n)
			}
			time.Sleep(5 * time.Second)
		}
		for range 3 {
			for _, n := range boxesAlternatingHalls {
				p.send(n, routed.PoisonPrefix)
				time.Sleep(time.Second)
			}
			time.Sleep(10 * time.Second)
			restart()
		}
		if got, want := p.crashCount(routed.PoisonPrefix), 2; got != want {
			t.Errorf("crashes: got %d, want %d", got, want)
		}
	})
}

// TestClearedRequestAfterAllBoxesRestarted guards against a request that is quarantined again by a
// row written before the request was cleared.
func TestClearedRequestAfterAllBoxesRestarted(t *testing.T) {
	withPlainUpstreams(t, func(t *testing.T, r *routedRegion, _ *callers) {
		f := &servingFleet{routedRegion: r, t: t}
		f.crash("box-a1")
		time.Sleep(10 * time.Second)
		f.restart(boxesByHall...)
		if got, want := f.post("box-b1", "refused", servedBody), http.StatusBadGateway; got != want {
			t.Errorf("after the restart: got status %d, want %d", got, want)
		}
		time.Sleep(10 * time.Minute)
		if got, want := f.post("box-b1", "trial", servedBody), http.StatusOK; got != want {
			t.Errorf("ten minutes later: got status %d, want %d", got, want)
		}
		time.Sleep(10 * time.Second)
		f.restart(boxesByHall...)
		for _, n := range boxesByHall {
			if got, want := f.post(n, "cleared-"+n, servedBody), http.StatusOK; got != want {
				t.Errorf("%s, after the next restart: got status %d, want %d", n, got, want)
			}
		}
	})
}

// TestKeptRowsAreBounded checks the size of the largest rows against the 64 KB that the platform
// accepts, and that they decode to what was encoded.
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
		crashes = append(crashes, policy.Crash{At: at, StartedAtMS: 1 << 41, LastResentAt: at, Suspects: []policy.Suspect{s}, Upstream: fmt.Sprintf("%200d", i)})
	}
	for _, x := range []struct {
		name               string
		reencoded, encoded json.RawMessage
	}{
		{"runs", encodeRow(decodeRow[runEntry](encodeRow(k.runEntries(runs)))), encodeRow(k.runEntries(runs))},
		{"crashes", encodeRow(decodeRow[crashEntry](encodeRow(k.crashEntries(crashes)))), encodeRow(k.crashEntries(crashes))},
	} {
		if got, maxWant := len(x.encoded), 65536; got > maxWant {
			t.Errorf("%s: got %d bytes, want at most %d", x.name, got, maxWant)
		}
		if !bytes.Equal(x.reencoded, x.encoded) {
			t.Errorf("%s: got another row after decoding and encoding", x.name)
		}
	}
	for _, foreign := range []string{"", "null", "7", `"AAEC"`, `[{"at":"2026-01-01T00:00:00Z","fingerprint":7}]`} {
		if got := decodeRow[runEntry]([]byte(foreign)); len(got) != 0 {
			t.Errorf("%s: got %v, want none", foreign, got)
		}
	}
}

// TestClockOfTheBoxThatWritesRows guards against rows with times by the clock of the box that wrote
// them: where that clock was ahead or behind, the row's runs cleared no request.
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

// TestClockOfTheStoreThatStartsAnew guards against a row that was written before the store's clock
// was reset: its runs would be dated to the present, and clear a poison request of earlier crashes.
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

// FuzzKeptRow decodes rows with arbitrary contents: no time that a box gets from them lies in the
// future, and it can decode what it encodes from them.
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
				t.Errorf("run in the future: got %v, want at most %v", x.At, now)
			}
		}
		for _, c := range crashes {
			if c.At.After(now) || c.LastResentAt.After(now) {
				t.Errorf("crash in the future: got %v, %v, want at most %v", c.At, c.LastResentAt, now)
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
