package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// drainBound limits how long new requests to a box may still reach an upstream after the box forwarded
// an answer which announces that the upstream is leaving.
const drainBound = 2 * time.Second

const (
	minRetryAfter    = 1500 * time.Millisecond // shortest back-off that an upstream requests
	retryAfterJitter = 1500 * time.Millisecond // range of the random part of the back-off
	backoffPeriod    = time.Second             // for which the upstream refuses requests
	unlistedPeriod   = 4 * time.Second         // how long an upstream continues to serve after it announced its leaving only in answers
	noticesRNGStream = 1<<20 + 1               // stream of the random generator, distinct from the others
)

// dispatch records to which box a caller sent a request, and when.
type dispatch struct {
	box     *soakBox
	sentAt  time.Time
	service string
}

// leavingNotice is an answer, forwarded by a box, which announces that the upstream is leaving.
type leavingNotice struct {
	at       time.Time
	box      *soakBox
	upstream string
}

// recordDisturbance records that a box is killed, stopped, started, paused or resumed.
func (b *soakBox) recordDisturbance() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.disturbedAt = append(b.disturbedAt, time.Now())
}

// undisturbed reports whether a box was not disturbed between two times.
func (b *soakBox) undisturbed(from, to time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, t := range b.disturbedAt {
		if t.After(from) && t.Before(to) {
			return false
		}
	}
	return true
}

// leave makes an upstream announce in all its answers that it is leaving.
func (w *cluster) leave(u *soakUpstream) {
	w.mutex.Lock()
	u.leaving = true
	w.mutex.Unlock()
	u.engine.Leave()
}

// leaveUnlisted makes an upstream announce only in its answers that it is leaving, and replaces it after
// unlistedPeriod.
func (w *cluster) leaveUnlisted(u *soakUpstream) {
	if len(w.upstreamsOf(u.service)) < 2 {
		return // it is the last one of its service
	}
	w.leave(u)
	time.Sleep(unlistedPeriod)
	w.replace(u)()
}

// requestBackoff makes an upstream refuse requests and request back-off, for backoffPeriod.
func (w *cluster) requestBackoff(u *soakUpstream, retryAfter time.Duration) {
	u.engine.SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter})
	time.Sleep(backoffPeriod)
	u.engine.SetFaults(routed.Faults{})
}

// runNotices makes one upstream after another announce in its answers that it is leaving, or request
// back-off, until the context ends. It picks plain services, whose state boxes learn only from
// answers, as often as engines.
func (w *cluster) runNotices(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		u := pickUpstream(w, r, []string{serviceDesk, serviceLLM}[r.IntN(2)])
		if r.IntN(2) == 0 {
			w.leaveUnlisted(u)
		} else {
			w.requestBackoff(u, minRetryAfter+time.Duration(r.Int64N(int64(retryAfterJitter))))
		}
	}
}

// upstreamsOf returns the live upstreams of a service.
func (w *cluster) upstreamsOf(service string) []*soakUpstream {
	var l []*soakUpstream
	for _, u := range w.liveUpstreams() {
		if u.service == service {
			l = append(l, u)
		}
	}
	return l
}

// checkBackoff checks that boxes kept the back-off that an upstream requested. It skips times
// around faults of the upstream's proxy, because the answer may not have reached the box.
func (c *callers) checkBackoff(u *soakUpstream, arrivals []routed.Arrival) {
	for _, v := range arrivals {
		sender := c.dispatchOf(v.Request)
		end := v.AnsweredAt.Add(v.RetryAfter)
		if v.RetryAfter == 0 || sender.box == nil || !sender.box.undisturbed(sender.sentAt, end) || u.proxy.faultyWithin(v.At.Add(-time.Second), end) {
			continue
		}
		n := 0
		for _, x := range arrivals {
			if x.At.After(v.AnsweredAt.Add(routed.BackoffGrace)) && x.At.Before(end) && c.dispatchOf(x.Request).box == sender.box {
				n++
			}
		}
		if n > routed.BackoffMaxRequests {
			c.addViolation("%s got %d requests from %s within the %s of back-off that it had requested", u.name, n, sender.box.name, v.RetryAfter)
			return
		}
	}
}

// checkLeaving checks that boxes did not send new requests to an upstream later than drainBound after
// they learned that it was leaving.
func (c *callers) checkLeaving(u *soakUpstream, arrivals []routed.Arrival) {
	for _, p := range c.leavingNotices {
		if p.upstream != u.name {
			continue
		}
		for _, v := range arrivals {
			j := c.dispatchOf(v.Request)
			if overdue := j.sentAt.Sub(p.at) - drainBound; j.box == p.box && overdue > 0 && p.box.undisturbed(p.at, j.sentAt) {
				c.addViolation("%s: reached %s from %s, which had forwarded the upstream's notice that it is leaving, %s later than allowed", v.Request, u.name, p.box.name, overdue.Round(time.Millisecond))
			}
		}
	}
}

// checkNotices checks that boxes obeyed what upstreams had announced in answers.
func (c *callers) checkNotices() {
	for _, u := range c.cluster.allUpstreams() {
		arrivals := u.engine.Arrivals()
		c.checkLeaving(u, arrivals)
		c.checkBackoff(u, arrivals)
	}
}

// dispatchOf returns the dispatch of a request; its box is nil if no caller sent the request.
func (c *callers) dispatchOf(request string) dispatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatches[request]
}

// recordDispatch records which box a request was sent to.
func (c *callers) recordDispatch(id string, j dispatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatches[id] = j
}

// recordLeavingNotice records that a box forwarded an answer which announces that the upstream is
// leaving.
func (c *callers) recordLeavingNotice(box *soakBox, upstream string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leavingNotices = append(c.leavingNotices, leavingNotice{time.Now(), box, strings.TrimPrefix(upstream, "stamp.")})
}
