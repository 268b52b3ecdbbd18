package configuration

import (
	"context"
	"slices"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// peerWatchWait is how long a reader that is watched waits for changes before it responds. Its
	// responses show several times within 1.5 s, the notice that a leaving engine gives, that it is
	// alive.
	peerWatchWait = 500 * time.Millisecond
	// peerWatchGrace is how much longer than its wait a response may take: the round trip between
	// halls, and the time until a small box gets to process the request.
	peerWatchGrace = 400 * time.Millisecond
	// peerResponseTime is how long the response of another reader may take that does not wait for
	// changes, before the store is read as well.
	peerResponseTime = 100 * time.Millisecond
	// peerWatchIdleInterval is the time between two checks whether this box has peers to watch.
	peerWatchIdleInterval = 250 * time.Millisecond
	// substitutionTime is how long a box that was lost may take to be replaced by the first read of one that
	// watched it, before this one says that it does not follow the store.
	substitutionTime = 150 * time.Millisecond
	// peerWatchRetryDelay is the delay before the next round of calls after no peer could help.
	peerWatchRetryDelay = 100 * time.Millisecond
)

// FollowsStore reports whether this box's view is kept up to date: by its own reads of the store,
// none of which failed recently, or by a reader that follows the store.
func (f *Follower) FollowsStore() bool {
	if f.followsPeer(time.Now()) {
		return true
	}
	for _, s := range f.sources {
		if s.unavailable() || s.unconfirmed.Load() {
			return false
		}
	}
	r := f.role()
	return r != roleNone && (r != roleSubstitute || f.probedSincePeerLost(f.probe()))
}

// WatchChanges returns the changes that the calling box lacks. It returns at once if there are any,
// or if this box's own view is not kept up to date, and this box is not about to find out whether it can do
// so itself; otherwise as soon as there are some, or after
// wait, which is limited to peerWatchWait.
func (f *Follower) WatchChanges(ctx context.Context, have resource.Revisions, wait time.Duration) *box.Reply {
	t := time.NewTimer(min(max(0, wait), peerWatchWait))
	defer t.Stop()
	for {
		changed, stateChange := f.view.Changed(), f.stateChanged()
		follows := f.FollowsStore()
		var substituted <-chan time.Time
		if !follows && f.isSubstituting(time.Now()) {
			substituted = time.After(substitutionTime)
		}
		if l := f.view.Missing(have); len(l) > 0 || !follows && substituted == nil {
			return &box.Reply{ViewAge: f.ViewAge(), Changes: withoutLargeLists(l), FollowsStore: follows}
		}
		select {
		case <-changed:
		case <-stateChange:
		case <-substituted:
		case <-t.C:
			return &box.Reply{ViewAge: f.ViewAge(), FollowsStore: f.FollowsStore()}
		case <-ctx.Done():
			return &box.Reply{FollowsStore: follows}
		}
	}
}

// WatchPeers watches the readers that this box is assigned for changes until the context ends.
// Until the first response is due, the box counts as following a peer, and does not read the store
// itself.
func (f *Follower) WatchPeers(ctx context.Context) {
	defer f.workers.Wait()
	f.updateFollowsPeer(true)
	for ctx.Err() == nil {
		a := f.assignment()
		switch {
		case len(a.peers) == 0:
			pause(ctx, peerWatchIdleInterval)
		case f.watchAnyPeer(ctx, a.peers, peerWatchWait):
		default:
			f.setFollowsPeer(false, "")
			pause(ctx, peerWatchRetryDelay)
		}
	}
}

// refreshFromPeer brings the view up to date from a reader. It reports whether a reader that
// follows the store responded.
func (f *Follower) refreshFromPeer(ctx context.Context) bool {
	now := time.Now()
	l := f.assignment().peers
	if p := f.responsiveReader(f.members.Self().Hall); len(l) == 0 && p != "" && p != f.members.Self().Name {
		l = append(l, p)
	}
	for _, p := range l {
		if f.skipPeer(p, now) {
			continue
		}
		if follows, err := f.watchPeer(ctx, p, 0); follows && err == nil {
			return true
		}
	}
	return false
}

