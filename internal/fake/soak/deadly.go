package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// crash is the end of an upstream by a request.
type crash struct {
	at       time.Time
	leaving  bool   // the upstream had said that it leaves, so that its end may be a planned one
	request  string // its id
	upstream *soakUpstream
}

const (
	contactBound     = 3 * time.Second        // after which a box that is left alone knows what others know
	maxOwnCrashes    = 2                      // of what one caller asks for, by requests of one box
	maxKnownCrashes  = 3                      // of what one caller asks for, that any box knows of
	poisonInterval   = time.Second            // between two callers whose requests end upstreams
	poisonStream     = 1<<20 + 2              // of the random numbers, beside the others
	poisonPause      = 150 * time.Millisecond // between two tries, and as much again at most
	poisonBurstEvery = 6                      // every so many tries, two more are sent at once
	poisonBurstTries = 24                     // tries of each where several are sent at once
	poisonTries      = 12                     // of each, every other one through the same box
	correlatedWithin = 300 * time.Millisecond // within which three crashes may be those of a rack
	correlatedMin    = 3
	replacementDelay = 200 * time.Millisecond // after a crash another upstream starts
)

// recordCrash records that a request has crashed an upstream, and starts another in its place.
func (w *cluster) recordCrash(u *soakUpstream, request string) {
	w.mutex.Lock()
	w.crashes = append(w.crashes, crash{time.Now(), u.leaving, request, u})
	w.mutex.Unlock()
	u.proxy.refuse()
	w.workers.Go(func() {
		time.Sleep(replacementDelay)
		w.replace(u)()
	})
}

// runPoison has one caller after another ask for something that crashes each upstream which
// runs it, and come back for it, until the context ends. With many, they come back more often and
// send several at once now and then.
func (c *callers) runPoison(ctx context.Context, r *rand.Rand, bursts bool) {
	tries := poisonTries
	if bursts {
		tries = poisonBurstTries
	}
	for n := 0; ctx.Err() == nil; n++ {
		ownBox := c.pickBox(r)
		for try := range tries {
			box := ownBox
			if try%2 == 1 {
				box = c.pickBox(r)
			}
			boxes := []*soakBox{box}
			if bursts && try%poisonBurstEvery == poisonBurstEvery-1 {
				boxes = append(boxes, c.pickBox(r), c.pickBox(r))
			}
			c.sendPoison(ctx, n, try, boxes)
			time.Sleep(poisonPause + time.Duration(r.Int64N(int64(poisonPause))))
		}
		select {
		case <-ctx.Done():
		case <-time.After(poisonInterval):
		}
	}
}

// pickBox returns a box.
func (c *callers) pickBox(r *rand.Rand) *soakBox {
	return c.cluster.boxes[r.IntN(len(c.cluster.boxes))]
}

// sendPoison sends one caller's request through boxes at once.
func (c *callers) sendPoison(ctx context.Context, n, try int, boxes []*soakBox) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	var g sync.WaitGroup
	for i, b := range boxes {
		g.Go(func() {
			id := fmt.Sprintf("deadly-%d-%d-%d", n, try, i)
			s := &callerRequest{id: id, path: fmt.Sprintf("/often/deadly-%d", n), method: http.MethodPost, body: routed.PoisonPrefix}
			if c.call(ctx, b, s) {
				c.fail("%s: was answered", id)
			}
		})
	}
	g.Wait()
}

// checkPoison checks that no box that was left alone meanwhile let more upstreams crash than it takes
// to know under what they do. Those that had said that they leave are not held to a request.
func (c *callers) checkPoison() {
	c.cluster.mutex.Lock()
	l := append([]crash(nil), c.cluster.crashes...)
	c.cluster.mutex.Unlock()
	for i := range l {
		ownCrashes, knownCrashes := 0, 0
		for j := range l[:i] {
			if l[j].leaving || !samePoison(l[i].request, l[j].request) {
				continue
			}
			if c.sawItself(&l[i], &l[j]) && !correlated(l, j) {
				ownCrashes++
			}
			if c.couldKnow(&l[i], &l[j]) {
				knownCrashes++
			}
		}
		if ownCrashes >= maxOwnCrashes {
			c.fail("%s ended an upstream, as %d before it through the same box", l[i].request, ownCrashes)
		}
		if knownCrashes >= maxKnownCrashes {
			c.fail("%s ended an upstream, as %d before it of which its box could know", l[i].request, knownCrashes)
		}
	}
}

// correlated reports whether an upstream crashed within a moment of two others.
func correlated(l []crash, i int) bool {
	n := 0
	for j := range l {
		if l[j].at.Sub(l[i].at).Abs() < correlatedWithin {
			n++
		}
	}
	return n >= correlatedMin
}

// sawItself reports whether the box of a crash had seen an earlier one itself, and was left alone
// since.
func (c *callers) sawItself(x, earlier *crash) bool {
	a, b := c.dispatchOf(x.request), c.dispatchOf(earlier.request)
	return a.box == b.box && b.sentAt.Before(earlier.at) && earlier.at.Before(a.sentAt) && a.box.undisturbed(b.sentAt, a.sentAt)
}

// couldKnow reports whether a box saw an earlier crash, some box has been left alone since, and the
// box of this one was for long enough to hear of it.
func (c *callers) couldKnow(x, earlier *crash) bool {
	a, b := c.dispatchOf(x.request), c.dispatchOf(earlier.request)
	seenBy := earlier.at.Add(time.Second)
	switch {
	case a.sentAt.Sub(earlier.at) < contactBound || !a.box.undisturbed(a.sentAt.Add(-contactBound), a.sentAt):
		return false
	case !b.box.undisturbed(b.sentAt, seenBy) || earlier.upstream.proxy.faultyWithin(b.sentAt, seenBy):
		return false
	}
	for _, m := range c.cluster.boxes {
		if m.undisturbed(b.sentAt, a.sentAt) {
			return true
		}
	}
	return false
}

// samePoison reports whether two requests are of one caller.
func samePoison(a, b string) bool {
	var n, m int
	_, errA := fmt.Sscanf(a, "deadly-%d-", &n)
	_, errB := fmt.Sscanf(b, "deadly-%d-", &m)
	return errA == nil && errB == nil && n == m
}
