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

// crashCheckWait is how long a request waits to learn whether its upstream has crashed: a machine
// without the process refuses a connection within milliseconds, and one that is cut off is silent.
const crashCheckWait = 50 * time.Millisecond

// callerGoneCheckDelay is how long after its caller left a request an upstream is looked at: one that had
// begun to run it has crashed by then.
const callerGoneCheckDelay = 500 * time.Millisecond

// A stream vouches for a request with the same fingerprint where, clearanceDelay or a little more after
// that one's upstream crashed, it is at least clearanceLeadEvents events further: a poison request would
// have crashed its own upstream.
const (
	clearanceLeadEvents = 8
	clearanceDelay      = 500 * time.Millisecond
)

// reasonQuarantined is the reason of the failure of a quarantined request.
const reasonQuarantined = "ends_upstreams"

// Reasons for which a broken request is not counted as a crash of its upstream.
const (
	ignoredEntryChanged = "entry_changed" // it is no longer listed, or has started again
	ignoredLeaving      = "leaving"       // it had announced that it stops
	ignoredNotRefused   = "not_refused"   // its machine did not refuse a connection
)

// recordServed records that the request ran to its end, and announces it where upstreams had crashed
// under its fingerprint: what many ask for is running as any upstream crashes.
func (e *exchange) recordServed() {
	x, p := e.relay, e.fingerprint()
	x.served.Record(p, time.Now())
	if x.clearCrashes(p, "") {
		x.AnnounceCleared(p)
	}
}

// confirmCrash records that an upstream has crashed under the request, where its machine shows that.
func (e *exchange) confirmCrash(ctx context.Context, u *resource.Upstream, at time.Time, s policy.Suspect) {
	x := e.relay
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !x.Upstreams.ProcessEnded(ctx, u) {
		e.ignoreCrash(u, ignoredNotRefused)
		return
	}
	s.Cleared = x.servedSinceLastCrash(s.Fingerprint, at)
	l := []policy.Crash{{At: at, StartedAtMS: u.Spec.Born, Suspects: []policy.Suspect{s}, Upstream: u.Name}}
	x.metrics.Add(metric.UpstreamCrashes, 1)
	x.RecordCrashes(l, "")
	event.UpstreamCrashed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "ends", x.quarantine.CrashCount(s.Fingerprint, time.Now()), "asked", s.Fingerprint.String())
	x.AnnounceCrashes(l)
	x.ClearServed()
}

// fingerprint returns the request's fingerprint, whoever sends it and however often.
func (e *exchange) fingerprint() policy.Fingerprint {
	if e.cachedFingerprint != 0 {
		return e.cachedFingerprint
	}
	e.cachedFingerprint = FingerprintOf(e.request)
	return e.cachedFingerprint
}

// ignoreCrash counts and logs that a broken request is not counted as a crash.
func (e *exchange) ignoreCrash(u *resource.Upstream, reason string) {
	x := e.relay
	x.metrics.Count(metric.CrashesIgnored, "reason", reason)
	event.CrashNotCounted.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", reason, "asked", e.fingerprint().String())
}

// ignoredReason returns why a request that broke off tells nothing of a crash of its upstream, or "".
func (e *exchange) ignoredReason(u *resource.Upstream, now time.Time) string {
	v := e.relay.view.Upstream(u.Name)
	switch {
	case v == nil || v.Spec.Born != u.Spec.Born:
		return ignoredEntryChanged
	case !v.KeepsWork(now):
		return ignoredLeaving
	}
	return ""
}

// checkCrash finds out whether an upstream that broke off has crashed under the request, whose
// stream had got so many events, and records it. A broken connection, a cut, a slow answer or a
// planned stop is no crash.
func (e *exchange) checkCrash(u *resource.Upstream, events int) {
	x, now := e.relay, time.Now()
	if r := e.ignoredReason(u, now); r != "" {
		e.ignoreCrash(u, r)
		return
	}
	known, p := make(chan struct{}), e.fingerprint()
	x.workers.Go(func() {
		defer close(known)
		e.confirmCrash(x.ctx, u, now, policy.Suspect{Events: events, Fingerprint: p})
	})
	select {
	case <-known:
	case <-time.After(crashCheckWait):
	}
}

