package reach

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond // between two rounds of probes
	// maxProbeInterval bounds the time between two probes of one upstream, which doubles with each
	// failure.
	maxProbeInterval = 500 * time.Millisecond
	maxProbes        = 16 // direct connections in a round
	maxViaProbes     = 2  // connections by way of peers in a round
	// lostLinksThreshold is the number of upstreams to which connections fail from which on others
	// are tried as well, to find out whether the box has lost its links to all of them.
	lostLinksThreshold = 3
	// lostLinksSample is how many others are tried.
	lostLinksSample = 4
	// returnedLinksSample is how many others are tried in a round while the box has no links: those to
	// which connections failed may have ended meanwhile.
	returnedLinksSample = 2
)

// Run tries to connect to the upstreams to which connections fail, until ctx ends.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for d.probe(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(probeInterval):
			}
		}
	}
}

// probe tries to connect once to upstreams to which connections fail, and directly to a sample of others
// if direct connections to several fail and to none succeeded since the last round. It reports whether
// connections to any upstream still fail.
func (d *Dialer) probe(ctx context.Context) bool {
	before := d.connectionCount()
	now := time.Now()
	failed := d.dueDirect(now)
	var g sync.WaitGroup
	g.Go(func() { d.probeVia(ctx, d.dueVia(now)) })
	g.Go(func() { d.probeReturned(ctx) })
	d.probeDirect(ctx, failed)
	others := d.sample(now)
	if len(others) > 0 && d.connectionCount() == before {
		for range unreachableThreshold {
			d.probeDirect(ctx, others)
		}
	}
	g.Wait()
	lost := len(others) > 0 && ctx.Err() == nil
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if lost && d.connections == before {
		d.linksLost = true
	}
	if d.connections > before {
		d.retryAllSoon()
	}
	if len(d.failures) > 0 {
		return true
	}
	d.linksLost, d.unreachable = false, 0
	return false
}

// connectionCount returns how many direct connections to upstreams succeeded so far.
func (d *Dialer) connectionCount() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.connections
}

// dueDirect returns the upstreams to which to connect directly in a round, beginning with the one that
// was not tried for the longest time. It drops upstreams that are no longer listed.
func (d *Dialer) dueDirect(now time.Time) []string {
	listed := make(map[string]bool)
	for _, a := range d.Addresses() {
		listed[a] = true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var due []string
	for a, f := range d.failures {
		if !listed[a] {
			delete(d.failures, a)
			continue
		}
		if !now.Before(f.probeAt()) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(d.failures[a].triedAt.Compare(d.failures[b].triedAt), cmp.Compare(a, b))
	})
	return due[:min(len(due), maxProbes)]
}

// dueVia returns the upstreams to which to connect by way of peers in a round: those to which no path
// led.
func (d *Dialer) dueVia(now time.Time) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var due []string
	for a, f := range d.failures {
		if len(due) < maxViaProbes && f.paths > 0 && now.Sub(f.triedViaAt) >= maxProbeInterval {
			f.triedViaAt = now
			due = append(due, a)
		}
	}
	return due
}

// sample returns upstreams to which no connection has failed, to try whether the box has lost its links
// to all upstreams, or nil if that is known or nothing suggests it.
func (d *Dialer) sample(now time.Time) []string {
	all := d.Addresses()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.linksLost || len(d.failures) < lostLinksThreshold || now.Sub(d.connectedAt) <= probeInterval {
		return nil
	}
	var others []string
	for _, i := range rand.Perm(len(all)) {
		if len(others) < lostLinksSample && d.failures[all[i]] == nil {
			others = append(others, all[i])
		}
	}
	return others
}

// reachesOther reports whether a direct connection to an upstream other than that at an address succeeds now.
func (d *Dialer) reachesOther(ctx context.Context, address string) bool {
	all := slices.DeleteFunc(slices.Clone(d.Addresses()), func(a string) bool { return a == address })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	before := d.connectionCount()
	d.probeDirect(ctx, all[:min(len(all), lostLinksSample)])
	return d.connectionCount() > before
}

// retryAllSoon makes all upstreams to which connections fail due in the next round. The caller holds the
// lock.
func (d *Dialer) retryAllSoon() {
	for _, f := range d.failures {
		f.direct = min(f.direct, unreachableThreshold)
	}
}

// probeDirect connects to upstreams at once and closes the connections.
func (d *Dialer) probeDirect(ctx context.Context, addresses []string) {
	var g sync.WaitGroup
	for _, a := range addresses {
		g.Go(func() {
			if c, err := d.dial(ctx, a); err == nil {
				_ = c.Close()
			}
		})
	}
	g.Wait()
}

// probeVia connects to upstreams by way of peers and closes the connections.
func (d *Dialer) probeVia(ctx context.Context, addresses []string) {
	for _, a := range addresses {
		peers := d.peerPaths()
		if len(peers) == 0 {
			return
		}
		if c, _, err := d.connect(ctx, a, &pathQueue{paths: peers}); err == nil {
			_ = c.Close()
		}
	}
}

// probeAt returns when the upstream is to be tried again.
func (f *failedUpstream) probeAt() time.Time {
	period := probeInterval << min(8, max(0, f.direct-unreachableThreshold))
	return f.triedAt.Add(min(maxProbeInterval, period))
}

// probeReturned connects directly to some upstreams to which no connection has failed if the box has lost its
// links to all of them. It records successes only, as there is nothing else to learn.
func (d *Dialer) probeReturned(ctx context.Context) {
	all := d.Addresses()
	d.mutex.Lock()
	if !d.linksLost {
		all = nil
	}
	all = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return d.failures[a] != nil })
	d.mutex.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, a := range all[:min(len(all), returnedLinksSample)] {
		g.Go(func() {
			if c, err := d.direct(ctx, "tcp", a); err == nil {
				_ = c.Close()
				d.recordDirect(a, nil, time.Now())
			}
		})
	}
	g.Wait()
}
