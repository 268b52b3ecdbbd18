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
	limitBound   = time.Second            // around which a box that was disturbed is excused
	limitLeast   = 0.2                    // requests a second that an upstream accepts
	limitMost    = 2.5                    // at the most
	limitPeriod  = 5 * time.Second        // that an upstream names a limit, before that changes
	limitPause   = 500 * time.Millisecond // between two upstreams that name one
	limitsStream = 1<<20 + 4              // of the random numbers, beside the others

	pressCallEvery = 25 * time.Millisecond
	pressPlanEvery = 100 * time.Millisecond
	pressPeriod    = 3 * time.Second // for one of these requests
)

// limitsInTurn has an upstream, or all of a service, name a limit, then another one, and then none any
// more, while callers press for more, again and again until the context ends. Some name what is no
// limit in between.
func (c *callers) limitsInTurn(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := []string{serviceDesk, serviceDesk, serviceLLM}[r.IntN(3)]
		l := []*soakUpstream{pickUpstream(c.world, r, service)}
		if r.IntN(2) == 0 {
			l = c.world.of(service)
		}
		pressed, release := context.WithCancel(ctx)
		var g sync.WaitGroup
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		g.Go(func() { c.press(pressed, service, n, own) })
		for range 1 + r.IntN(2) {
			setLimit(l, strconv.FormatFloat(limitLeast+r.Float64()*(limitMost-limitLeast), 'f', 2, 64))
			pause(ctx, limitPeriod)
		}
		if r.IntN(4) == 0 {
			setLimit(l, "many")
			pause(ctx, limitPause)
		}
		setLimit(l, "")
		release()
		g.Wait()
		pause(ctx, limitPause)
	}
}

// press sends requests to a service, through any box, until the context ends, and waits for their
// ends.
func (c *callers) press(ctx context.Context, service string, number int, r *rand.Rand) {
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		s := &sent{id: fmt.Sprintf("press-%d-%d", number, i), method: http.MethodGet, path: "/often/x"}
		every := pressCallEvery
		if service == serviceLLM {
			s.method, s.path, s.tokens = http.MethodPost, "/plan/x", 40
			every = pressPlanEvery
		}
		box := c.world.boxes[r.IntN(len(c.world.boxes))]
		g.Go(func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), pressPeriod)
			defer cancel()
			c.call(call, box, s)
		})
		pause(ctx, every)
	}
}

// limited checks that no upstream got more than the limits that it named allow.
func (c *callers) limited() {
	for _, u := range c.world.every() {
		if broken := u.engine.OverLimit(func(request string) (string, time.Time) { return c.inTouch(u, request) }); broken != "" {
			c.fail("%s: %s", u.name, broken)
		}
	}
}

// inTouch names the box that sent a request to an upstream, or returns "" where that was disturbed,
// or the upstream's link bad, a moment before. A box that was disturbed earlier counts as another one
// since.
func (c *callers) inTouch(u *soakUpstream, request string) (box string, sentAt time.Time) {
	j := c.journeyOf(request)
	if j.box == nil || !j.box.quiet(j.sentAt.Add(-limitBound), j.sentAt.Add(limitBound)) || u.proxy.badWithin(j.sentAt.Add(-limitBound), j.sentAt) {
		return "", j.sentAt
	}
	return fmt.Sprintf("%s after %d", j.box.name, j.box.disturbances(j.sentAt)), j.sentAt
}

// disturbances returns how often a box was disturbed before a time.
func (b *soakBox) disturbances(before time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := 0
	for _, t := range b.disturbed {
		if t.Before(before) {
			n++
		}
	}
	return n
}

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// setLimit has upstreams name a limit, "" for none.
func setLimit(l []*soakUpstream, text string) {
	for _, u := range l {
		u.engine.SetLimit(text)
	}
}
