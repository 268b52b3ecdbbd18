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
	probeInterval = 200 * time.Millisecond // between two rounds of background attempts
	// maxProbes bounds the background attempts of a round.
	maxProbes = 16
	// lostLinksThreshold is the number of upstreams to which connections fail from which on others
	// are tried as well, to find out whether the box has lost its links to all of them.
	lostLinksThreshold = 3
	// lostLinksSample is how many others are tried.
	lostLinksSample = 4
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

// probe tries to connect once to upstreams to which connections fail, and to a sample of others if
// connections to several fail and to none succeeded since the last round. It reports whether
// connections to any upstream still fail.
func (d *Dialer) probe(ctx context.Context) bool {
	before := d.connectionCount()
	failed, others := d.due(time.Now())
	d.try(ctx, failed)
	if len(others) > 0 && d.connectionCount() == before {
		for range unreachableThreshold {
			d.try(ctx, others)
		}
	}
	lost := len(others) > 0 && ctx.Err() == nil
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if lost && d.connections == before {
		d.linksLost = true
	}
	if len(d.failures) > 0 {
		return true
	}
	d.linksLost = false
	return false
}

// connectionCount returns how many connections to upstreams succeeded so far.
func (d *Dialer) connectionCount() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.connections
}

// due returns the upstreams to try in a round: those to which connections fail, beginning with the one
// that was not tried for the longest time, and a random sample of others. Upstreams that are no longer
// listed are dropped.
func (d *Dialer) due(now time.Time) (failed, others []string) {
	all := d.Addresses()
	listed := make(map[string]bool, len(all))
	for _, a := range all {
		listed[a] = true
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for a := range d.failures {
		if !listed[a] {
			delete(d.failures, a)
			continue
		}
		failed = append(failed, a)
	}
	slices.SortFunc(failed, func(a, b string) int {
		return cmp.Or(d.failures[a].triedAt.Compare(d.failures[b].triedAt), cmp.Compare(a, b))
	})
	suspect := !d.linksLost && len(failed) >= lostLinksThreshold && now.Sub(d.connectedAt) > probeInterval
	failed = failed[:min(len(failed), maxProbes)]
	if !suspect {
		return failed, nil
	}
	for _, i := range rand.Perm(len(all)) {
		if len(others) < lostLinksSample && d.failures[all[i]] == nil {
			others = append(others, all[i])
		}
	}
	return failed, others
}

// try connects to upstreams at once and closes the connections.
func (d *Dialer) try(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, a := range addresses {
		g.Go(func() {
			c, err := d.direct(ctx, "tcp", a)
			d.record(a, err == nil, time.Now())
			if err == nil {
				_ = c.Close()
			}
		})
	}
	g.Wait()
}
