package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// crashWaitPeriod is how long a request waits to learn whether its upstream has crashed: a machine
// without the process refuses a connection within milliseconds, and one that is cut off is silent.
const crashWaitPeriod = 50 * time.Millisecond

// leftDelay is how long after its caller left a request an upstream is looked at: one that had
// begun to run it has crashed by then.
const leftDelay = 500 * time.Millisecond

// A stream vouches for a request with the same fingerprint where, vouchDelay or a little more after
// that one's upstream crashed, it is at least furtherLeast events further: a poison request would
// have crashed its own upstream.
const (
	furtherLeast = 8
	vouchDelay   = 500 * time.Millisecond
)

// reasonQuarantined is the reason of the failure of a quarantined request.
const reasonQuarantined = "ends_upstreams"

// Reasons for which a broken request is not counted as a crash of its upstream.
const (
	ignoredEntryChanged = "entry_changed" // it is no longer listed, or has started again
	ignoredLeaving      = "leaving"       // it had announced that it stops
	ignoredNotRefused   = "not_refused"   // its machine did not refuse a connection
)

// cleared records that the request ran to its end, and announces it where upstreams had crashed
// under its fingerprint: what many ask for is running as any upstream crashes.
func (e *exchange) cleared() {
	x, p := e.relay, e.fingerprint()
	x.served.Record(p, time.Now())
	if x.clear(p, "") {
		x.Cleared(p)
	}
}

// findCrash records that an upstream has crashed under the request, where its machine shows that.
func (e *exchange) findCrash(ctx context.Context, u *resource.Upstream, at time.Time, s policy.Suspect) {
	x := e.relay
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !x.Upstreams.Gone(ctx, u) {
		e.ignoreCrash(u, ignoredNotRefused)
		return
	}
	s.Cleared = x.servedSince(s.Fingerprint, at)
	l := []policy.Crash{{At: at, StartedAtMS: u.Spec.Born, Suspects: []policy.Suspect{s}, Upstream: u.Name}}
	x.metrics.Add(metric.UpstreamCrashes, 1)
	x.NoteCrashes(l, "")
	event.UpstreamCrashed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "ends", x.quarantine.CrashCount(s.Fingerprint, time.Now()), "asked", s.Fingerprint.String())
	x.Crashed(l)
	x.ClearServed()
}

// fingerprint returns the request's fingerprint, whoever sends it and however often.
func (e *exchange) fingerprint() policy.Fingerprint {
	if e.asked != 0 {
		return e.asked
	}
	e.asked = FingerprintOf(e.request)
	return e.asked
}

// ignoreCrash counts and logs that a broken request is not counted as a crash.
func (e *exchange) ignoreCrash(u *resource.Upstream, reason string) {
	x := e.relay
	x.metrics.Count(metric.CrashesIgnored, "reason", reason)
	event.CrashNotCounted.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", reason, "asked", e.fingerprint().String())
}

// noCrash returns why a request that broke off tells nothing of a crash of its upstream, or "".
func (e *exchange) noCrash(u *resource.Upstream, now time.Time) string {
	v := e.relay.view.Upstream(u.Name)
	switch {
	case v == nil || v.Spec.Born != u.Spec.Born:
		return ignoredEntryChanged
	case !v.KeepsWork(now):
		return ignoredLeaving
	}
	return ""
}

// noteCrash finds out whether an upstream that broke off has crashed under the request, whose
// stream had got so many events, and records it. A broken connection, a cut, a slow answer or a
// planned stop is no crash.
func (e *exchange) noteCrash(u *resource.Upstream, events int) {
	x, now := e.relay, time.Now()
	if r := e.noCrash(u, now); r != "" {
		e.ignoreCrash(u, r)
		return
	}
	known, p := make(chan struct{}), e.fingerprint()
	x.workers.Go(func() {
		defer close(known)
		e.findCrash(x.ctx, u, now, policy.Suspect{Events: events, Fingerprint: p})
	})
	select {
	case <-known:
	case <-time.After(crashWaitPeriod):
	}
}

