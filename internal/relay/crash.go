package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

// crashCheckWait bounds how long a request waits for the crash check of its upstream. A machine on
// which the upstream's process has ended refuses a connection within milliseconds; one that is cut off
// from the network does not answer at all.
const crashCheckWait = 50 * time.Millisecond

// disconnectCheckDelay is the time between a caller's disconnect and the crash check of the upstream of
// its request. An upstream that had begun to run a poison request has crashed by then.
const disconnectCheckDelay = 500 * time.Millisecond

// A running stream clears a suspect with the same fingerprint if, between clearanceDelay and twice
// that time after the crash, it is more than clearanceLeadEvents events ahead of the suspect: a
// poison request would have crashed the upstream of that stream as well.
const (
	clearanceLeadEvents = 8
	clearanceDelay      = 500 * time.Millisecond
)

// reasonQuarantined is the failure reason of a quarantined request.
const reasonQuarantined = "ends_upstreams"

// Reasons why a broken request is not counted as a crash of its upstream.
const (
	ignoredEntryChanged = "entry_changed" // the upstream is no longer listed, or has restarted
	ignoredLeaving      = "leaving"       // the upstream had announced its shutdown
	ignoredNotRefused   = "not_refused"   // the upstream's machine did not refuse a connection
)

// checkCrash checks whether an upstream that broke off its answer crashed while it ran the request,
// and records the crash. events is the number of events that the stream had received. A broken
// connection, a network partition, a slow answer or a planned shutdown does not count as a crash.
func (e *exchange) checkCrash(c *sendAttempt, events int) {
	if r := e.ignoredReason(c.upstream, time.Now()); r != "" {
		e.ignoreCrash(c.upstream, r)
		return
	}
	awaitCrashCheck(e.startCrashCheck(c, events, func() { e.ignoreCrash(c.upstream, ignoredNotRefused) }))
}

// startCrashCheck checks in the background whether the process of an upstream has ended, and records the crash.
// Otherwise it calls onRunning. The returned channel is closed once that is done.
func (e *exchange) startCrashCheck(c *sendAttempt, events int, onRunning func()) <-chan struct{} {
	x, now := e.relay, time.Now()
	done, l, sent := make(chan struct{}), e.suspects(c, events), *c
	x.workers.Go(func() {
		defer close(done)
		if !e.confirmCrash(x.ctx, &sent, now, l) {
			onRunning()
		}
	})
	return done
}

// checkCrashAfterDisconnect schedules a crash check of the upstream if the caller has disconnected. It
// is called for requests whose answer had not begun: the upstream may have started to run them.
func (e *exchange) checkCrashAfterDisconnect(c *sendAttempt) {
	if e.callerCtx.Err() == nil {
		return
	}
	x, now, sent, l := e.relay, time.Now(), *c, e.suspects(c, 0)
	x.runAfter(disconnectCheckDelay, func() {
		if e.ignoredReason(sent.upstream, time.Now()) == "" && !e.confirmCrash(x.background, &sent, now, l) {
			e.ignoreCrash(sent.upstream, ignoredNotRefused)
		}
	})
}

// startCrashCheckOfSilent does the same as startCrashCheck for an upstream that is silent. Nothing is counted if its
// process runs: the answer has not broken off.
func (e *exchange) startCrashCheckOfSilent(c *sendAttempt, events int) <-chan struct{} {
	if e.ignoredReason(c.upstream, time.Now()) != "" {
		done := make(chan struct{})
		close(done)
		return done
	}
	return e.startCrashCheck(c, events, func() {})
}

// confirmCrash checks with the upstream's machine whether the process has ended, and reports whether it has. If so,
// it records the crash with the suspects, whose answer broke off at brokenAt, and announces it to the other boxes.
func (e *exchange) confirmCrash(ctx context.Context, c *sendAttempt, brokenAt time.Time, suspects []policy.Suspect) bool {
	x, u := e.relay, c.upstream
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !x.Upstreams.ProcessEnded(ctx, u) {
		return false
	}
	l := []policy.Crash{{AliveAt: c.at, At: brokenAt, StartedAtMS: u.Spec.StartedAtMS, Suspects: suspects, Upstream: u.Name}}
	x.metrics.Add(metric.UpstreamCrashes, 1)
	x.RecordCrashes(l, "")
	request := suspects[0]
	event.UpstreamCrashed.Log(x.log, "request", e.request.ID, "upstream", u.Name, "ends", x.quarantine.CrashCount(request.Fingerprint, time.Now()), "asked", request.Fingerprint.String(), "events", request.Events, "parts", e.partNames())
	x.AnnounceCrashes(l)
	x.ClearCompleted()
	return true
}

// ignoreCrash records in the metrics and the log that a broken request is not counted as a crash.
func (e *exchange) ignoreCrash(u *resource.Upstream, reason string) {
	x := e.relay
	x.metrics.Count(metric.CrashesNotCounted, "reason", reason)
	event.CrashNotCounted.Log(x.log, "request", e.request.ID, "upstream", u.Name, "reason", reason, "asked", e.fingerprint().String())
}