// retryUnresponsive calls an unresponsive reader periodically until it responds or is no longer
// listed as a member. Nothing else waits for these calls.
func (f *Follower) retryUnresponsive(ctx context.Context, peer string) {
	for ctx.Err() == nil && f.members.Address(peer) != "" {
		pause(ctx, unresponsivePeerRetryInterval)
		if _, err := f.watchPeer(ctx, peer, 0); err == nil {
			break
		}
	}
	f.setUnresponsive(peer, false)
}

// watchAnyPeer watches the first of the readers that is not to be skipped, whose response may take up
// to wait. If that reader does not follow the store, the others are asked at once. It reports whether
// one that follows the store has responded.
func (f *Follower) watchAnyPeer(ctx context.Context, peers []string, wait time.Duration) bool {
	now := time.Now()
	l := slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return f.skipPeer(p, now) })
	if len(l) == 0 {
		return false
	}
	return f.tryPeer(ctx, l[0], wait) || f.tryPeers(ctx, l[1:])
}

// tryPeer watches a reader and reports whether it responded and follows the store. One that does not
// is skipped for a while.
func (f *Follower) tryPeer(ctx context.Context, peer string, wait time.Duration) bool {
	follows, err := f.watchPeer(ctx, peer, wait)
	switch {
	case follows:
		if f.setFollowsPeer(true, peer) {
			f.resetFailures()
		}
		return true
	case ctx.Err() != nil:
	case err != nil:
		event.ReaderUnresponsive.Log(f.log, "reader", peer, "error", err.Error())
		f.setUnresponsive(peer, true)
		f.workers.Go(func() { f.retryUnresponsive(ctx, peer) })
	default:
		f.markLagging(peer)
	}
	return false
}

// tryPeers asks readers at the same time, without waiting for changes, and reports whether one that
// follows the store has responded. If none has within peerResponseTime, this box no longer counts as
// following one, and reads the store itself while it waits for the others.
func (f *Follower) tryPeers(ctx context.Context, peers []string) bool {
	results := make(chan bool, len(peers))
	for _, p := range peers {
		f.workers.Go(func() { results <- f.tryPeer(ctx, p, 0) })
	}
	timer := time.NewTimer(peerResponseTime)
	defer timer.Stop()
	for left := len(peers); left > 0; {
		select {
		case <-timer.C:
			f.setFollowsPeer(false, "")
		case follows := <-results:
			if follows {
				return true
			}
			left--
		}
	}
	return false
}

// watchPeer requests changes from a reader once, merges them, and reports whether the reader
// follows the store.
func (f *Follower) watchPeer(ctx context.Context, peer string, wait time.Duration) (followsStore bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+peerWatchGrace)
	defer cancel()
	r, err := f.Call(callCtx, f.members.Address(peer), &box.Request{
		From: f.members.Self(), Kind: box.KindWatchChanges, Revisions: f.view.Revisions(), SentAt: time.Now(), Wait: wait,
	})
	if err != nil {
		return false, err
	}
	for i := range r.Changes {
		f.apply(&r.Changes[i], "reader "+peer)
	}
	if err := f.CatchUp(ctx, f.members.Address(peer), r.Revisions); err != nil { // a large list is not part of the reply
		return false, err
	}
	f.RecordPeerViewAge(r.ViewAge)
	return r.FollowsStore, nil
}

// withoutLargeLists returns the batches but for a list of upstreams of several pages, which the
// receiver has to fetch: it would take longer than the receiver waits.
func withoutLargeLists(l []resource.Batch) []resource.Batch {
	return slices.DeleteFunc(l, func(b resource.Batch) bool {
		return b.Source == resource.SourceUpstreams && len(b.Changes) > changesPerPage
	})
}

// followsPeer reports whether a reader that this box watches has recently reported that it follows
// the store.
func (f *Follower) followsPeer(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Before(f.followsPeerUntil)
}