// noteLeft looks, after a moment, whether an upstream has crashed under the request whose caller
// left before an answer: it may have begun to run it.
func (e *exchange) noteLeft(u *resource.Upstream) {
	if e.client.Err() == nil {
		return
	}
	x, now, s := e.relay, time.Now(), policy.Suspect{Fingerprint: e.fingerprint()}
	x.later(leftDelay, func() {
		if e.noCrash(u, time.Now()) == "" {
			e.findCrash(x.background, u, now, s)
		}
	})
}

// quarantined returns the failure of a request under which so many upstreams crashed that it is sent
// to no further one, or nil.
func (e *exchange) quarantined() error {
	x, now := e.relay, time.Now()
	if x.quarantine.Empty() || !x.quarantine.Quarantined(e.fingerprint(), now) {
		return nil
	}
	if l := x.quarantine.Renew(e.fingerprint(), now); l != nil {
		x.Crashed(l)
	}
	return fail.New(fail.Unknown, e.servicePlace(), reasonQuarantined, "%d upstreams ended under %s", x.quarantine.CrashCount(e.fingerprint(), now), e.fingerprint())
}

// tryOut lets a quarantined request through where that is due, and announces it.
func (e *exchange) tryOut(now time.Time) {
	x := e.relay
	if x.quarantine.Empty() {
		return
	}
	l := x.quarantine.TakeTrial(e.fingerprint(), now)
	if l == nil {
		return
	}
	event.RequestTried.Log(x.log, "request", e.request.ID, "asked", e.fingerprint().String(), "trial", l[0].Suspects[0].Trials)
	x.Crashed(l)
}

// clear clears a request that ran to its end at a box, "" for this one. It reports whether
// upstreams had crashed under it.
func (x *Relay) clear(p policy.Fingerprint, from string) bool {
	if !x.quarantine.Clear(p) {
		return false
	}
	event.RequestCleared.Log(x.log, "asked", p.String(), "from", from)
	return true
}

// later calls f after a time, unless the relay is closed before.
func (x *Relay) later(d time.Duration, f func()) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.closing {
		return
	}
	x.workers.Go(func() {
		select {
		case <-x.background.Done():
		case <-time.After(d):
			f()
		}
	})
}

// outlives reports whether this box has a stream of the same request that got further than the
// suspect's.
func (x *Relay) outlives(s *policy.Suspect) bool {
	x.mutex.Lock()
	l := slices.Collect(maps.Keys(x.streams))
	x.mutex.Unlock()
	for _, y := range l {
		if y.position() > s.Events+furtherLeast && FingerprintOf(y.exchange.request) == s.Fingerprint {
			return true
		}
	}
	return false
}

// servedSince reports whether this box served a request between the last crash under it, and a crash
// at a time, or later.
func (x *Relay) servedSince(p policy.Fingerprint, at time.Time) bool {
	t := x.served.LastRunAt(p, time.Now())
	return !t.IsZero() && t.After(x.quarantine.LastCrashBefore(p, at))
}

// markUsed records which runs have cleared their requests of crashes: they clear them of no others.
func (x *Relay) markUsed(l []policy.Crash) {
	now := time.Now()
	for _, c := range l {
		for _, s := range c.Suspects {
			if s.Cleared {
				x.frequent.MarkUsed(s.Fingerprint, c.At, now)
			}
		}
	}
}

// vouch clears, after a moment, the suspects of crashes for which this box can speak: it served the
// request since the crash before, or has a stream of it that gets further than the run that crashed.
// What many ask for is running at each upstream of a rack that loses its power. The moment differs
// between boxes, so that most hear of it before they would announce it themselves.
func (x *Relay) vouch(l []policy.Crash) {
	x.later(vouchDelay+rand.N(vouchDelay), func() {
		for _, c := range l {
			x.vouchFor(&c)
		}
	})
}

// vouchFor clears the suspects of a crash for which this box can speak.
func (x *Relay) vouchFor(c *policy.Crash) {
	for _, s := range c.Suspects {
		if !s.Cleared && (x.servedSince(s.Fingerprint, c.At) || x.outlives(&s)) && x.clear(s.Fingerprint, "") {
			x.Cleared(s.Fingerprint)
		}
	}
}

// FingerprintOf returns a request's fingerprint.
func FingerprintOf(q *Request) policy.Fingerprint {
	h := xxhash.New()
	for _, s := range []string{q.Method, q.Host, q.Target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return policy.Fingerprint(h.Sum64())
}
