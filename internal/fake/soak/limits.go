package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	limitExclusion  = time.Second            // requests this close to a disturbance of their box are not checked
	minLimit        = 0.2                    // requests per second that an upstream accepts
	maxLimit        = 2.5                    // requests per second that an upstream accepts
	limitPeriod     = 5 * time.Second        // how long an upstream announces one limit
	limitPause      = 500 * time.Millisecond // between two rounds, and how long an invalid limit lasts
	limitsRNGStream = 1<<20 + 4              // stream of the random generator, distinct from the others

	loadCallInterval = 25 * time.Millisecond  // between two calls to a plain service
	loadPlanInterval = 100 * time.Millisecond // between two requests for streams
	loadTimeout      = 3 * time.Second        // of each request
)

// checkLimits checks that no upstream got more requests than the limits that it announced allow.
func (c *callers) checkLimits() {
	for _, u := range c.cluster.allUpstreams() {
		if violation := u.engine.LimitViolation(func(request string) (string, time.Time) { return c.senderOf(u, request) }); violation != "" {
			c.addViolation("%s: %s", u.name, violation)
		}
	}
}

// runLimits repeats until the context ends: one upstream or all of a service announce a limit, sometimes
// a second one and sometimes an invalid one, and then none, while callers send more than the limit
// allows.
func (c *callers) runLimits(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := []string{serviceDesk, serviceDesk, serviceLLM}[r.IntN(3)]
		l := []*soakUpstream{pickUpstream(c.cluster, r, service)}
		if r.IntN(2) == 0 {
			l = c.cluster.upstreamsOf(service)
		}
		loadCtx, stopLoad := context.WithCancel(ctx)
		var g sync.WaitGroup
		rng := rand.New(rand.NewPCG(r.Uint64(), 0))
		g.Go(func() { c.sendLoad(loadCtx, service, n, rng) })
		for range 1 + r.IntN(2) {
			setLimit(l, strconv.FormatFloat(minLimit+r.Float64()*(maxLimit-minLimit), 'f', 2, 64))
			pause(ctx, limitPeriod)
		}
		if r.IntN(4) == 0 {
			setLimit(l, "many")
			pause(ctx, limitPause)
		}
		setLimit(l, "")
		stopLoad()
		g.Wait()
		pause(ctx, limitPause)
	}
}

// sendLoad sends requests to a service through random boxes until the context ends, and waits for
// their answers.
func (c *callers) sendLoad(ctx context.Context, service string, number int, r *rand.Rand) {
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		s := &callerRequest{id: fmt.Sprintf("press-%d-%d", number, i), method: http.MethodGet, path: oftenPath}
		every := loadCallInterval
		if service == serviceLLM {
			s.method, s.path, s.tokens = http.MethodPost, planPath, 40
			every = loadPlanInterval
		}
		box := c.cluster.boxes[r.IntN(len(c.cluster.boxes))]
		g.Go(func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loadTimeout)
			defer cancel()
			c.call(callCtx, box, s)
		})
		pause(ctx, every)
	}
}

// senderOf returns the name of the box that sent a request to an upstream, and when the caller had
// sent it. The name is "" if the box was disturbed or the upstream's proxy faulty around that
// time. It contains the number of earlier disturbances, so that a disturbed box counts as a new
// one.
func (c *callers) senderOf(u *soakUpstream, request string) (box string, sentAt time.Time) {
	j := c.dispatchOf(request)
	if j.box == nil || !j.box.undisturbed(j.sentAt.Add(-limitExclusion), j.sentAt.Add(limitExclusion)) || u.proxy.faultyWithin(j.sentAt.Add(-limitExclusion), j.sentAt) {
		return "", j.sentAt
	}
	return fmt.Sprintf("%s after %d", j.box.name, j.box.disturbancesBefore(j.sentAt)), j.sentAt
}

// disturbancesBefore returns how often a box was disturbed before a time.
func (b *soakBox) disturbancesBefore(before time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := 0
	for _, t := range b.disturbedAt {
		if t.Before(before) {
			n++
		}
	}
	return n
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// setLimit sets the limit that upstreams announce; "" for none.
func setLimit(l []*soakUpstream, text string) {
	for _, u := range l {
		u.engine.SetLimit(text)
	}
}
