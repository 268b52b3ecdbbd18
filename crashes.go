package linetiller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// crashBatch gathers what this box has learned of crashes, to be announced in one message: an upstream
// runs up to 64 requests at once.
type crashBatch struct {
	mutex   sync.Mutex
	pending []policy.Crash // not announced yet
}

// crashBatchDelay is how long crashes are gathered: the requests of one upstream break off within a
// millisecond of each other, and a caller may be back within some ten.
const crashBatchDelay = 5 * time.Millisecond

const (
	// unknownDigest is taken for the digest of a box that has not announced one, so that it is asked.
	unknownDigest = 1
	// initialFetchTimeout bounds the wait of a box that starts for its neighbours' crashes and limits: those that
	// are gone do not answer.
	initialFetchTimeout = 300 * time.Millisecond
)

// announceCrashes announces to all other boxes what this one has learned of crashes: the callers of
// requests may come back to any of them.
func (b *Box) announceCrashes(l []policy.Crash) {
	if slices.ContainsFunc(l, func(c policy.Crash) bool { return c.HasSuspect() }) {
		b.requestKeptRead()
	}
	c := &b.crashBatch
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := len(c.pending) > 0
	c.pending = append(c.pending, l...)
	if waiting {
		return
	}
	b.startWorker(func() {
		time.Sleep(crashBatchDelay)
		c.mutex.Lock()
		l := c.pending
		c.pending = nil
		c.mutex.Unlock()
		b.broadcast("", box.Request{Crashes: l, Kind: box.KindReportCrashes})
	})
}

// handleCrashes answers a box that announces crashes, or that a request was cleared of crashes, or
// asks for what it does not know of them.
func (b *Box) handleCrashes(q *box.Request) *box.Reply {
	switch q.Kind { //nolint:exhaustive // The others are answered elsewhere.
	case box.KindCleared:
		b.relay.RecordCleared(q.Fingerprints, q.From.Name)
	case box.KindReportCrashes:
		b.relay.RecordCrashes(q.Crashes, q.From.Name)
	case box.KindListCrashes:
		return &box.Reply{Crashes: b.relay.Quarantine().Missing(q.KnownCrashes, time.Now())}
	}
	return &box.Reply{}
}

// fetchCrashes asks a box for what it knows of crashes and this one does not, where its digest
// differs, and passes that on.
func (b *Box) fetchCrashes(ctx context.Context, m box.Member, digest uint64) {
	q := b.relay.Quarantine()
	if digest == 0 || digest == q.Digest(time.Now()) {
		return
	}
	r, err := b.links.CallOnce(ctx, m.Address, b.newRequest(box.Request{Kind: box.KindListCrashes, KnownCrashes: q.CrashHashes(time.Now())}))
	if err != nil {
		return // the next heartbeat tries again
	}
	if b.relay.RecordCrashes(r.Crashes, m.Name) {
		b.requestPush()
	}
}

// fetchFromNeighbours asks the neighbours for what they know of crashes and of limits, before the
// first request: a box that starts would send on what they have quarantined, and more than upstreams
// accept.
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

// requestPush sends heartbeats at once, so that the neighbours fetch what this box has learned of crashes.
func (b *Box) requestPush() {
	select {
	case b.pushRequested <- struct{}{}:
	default: // a push is due already
	}
}
