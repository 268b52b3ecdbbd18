package configuration

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// peerWatchWait is how long a reader that is asked for news waits for some: it shows that
	// it lives several times within the 1.5 s in which an engine may leave.
	peerWatchWait = 500 * time.Millisecond
	// peerWatchGrace is what an answer may take beside: two ways between halls, and the time
	// that a small box may take to come to it.
	peerWatchGrace = 400 * time.Millisecond
	// peerWatchIdleInterval is the time between looks whether this box has come to ask for news.
	peerWatchIdleInterval = 250 * time.Millisecond
	// peerWatchRetryDelay is between two rounds of questions where nobody could help.
	peerWatchRetryDelay = 100 * time.Millisecond
)

// FollowsStore reports whether this box's view is kept up to date: by its own reads of the store,
// of which none failed lately, or by a box that can read it.
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

// WatchChanges answers a box that asks for what it does not know yet: at once where there is
// some, or where this box's own view is not kept up to date, otherwise once there is, or
// after wait.
func (f *Follower) WatchChanges(ctx context.Context, have resource.Revisions, wait time.Duration) *box.Reply {
	t := time.NewTimer(min(max(0, wait), peerWatchWait))
	defer t.Stop()
	for {
		changed, stateChange := f.view.Changed(), f.stateChanged()
		follows := f.FollowsStore()
		if l := f.view.Missing(have); len(l) > 0 || !follows {
			return &box.Reply{ViewAge: f.ViewAge(), Changes: l, FollowsStore: follows}
		}
		select {
		case <-changed:
		case <-stateChange:
		case <-t.C:
			return &box.Reply{ViewAge: f.ViewAge(), FollowsStore: true}
		case <-ctx.Done():
			return &box.Reply{FollowsStore: follows}
		}
	}
}

// WatchPeers asks the readers before this box for news, as long as it is to, until the
// context ends. Until the first answer is due the box does not read the store itself.
func (f *Follower) WatchPeers(ctx context.Context) {
	defer f.workers.Wait()
	f.setFollowsPeer(true)
	for ctx.Err() == nil {
		a := f.assignment()
		switch {
		case len(a.peers) == 0:
			pause(ctx, peerWatchIdleInterval)
		case f.watchAnyPeer(ctx, a.peers, peerWatchWait):
		default:
			f.setFollowsPeer(false)
			pause(ctx, peerWatchRetryDelay)
		}
	}
}

// watchAnyPeer asks readers for news until one whose view is kept up to date has answered, which
// may wait for some, and reports whether one has.
func (f *Follower) watchAnyPeer(ctx context.Context, peers []string, wait time.Duration) bool {
	for _, p := range peers {
		if f.skipPeer(p, time.Now()) {
			continue
		}
		follows, err := f.watchPeer(ctx, p, wait)
		switch {
		case follows:
			if f.setFollowsPeer(true) {
				f.resetFailures()
			}
			return true
		case ctx.Err() != nil:
			return false
		case err != nil:
			event.ReaderUnresponsive.Log(f.log, "reader", p, "error", err.Error())
			f.setUnresponsive(p, true)
			f.workers.Go(func() { f.retryUnresponsive(ctx, p) })
		default:
			f.markLagging(p)
		}
	}
	return false
}

// watchPeer asks a reader for news once, and reports whether its view is kept up to date.
func (f *Follower) watchPeer(ctx context.Context, peer string, wait time.Duration) (followsStore bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerWatchGrace)
	defer cancel()
	r, err := f.Call(ctx, f.members.Address(peer), &box.Request{
		From: f.members.Self(), Kind: box.KindWatchChanges, Revisions: f.view.Revisions(), SentAt: time.Now(), Wait: wait,
	})
	if err != nil {
		return false, err
	}
	for i := range r.Changes {
		f.apply(&r.Changes[i], "reader "+peer)
	}
	f.RecordPeerViewAge(r.ViewAge)
	return r.FollowsStore, nil
}

// retryUnresponsive asks a reader that did not answer again and again, until it does or is listed
// no more: nothing waits for it meanwhile.
func (f *Follower) retryUnresponsive(ctx context.Context, peer string) {
	for ctx.Err() == nil && f.members.Address(peer) != "" {
		pause(ctx, unresponsivePeerRetryInterval)
		if _, err := f.watchPeer(ctx, peer, 0); err == nil {
			break
		}
	}
	f.setUnresponsive(peer, false)
}

// refreshFromPeer brings the view up to date from a reader, and reports whether there is
// one whose view is.
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

// signalStateChangeLocked tells those that wait that it has changed who reads, or whether the store
// can be read; the lock is held.
func (f *Follower) signalStateChangeLocked() {
	close(f.stateChange)
	f.stateChange = make(chan struct{})
}

// followsPeer reports whether a reader before this box lately said that its view is kept up to
// date.
func (f *Follower) followsPeer(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Before(f.followsPeerUntil)
}

// resetFailures takes back the word of this box's own reads that failed: what it knows is
// kept up to date by another reader.
func (f *Follower) resetFailures() {
	for _, s := range f.sources {
		if s.failures.Swap(0) > 0 {
			f.announceListUnavailable(s, false)
		}
	}
}

// markLagging has a reader that cannot read the store not asked for some time.
func (f *Follower) markLagging(peer string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.laggingPeerUntil[peer] = time.Now().Add(laggingPeerBackoff)
}

// skipPeer reports whether a reader is not to be asked now.
func (f *Follower) skipPeer(peer string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unresponsivePeers[peer] || now.Before(f.laggingPeerUntil[peer])
}

// setFollowsPeer takes in whether a reader before this box keeps its view up to date, and reports
// whether one does so from now on.
func (f *Follower) setFollowsPeer(follows bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	followed := now.Before(f.followsPeerUntil)
	f.followsPeerUntil = time.Time{}
	if follows {
		f.followsPeerUntil = now.Add(peerWatchWait + 2*peerWatchGrace)
	}
	if followed && !follows {
		f.peerLostAt = now
	}
	if follows != followed {
		f.signalStateChangeLocked()
	}
	return follows && !followed
}

// setUnresponsive takes in whether a reader answers.
func (f *Follower) setUnresponsive(peer string, unresponsive bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if unresponsive {
		f.unresponsivePeers[peer] = true
		return
	}
	delete(f.unresponsivePeers, peer)
}

// unresponsive reports whether a reader did not answer when it was last asked.
func (f *Follower) unresponsive(peer string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unresponsivePeers[peer]
}

// stateChanged returns a channel that is closed when it changes who reads, or whether the
// store can be read.
func (f *Follower) stateChanged() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stateChange
}
