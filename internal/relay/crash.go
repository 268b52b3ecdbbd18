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
	if x := e.relay; !x.quarantine.Empty() && x.quarantine.Clear(e.fingerprint()) {
		x.Cleared(e.fingerprint())
	}
}

// noteCrash finds out whether an upstream that broke off has crashed under the request, and
// records it. A broken connection, a cut, a slow answer or a planned stop is no crash.
func (e *exchange) noteCrash(u *resource.Upstream) {
	x, now := e.relay, time.Now()
	v := x.view.Upstream(u.Name)
	if e.client.Err() != nil || v == nil || !v.Stays(now) || v.Spec.Born != u.Spec.Born {
		return
	}
	p := e.fingerprint()
	known := make(chan struct{})
	x.workers.Go(func() {
		defer close(known)
		ctx, cancel := context.WithTimeout(x.ctx, time.Second)
		defer cancel()
		if !x.Upstreams.Gone(ctx, u) {
			return
		}
		x.quarantine.Add([]policy.Fingerprint{p}, u.Name, u.Spec.Born, time.Now())
		x.metrics.Add(metric.UpstreamCrashes, 1)
		event.UpstreamCrashed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "ends", x.quarantine.Crashes(p, time.Now()), "asked", p.String())
		x.Crashed(u, p)
	})
	select {
	case <-known:
	case <-time.After(crashWaitPeriod):
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