// checkCrashAfterCallerLeft looks, after a moment, whether an upstream has crashed under the request whose caller
// left before an answer: it may have begun to run it.
func (e *exchange) checkCrashAfterCallerLeft(u *resource.Upstream) {
	if e.clientCtx.Err() == nil {
		return
	}
	x, now, s := e.relay, time.Now(), policy.Suspect{Fingerprint: e.fingerprint()}
	x.runAfter(callerGoneCheckDelay, func() {
		if e.ignoredReason(u, time.Now()) == "" {
			e.confirmCrash(x.background, u, now, s)
		}
	})
}

// quarantineError returns the failure of a request under which so many upstreams crashed that it is sent
// to no further one, or nil.
func (e *exchange) quarantineError() error {
	x, now := e.relay, time.Now()
	if x.quarantine.Empty() || !x.quarantine.Quarantined(e.fingerprint(), now) {
		return nil
	}
	if l := x.quarantine.Renew(e.fingerprint(), now); l != nil {
		x.AnnounceCrashes(l)
	}
	return fail.New(fail.Unknown, e.servicePlace(), reasonQuarantined, "%d upstreams ended under %s", x.quarantine.CrashCount(e.fingerprint(), now), e.fingerprint())
}

// startTrial lets a quarantined request through where that is due, and announces it.
func (e *exchange) startTrial(now time.Time) {
	x := e.relay
	if x.quarantine.Empty() {
		return
	}
	l := x.quarantine.TakeTrial(e.fingerprint(), now)
	if l == nil {
		return
	}
	event.RequestTried.Log(x.log, "request", e.request.ID, "asked", e.fingerprint().String(), "trial", l[0].Suspects[0].Trials)
	x.AnnounceCrashes(l)
}

// clearCrashes clears a request that ran to its end at a box, "" for this one. It reports whether
// upstreams had crashed under it.
func (x *Relay) clearCrashes(p policy.Fingerprint, from string) bool {
	if !x.quarantine.Clear(p) {
		return false
	}
	event.RequestCleared.Log(x.log, "asked", p.String(), "from", from)
	return true
}

// runAfter calls f after a time, unless the relay is closed before.
func (x *Relay) runAfter(d time.Duration, f func()) {
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

// hasStreamAhead reports whether this box has a stream of the same request that got further than the
// suspect's.
func (x *Relay) hasStreamAhead(s *policy.Suspect) bool {
	x.mutex.Lock()
	l := slices.Collect(maps.Keys(x.streams))
	x.mutex.Unlock()
	for _, y := range l {
		if y.position() > s.Events+clearanceLeadEvents && FingerprintOf(y.exchange.request) == s.Fingerprint {
			return true
		}
	}
	return false
}

// servedSinceLastCrash reports whether this box served a request between the last crash under it, and a crash
// at a time, or later.
func (x *Relay) servedSinceLastCrash(p policy.Fingerprint, at time.Time) bool {
	t := x.served.LastRunAt(p, time.Now())
	return !t.IsZero() && t.After(x.quarantine.LastCrashBefore(p, at))
}

// markClearancesUsed records which runs have cleared their requests of crashes: they clear them of no others.
func (x *Relay) markClearancesUsed(l []policy.Crash) {
	now := time.Now()
	for _, c := range l {
		for _, s := range c.Suspects {
			if s.Cleared {
				x.frequent.MarkUsed(s.Fingerprint, c.At, now)
			}
		}
	}
}

// scheduleClearance clears, after a moment, the suspects of crashes for which this box can speak: it served the
// request since the crash before, or has a stream of it that gets further than the run that crashed.
// What many ask for is running at each upstream of a rack that loses its power. The moment differs
// between boxes, so that most hear of it before they would announce it themselves.
func (x *Relay) scheduleClearance(l []policy.Crash) {
	x.runAfter(clearanceDelay+rand.N(clearanceDelay), func() {
		for _, c := range l {
			x.clearSuspects(&c)
		}
	})
}

// clearSuspects clears the suspects of a crash for which this box can speak.
func (x *Relay) clearSuspects(c *policy.Crash) {
	for _, s := range c.Suspects {
		if !s.Cleared && (x.servedSinceLastCrash(s.Fingerprint, c.At) || x.hasStreamAhead(&s)) && x.clearCrashes(s.Fingerprint, "") {
			x.AnnounceCleared(s.Fingerprint)
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
