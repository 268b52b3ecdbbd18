package relay

import (
	"context"
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

// reasonQuarantined is the reason of the failure of a quarantined request.
const reasonQuarantined = "ends_upstreams"

// Reasons for which a broken request is not counted as a crash of its upstream.
const (
	ignoredCallerGone   = "caller_gone"
	ignoredEntryChanged = "entry_changed" // it is no longer listed, or has started again
	ignoredLeaving      = "leaving"       // it had announced that it stops
	ignoredNotRefused   = "not_refused"   // its machine did not refuse a connection
)

// quarantined returns the failure of a request under which so many upstreams crashed that it is sent
// to no further one, or nil.
func (e *exchange) quarantined() error {
	x, now := e.relay, time.Now()
	if x.quarantine.Empty() || !x.quarantine.Quarantined(e.fingerprint(), now) {
		return nil
	}
	return fail.New(fail.Unknown, e.servicePlace(), reasonQuarantined, "%d upstreams ended under %s", x.quarantine.Crashes(e.fingerprint(), now), e.fingerprint())
}

// cleared records that the request ran to its end, and announces it where upstreams had crashed
// under its fingerprint: what many ask for is running as any upstream crashes.
func (e *exchange) cleared() {
	x := e.relay
	if x.quarantine.Empty() {
		return
	}
	if p := e.fingerprint(); x.clear(p, "") {
		x.Cleared(p)
	}
}

// noteCrash finds out whether an upstream that broke off has crashed under the request, and
// records it. A broken connection, a cut, a slow answer or a planned stop is no crash.
func (e *exchange) noteCrash(u *resource.Upstream) {
	x := e.relay
	if r := e.noCrash(u, time.Now()); r != "" {
		e.ignoreCrash(u, r)
		return
	}
	p := e.fingerprint()
	known := make(chan struct{})
	x.workers.Go(func() {
		defer close(known)
		ctx, cancel := context.WithTimeout(x.ctx, time.Second)
		defer cancel()
		if !x.Upstreams.Gone(ctx, u) {
			e.ignoreCrash(u, ignoredNotRefused)
			return
		}
		x.recordCrash([]policy.Fingerprint{p}, u.Name, u.Spec.Born, "")
		x.metrics.Add(metric.UpstreamCrashes, 1)
		event.UpstreamCrashed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "ends", x.quarantine.Crashes(p, time.Now()), "asked", p.String())
		x.Crashed(u, p)
	})
	select {
	case <-known:
	case <-time.After(crashWaitPeriod):
	}
}

// noCrash returns why a request that broke off tells nothing of a crash of its upstream, or "".
func (e *exchange) noCrash(u *resource.Upstream, now time.Time) string {
	v := e.relay.view.Upstream(u.Name)
	switch {
	case e.client.Err() != nil:
		return ignoredCallerGone
	case v == nil || v.Spec.Born != u.Spec.Born:
		return ignoredEntryChanged
	case !v.Stays(now):
		return ignoredLeaving
	}
	return ""
}

// ignoreCrash counts and logs that a broken request is not counted as a crash.
func (e *exchange) ignoreCrash(u *resource.Upstream, reason string) {
	x := e.relay
	x.metrics.Count(metric.CrashesIgnored, "reason", reason)
	event.CrashNotCounted.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", reason, "asked", e.fingerprint().String())
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

// recordCrash records a crash that a box saw, "" for this one.
func (x *Relay) recordCrash(l []policy.Fingerprint, upstream string, born int64, from string) {
	now := time.Now()
	for _, p := range x.quarantine.Add(l, upstream, born, now) {
		event.RequestQuarantined.Log(x.log, "asked", p.String(), "upstream", upstream, "crashes", x.quarantine.Crashes(p, now), "from", from)
	}
}

// fingerprint returns the request's fingerprint, whoever sends it and however often.
func (e *exchange) fingerprint() policy.Fingerprint {
	if e.asked != 0 {
		return e.asked
	}
	e.asked = FingerprintOf(e.request)
	return e.asked
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
