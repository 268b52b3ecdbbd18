package linetiller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// crashBatch collects the crashes that this box has learned of, so that they are announced in one
// message: an upstream runs up to 64 requests concurrently, and all of them fail when it crashes.
type crashBatch struct {
	mutex   sync.Mutex
	pending []policy.Crash // to be announced
}

// crashBatchDelay is how long crashes are collected before they are announced. The requests of one
// upstream fail within a millisecond of each other, and a caller may retry after about 10 ms.
const crashBatchDelay = 5 * time.Millisecond

const (
	// unknownDigest is passed as the digest of a box that has not announced one, so that its crashes
	// and limits are fetched: 0 would mean that it knows no crashes.
	unknownDigest = 1
	// A clearance is announced after a random part of clearanceSpreadPerBox for each box, so that most
	// boxes learn of it before they would announce it themselves.
	clearanceSpreadPerBox = 5 * time.Millisecond
	maxClearanceSpread    = time.Second
	// trialInterval is the time by which each box waits longer than the one before to take a trial. An
	// announcement arrives within some 10 ms.
	trialInterval = 50 * time.Millisecond
	// initialFetchTimeout limits how long a starting box waits for its neighbours' crashes and
	// limits. Neighbours that are down do not reply.
	initialFetchTimeout = 300 * time.Millisecond
)

// announceClearance announces a request or part that this box has cleared of crashes to all other boxes, unless
// one of them does so first: many boxes serve the same part at once.
func (b *Box) announceClearance(p policy.Fingerprint) {
	if !b.clearances.add(p) {
		return
	}
	spread := min(maxClearanceSpread, time.Duration(len(b.members.Members()))*clearanceSpreadPerBox)
	b.startWorker(func() {
		b.waitUnlessClosing(rand.N(spread))
		if l := b.relay.Quarantine().ClearedCrashes(b.clearances.take()); len(l) > 0 {
			b.broadcast("", box.Request{Crashes: l, Kind: box.KindReportCrashes})
		}
	})
}

// announceCrashes announces crashes that this box has learned of to all other boxes, because
// callers may retry their requests at any of them.
func (b *Box) announceCrashes(l []policy.Crash) {
	if slices.ContainsFunc(l, func(c policy.Crash) bool { return c.HasSuspect() }) {
		b.requestRecorderRead()
	}
	c := &b.crashBatch
	c.mutex.Lock()
	defer c.mutex.Unlock()
	scheduled := len(c.pending) > 0
	c.pending = append(c.pending, l...)
	if scheduled {
		return
	}
	b.startWorker(func() {
		b.waitUnlessClosing(crashBatchDelay)
		c.mutex.Lock()
		l := c.pending
		c.pending = nil
		c.mutex.Unlock()
		b.broadcast("", box.Request{Crashes: l, Kind: box.KindReportCrashes})
	})
}

// fetchCrashes fetches the crashes that a box knows and this one does not, if the digests differ,
// and triggers heartbeats if there are new ones, so that the neighbours fetch them, too.
func (b *Box) fetchCrashes(ctx context.Context, m box.Member, digest uint64) {
	q := b.relay.Quarantine()
	if digest == 0 || digest == q.Digest(time.Now()) {
		return
	}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(box.Request{Kind: box.KindListCrashes, KnownCrashes: q.CrashHashes(time.Now())}))
	if err != nil {
		return // retried at the next heartbeat
	}
	if b.relay.RecordCrashes(r.Crashes, m.Name) {
		b.requestPush()
	}
}

// fetchFromNeighbours fetches the crashes and rate limits that the neighbours know, before the
// first request. Otherwise a starting box would forward quarantined requests and exceed the limits
// of upstreams.
func (b *Box) fetchFromNeighbours(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialFetchTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, m := range b.members.Neighbours(time.Now()) {
		g.Go(func() {
			b.fetchCrashes(ctx, m, unknownDigest)
			b.fetchLimits(ctx, m, unknownDigest)
		})
	}
	g.Wait()
}

// handleCrashes handles a request that announces crashes, announces requests cleared of crashes, or
// asks for the crashes that the sender does not know.
func (b *Box) handleCrashes(q *box.Request) *box.Reply {
	b.clearances.remove(q)
	switch q.Kind { //nolint:exhaustive // handleRequest handles the other kinds.
	case box.KindReportCleared:
		b.relay.RecordClearances(q.ClearedFingerprints, q.From.Name)
	case box.KindReportCrashes:
		b.relay.RecordCrashes(q.Crashes, q.From.Name)
	case box.KindListCrashes:
		return &box.Reply{Crashes: b.relay.Quarantine().Missing(q.KnownCrashes, time.Now())}
	}
	return &box.Reply{}
}

// requestPush triggers heartbeats at once, so that the neighbours fetch the crashes that this box
// has learned of.
func (b *Box) requestPush() {
	select {
	case b.pushRequested <- struct{}{}:
	default: // a push is already pending
	}
}

// trialDelay returns how much later than the first one this box takes a trial of a quarantined request or part:
// boxes take turns in the order of their rendezvous hashes.
func (b *Box) trialDelay(p policy.Fingerprint) time.Duration {
	var names []string
	for _, m := range b.members.Members() {
		names = append(names, m.Name)
	}
	return time.Duration(policy.RankOf(p.String(), b.settings.Box, names)) * trialInterval
}

// waitUnlessClosing waits for d, or until the box closes.
func (b *Box) waitUnlessClosing(d time.Duration) {
	select {
	case <-b.serveContext.Done():
	case <-time.After(d):
	}
}