// laggingCount returns how many of the readers reported recently that they cannot follow the store.
func (f *Follower) laggingCount(peers []string, now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := 0
	for _, p := range peers {
		if now.Before(f.laggingPeerUntil[p]) {
			n++
		}
	}
	return n
}

// markLagging excludes a reader that cannot follow the store from being watched for
// laggingPeerBackoff.
func (f *Follower) markLagging(peer string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.laggingPeerUntil[peer] = time.Now().Add(laggingPeerBackoff)
}

// resetFailures clears the failures of this box's own reads, and withdraws its report of them: its
// view is kept up to date by another reader.
func (f *Follower) resetFailures() {
	for _, s := range f.sources {
		if s.failures.Swap(0) > 0 {
			f.announceListUnavailable(s, false)
		}
	}
}

// isSubstituting reports whether this box is about to find out by its own first read whether the store serves
// it, since the box that it watched was lost just now. Those that watch this box wait for the result.
func (f *Follower) isSubstituting(now time.Time) bool {
	f.mutex.Lock()
	lostAt := f.peerLostAt
	f.mutex.Unlock()
	return now.Sub(lostAt) < substitutionTime && f.role() == roleSubstitute && !f.probedSincePeerLost(f.probe())
}

// logFollowsPeer logs that another box has begun to keep this box's view up to date, or no longer does.
func (f *Follower) logFollowsPeer(follows bool, peer string, sinceLost time.Duration) {
	if follows {
		event.ReaderFollowed.Log(f.log, "reader", peer, "without_ms", sinceLost.Milliseconds())
		return
	}
	l := f.assignment().peers
	event.ReaderMissing.Log(f.log, "lagging", f.laggingCount(l, time.Now()), "asked", len(l), "role", string(f.role()), "view_age_ms", f.ViewAge().Milliseconds())
}

// setFollowsPeer records whether another box, named by peer, keeps this box's view up to date. It reports
// whether that has just begun.
func (f *Follower) setFollowsPeer(follows bool, peer string) bool {
	changed, sinceLost := f.updateFollowsPeer(follows)
	if changed {
		f.logFollowsPeer(follows, peer, sinceLost)
	}
	return changed && follows
}

// updateFollowsPeer is setFollowsPeer without its log line. It reports whether that has changed, and how long
// ago the view was last kept up to date by another box, if it was not until now.
func (f *Follower) updateFollowsPeer(follows bool) (changed bool, sinceLost time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	followed := now.Before(f.followsPeerUntil)
	f.followsPeerUntil = time.Time{}
	if follows {
		f.followsPeerUntil = now.Add(peerWatchWait + 2*peerWatchGrace)
	}
	if !f.peerLostAt.IsZero() {
		sinceLost = now.Sub(f.peerLostAt)
	}
	if followed && !follows {
		f.peerLostAt = now
	}
	if follows != followed {
		f.signalStateChangeLocked()
	}
	return follows != followed, sinceLost
}

// setUnresponsive records whether a reader failed to respond.
func (f *Follower) setUnresponsive(peer string, unresponsive bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unresponsivePeers[peer] == unresponsive {
		return
	}
	if unresponsive {
		f.unresponsivePeers[peer] = true
	} else {
		delete(f.unresponsivePeers, peer)
	}
	f.signalStateChangeLocked() // the order of the boxes that respond has changed
}

// signalStateChangeLocked wakes those that wait for a change of the roles or of whether the store
// can be read. The mutex must be held.
func (f *Follower) signalStateChangeLocked() {
	close(f.stateChange)
	f.stateChange = make(chan struct{})
}

// skipPeer reports whether a reader must not be called now, since it is unresponsive or lagging.
func (f *Follower) skipPeer(peer string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unresponsivePeers[peer] || now.Before(f.laggingPeerUntil[peer])
}

// stateChanged returns a channel that is closed at the next change of the roles or of whether the
// store can be read.
func (f *Follower) stateChanged() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stateChange
}

// unresponsive reports whether a reader did not respond to the last call.
func (f *Follower) unresponsive(peer string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unresponsivePeers[peer]
}
