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

// crash is the crash of an upstream caused by a poison request.
type crash struct {
	at       time.Time
	leaving  bool   // the upstream had announced that it is leaving, so that its end may have been planned
	request  string // ID of the request
	upstream *soakUpstream
}

const (
	propagationBound = 3 * time.Second        // time within which boxes notify an undisturbed box of what they know
	maxOwnCrashes    = 2                      // crashes that one caller's poison request may cause through one box
	maxKnownCrashes  = 3                      // crashes that one caller's poison request may cause through all boxes, as far as a box can know of them
	poisonInterval   = time.Second            // between two callers that send poison
	poisonRNGStream  = 1<<20 + 2              // stream of the random generator, distinct from the others
	poisonPause      = 150 * time.Millisecond // minimum between two tries; a random part of up to the same length is added
	poisonBurstEvery = 6                      // every so many tries, two more requests are sent at once
	poisonBurstTries = 24                     // per caller, with bursts
	poisonTries      = 12                     // per caller, without bursts; every other one goes through the same box
	correlatedWithin = 300 * time.Millisecond // crashes this close together may be the failure of a rack
	correlatedMin    = 3                      // number of crashes that may be the failure of a rack
	replacementDelay = 200 * time.Millisecond // between a crash and the start of another upstream
)

// recordCrash records that a request has crashed an upstream, and replaces the upstream.
func (w *cluster) recordCrash(u *soakUpstream, request string) {
	w.mutex.Lock()
	w.crashes = append(w.crashes, crash{time.Now(), u.leaving, request, u})
	w.mutex.Unlock()
	u.proxy.refuseConnections()
	w.workers.Go(func() {
		time.Sleep(replacementDelay)
		w.replace(u)()
	})
}

// checkPoison checks that no box let one caller's poison request crash more upstreams than the bounds
// allow, both of crashes that the box observed itself and of those that it must know of. Earlier crashes of upstreams
// that had announced that they are leaving do not count, because their end may have been planned.
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
			if c.observedBySameBox(&l[i], &l[j]) && !correlated(l, j) {
				ownCrashes++
			}
			if c.mustKnow(&l[i], &l[j]) {
				knownCrashes++
			}
		}
		if ownCrashes >= maxOwnCrashes {
			c.addViolation("%s crashed an upstream, after %d earlier crashes through the same box", l[i].request, ownCrashes)
		}
		if knownCrashes >= maxKnownCrashes {
			c.addViolation("%s crashed an upstream, after %d earlier crashes that its box must have known of", l[i].request, knownCrashes)
		}
	}
}

// mustKnow reports whether the box of a crash must know of an earlier one: the box of the earlier crash
// observed it, some box has been undisturbed since, and the box of this crash was undisturbed for long
// enough to be notified.
func (c *callers) mustKnow(x, earlier *crash) bool {
	a, b := c.dispatchOf(x.request), c.dispatchOf(earlier.request)
	seenBy := earlier.at.Add(time.Second)
	switch {
	case a.sentAt.Sub(earlier.at) < propagationBound || !a.box.undisturbed(a.sentAt.Add(-propagationBound), a.sentAt):
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

// observedBySameBox reports whether the box of a crash also forwarded the request of an earlier one,
// observed that crash, and has been undisturbed since.
func (c *callers) observedBySameBox(x, earlier *crash) bool {
	a, b := c.dispatchOf(x.request), c.dispatchOf(earlier.request)
	return a.box == b.box && b.sentAt.Before(earlier.at) && earlier.at.Before(a.sentAt) && a.box.undisturbed(b.sentAt, a.sentAt)
}

// pickBox returns a random box.
func (c *callers) pickBox(r *rand.Rand) *soakBox {
	return c.cluster.boxes[r.IntN(len(c.cluster.boxes))]
}

// correlated reports whether a crash is so close to two others that it may be the failure of a
// rack.
func correlated(l []crash, i int) bool {
	n := 0
	for j := range l {
		if l[j].at.Sub(l[i].at).Abs() < correlatedWithin {
			n++
		}
	}
	return n >= correlatedMin
}

// runPoison makes one caller after another send a request that crashes each upstream which runs
// it, and repeat it, until the context ends. With bursts, callers repeat it more often and
// sometimes send several at once.
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

// sendPoison sends one caller's poison request through several boxes at once.
func (c *callers) sendPoison(ctx context.Context, n, try int, boxes []*soakBox) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	var g sync.WaitGroup
	for i, b := range boxes {
		g.Go(func() {
			id := fmt.Sprintf("deadly-%d-%d-%d", n, try, i)
			s := &callerRequest{id: id, path: fmt.Sprintf("/often/deadly-%d", n), method: http.MethodPost, body: routed.PoisonPrefix}
			if c.call(ctx, b, s) {
				c.addViolation("%s: a poison request was answered", id)
			}
		})
	}
	g.Wait()
}

// samePoison reports whether two requests are poison requests of the same caller.
func samePoison(a, b string) bool {
	var n, m int
	_, errA := fmt.Sscanf(a, "deadly-%d-", &n)
	_, errB := fmt.Sscanf(b, "deadly-%d-", &m)
	return errA == nil && errB == nil && n == m
}