// ignoredReason returns the reason for which the upstream of a broken request need not be checked for a
// crash, or "" if it must be checked.
func (e *exchange) ignoredReason(u *resource.Upstream, now time.Time) string {
	v := e.relay.view.Upstream(u.Name)
	switch {
	case v == nil || v.Spec.StartedAtMS != u.Spec.StartedAtMS:
		return ignoredEntryChanged
	case !v.KeepsWork(now):
		return ignoredLeaving
	}
	return ""
}

// quarantineError returns an error if the request, or a part of its prompt, is quarantined because too many
// upstreams crashed while running it, and nil otherwise.
func (e *exchange) quarantineError() error {
	x, now := e.relay, time.Now()
	if x.quarantine.Empty() {
		return nil
	}
	p, found := x.quarantine.Blocking(e.fingerprints(), now)
	if !found {
		return nil
	}
	if l := x.quarantine.Renew(p, now); l != nil {
		x.AnnounceCrashes(l)
	}
	return fail.New(fail.Unknown, e.serviceOrigin(), reasonQuarantined, "%s quarantined: %d upstreams crashed while running fingerprint %s", e.nameOf(p), x.quarantine.CrashCount(p, now), p)
}

// recordCompleted records that the request completed. If the request or a part of its prompt was suspected of
// crashes, it is cleared, and the clearance is announced to the other boxes. A popular request is often
// running when an upstream crashes, whatever the cause, and becomes a suspect each time.
func (e *exchange) recordCompleted() {
	e.recordHarmless(e.fingerprint())
	e.recordPartsHarmless()
}

// startTrial records and announces a trial run of a quarantined request, or of a request with quarantined
// parts, if one is due now.
func (e *exchange) startTrial(now time.Time) {
	x := e.relay
	if x.quarantine.Empty() {
		return
	}
	for _, p := range e.fingerprints() {
		l := x.quarantine.TakeTrial(p, now)
		if l == nil {
			continue
		}
		event.QuarantinedRequestRetried.Log(x.log, "request", e.request.ID, "asked", p.String(), "trial", l[0].Suspects[0].Trials)
		x.AnnounceCrashes(l)
	}
}

// clearCrashes clears a request of the crashes that it is suspected of, because it completed at the
// box named by from, or at this one if from is "". It reports whether the request was a suspect.
func (x *Relay) clearCrashes(p policy.Fingerprint, from string) bool {
	if !x.quarantine.Clear(p) {
		return false
	}
	event.RequestCleared.Log(x.log, "asked", p.String(), "from", from)
	return true
}

// clearSuspects clears those suspects of a crash that did not cause it as far as this box can see, and
// announces the clearances.
func (x *Relay) clearSuspects(c *policy.Crash) {
	for _, s := range c.Suspects {
		if !s.Cleared && (x.ranSinceLastCrash(s.Fingerprint, c.At) || !s.Part && x.hasStreamAhead(&s)) && x.clearCrashes(s.Fingerprint, "") {
			x.AnnounceClearance(s.Fingerprint)
		}
	}
}

// ranSinceLastCrash reports whether a request or part has run at this box after the last crash before the time at
// for which it was a suspect, so that it is unlikely to be the cause of a crash at that time.
func (x *Relay) ranSinceLastCrash(p policy.Fingerprint, at time.Time) bool {
	t, _ := x.completedRuns.LastRun(p, time.Now())
	return !t.IsZero() && x.quarantine.CrashesSince(p, t, at) == 0
}

// hasStreamAhead reports whether this box has a stream of the same request that is more than
// clearanceLeadEvents events ahead of the suspect's.
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

// markCompleted marks the suspects of crashes as cleared that have completed at this box since the crash
// before, so that they are not quarantined until this box has announced it. It returns them.
func (x *Relay) markCompleted(crashes []policy.Crash) []policy.Fingerprint {
	var l []policy.Fingerprint
	for i := range crashes {
		c := &crashes[i]
		for j := range c.Suspects {
			s := &c.Suspects[j]
			if !s.Cleared && x.ranSinceLastCrash(s.Fingerprint, c.At) {
				s.Cleared = true
				l = append(l, s.Fingerprint)
			}
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// markClearancesUsed records which completed runs have cleared a request of a crash. A run clears its
// request of one crash only.
func (x *Relay) markClearancesUsed(l []policy.Crash) {
	now := time.Now()
	for _, c := range l {
		for _, s := range c.Suspects {
			if s.Cleared {
				x.frequentRuns.MarkUsed(s.Fingerprint, c.At, now)
			}
		}
	}
}

// awaitCrashCheck waits for a crash check, for at most crashCheckWait.
func awaitCrashCheck(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(crashCheckWait):
	}
}

// runAfter calls f after d, unless the relay is closed before.
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

// scheduleClearance clears, after a random delay, the suspects that did not cause the crash as far as
// this box can see: the request has completed here since the previous crash, or one of its streams
// here is ahead of the run that crashed. This protects popular requests, which run at every upstream of a rack that loses
// power. The delay is random so that most boxes learn of a clearance before they would announce it
// themselves.
func (x *Relay) scheduleClearance(l []policy.Crash) {
	x.runAfter(clearanceDelay+rand.N(clearanceDelay), func() {
		for _, c := range l {
			x.clearSuspects(&c)
		}
	})
}
