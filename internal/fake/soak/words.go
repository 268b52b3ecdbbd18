package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// drainBound is how long after a box has passed on an answer which says that its upstream
// leaves requests that it takes may still reach that upstream.
const drainBound = 2 * time.Second

const (
	minRetryAfter    = 1500 * time.Millisecond // that is asked for
	retryAfterJitter = 1500 * time.Millisecond // beyond it
	backoffPeriod    = time.Second             // for which requests are turned away
	unlistedPeriod   = 4 * time.Second         // that an upstream which leaves serves on, while the list says nothing
	noticesStream    = 1<<20 + 1               // of the random numbers, beside those of faults, callers and halls
)

// dispatch is the way of one request to a box.
type dispatch struct {
	box    *soakBox
	sentAt time.Time
}

// leavingNotice is an answer of an upstream that leaves, which a box has passed on.
type leavingNotice struct {
	at       time.Time
	box      *soakBox
	upstream string
}

// recordDisturbance notes that a box is killed, stopped, started or paused, or goes on.
func (b *soakBox) recordDisturbance() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.disturbedAt = append(b.disturbedAt, time.Now())
}

// undisturbed reports whether a box was left alone between two moments.
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

// runNotices has one upstream after another say something of itself with its answers, until
// the context ends: plain ones, of which nothing else tells, as often as engines.
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

// requestBackoff has an upstream turn requests away for a while, and ask for rest.
func (w *cluster) requestBackoff(u *soakUpstream, retryAfter time.Duration) {
	u.engine.SetFaults(routed.Faults{RefuseStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter})
	time.Sleep(backoffPeriod)
	u.engine.SetFaults(routed.Faults{})
}

// leaveUnlisted has an upstream leave that says so with its answers alone, and starts another
// in its place.
func (w *cluster) leaveUnlisted(u *soakUpstream) {
	if len(w.upstreamsOf(u.service)) < 2 {
		return // it is the last one
	}
	w.leave(u)
	time.Sleep(unlistedPeriod)
	w.replace(u)()
}

// leave has an upstream say in all its answers that it leaves.
func (w *cluster) leave(u *soakUpstream) {
	w.mutex.Lock()
	u.leaving = true
	w.mutex.Unlock()
	u.engine.Leave()
}

// upstreamsOf returns the upstreams of a service that stand.
func (w *cluster) upstreamsOf(service string) []*soakUpstream {
	var l []*soakUpstream
	for _, u := range w.liveUpstreams() {
		if u.service == service {
			l = append(l, u)
		}
	}
	return l
}

// recordDispatch remembers a request's way.
func (c *callers) recordDispatch(id string, j dispatch) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatches[id] = j
}

// dispatchOf returns a request's way; its box is nil where the request is none of the callers'.
func (c *callers) dispatchOf(request string) dispatch {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatches[request]
}

// recordLeavingNotice takes in that a box passed on an answer which says that its upstream leaves.
func (c *callers) recordLeavingNotice(box *soakBox, upstream string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leavingNotices = append(c.leavingNotices, leavingNotice{time.Now(), box, strings.TrimPrefix(upstream, "stamp.")})
}

// checkNotices checks that no upstream got what it had told boxes, with its answers, that it does
// not want.
func (c *callers) checkNotices() {
	for _, u := range c.cluster.allUpstreams() {
		visits := u.engine.Arrivals()
		c.checkLeaving(u, visits)
		c.checkBackoff(u, visits)
	}
}

// checkLeaving checks an upstream that leaves.
func (c *callers) checkLeaving(u *soakUpstream, visits []routed.Arrival) {
	for _, p := range c.leavingNotices {
		if p.upstream != u.name {
			continue
		}
		for _, v := range visits {
			j := c.dispatchOf(v.Request)
			if late := j.sentAt.Sub(p.at) - drainBound; j.box == p.box && late > 0 && p.box.undisturbed(p.at, j.sentAt) {
				c.fail("%s: reached %s, which leaves, from %s, which had passed that on, %s after the bound", v.Request, u.name, p.box.name, late.Round(time.Millisecond))
			}
		}
	}
}

// checkBackoff checks an upstream that asked boxes for rest, but for times near to those at which
// its link was bad: a box may not have had the answer then.
func (c *callers) checkBackoff(u *soakUpstream, visits []routed.Arrival) {
	for _, v := range visits {
		asker := c.dispatchOf(v.Request)
		end := v.AnsweredAt.Add(v.RetryAfter)
		if v.RetryAfter == 0 || asker.box == nil || !asker.box.undisturbed(asker.sentAt, end) || u.proxy.faultyWithin(v.At.Add(-time.Second), end) {
			continue
		}
		n := 0
		for _, x := range visits {
			if x.At.After(v.AnsweredAt.Add(routed.BackoffGrace)) && x.At.Before(end) && c.dispatchOf(x.Request).box == asker.box {
				n++
			}
		}
		if n > routed.BackoffMaxRequests {
			c.fail("%s got %d requests from %s in the %s of rest that it had asked for", u.name, n, asker.box.name, v.RetryAfter)
			return
		}
	}
}
