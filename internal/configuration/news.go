package configuration

import (
	"context"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/event"
	"github.com/linetiller/linetiller/internal/resource"
)

const (
	// newsWait is how long a reader that is asked for news waits for some: it shows that
	// it lives several times within the 1.5 s in which an engine may leave.
	newsWait = 500 * time.Millisecond
	// newsSlack is what an answer may take beside: two ways between halls, and the time
	// that a small box may take to come to it.
	newsSlack = 400 * time.Millisecond
	// newsIdle is the time between looks whether this box has come to ask for news.
	newsIdle = 250 * time.Millisecond
	// newsPause is between two rounds of questions where nobody could help.
	newsPause = 100 * time.Millisecond
)

// Fed reports whether this box's view is kept up to date: by its own reads of the store,
// of which none failed lately, or by a box that can read it.
func (f *Follower) Fed() bool {
	if f.fed(time.Now()) {
		return true
	}
	for _, s := range f.sources {
		if s.away() || s.unconfirmed.Load() {
			return false
		}
	}
	r := f.rank()
	return r != rankNone && (r != rankSubstitute || f.probedSinceFed(f.probe()))
}

// News answers a box that asks for what it does not know yet: at once where there is
// some, or where this box's own view is not kept up to date, otherwise once there is, or
// after wait.
func (f *Follower) News(ctx context.Context, have resource.Revisions, wait time.Duration) *box.Reply {
	t := time.NewTimer(min(max(0, wait), newsWait))
	defer t.Stop()
	for {
		changed, state := f.view.Changed(), f.stateChanged()
		fed := f.Fed()
		if l := f.view.Missing(have); len(l) > 0 || !fed {
			return &box.Reply{ViewAge: f.Age(), Changes: l, FollowsStore: fed}
		}
		select {
		case <-changed:
		case <-state:
		case <-t.C:
			return &box.Reply{ViewAge: f.Age(), FollowsStore: true}
		case <-ctx.Done():
			return &box.Reply{FollowsStore: fed}
		}
	}
}

// RunNews asks the readers before this box for news, as long as it is to, until the
// context ends. Until the first answer is due the box does not read the store itself.
func (f *Follower) RunNews(ctx context.Context) {
	defer f.workers.Wait()
	f.setFed(true)
	for ctx.Err() == nil {
		d := f.duty()
		switch {
		case len(d.peers) == 0:
			pause(ctx, newsIdle)
		case f.askAny(ctx, d.peers, newsWait):
		default:
			f.setFed(false)
			pause(ctx, newsPause)
		}
	}
}

// askAny asks readers for news until one whose view is kept up to date has answered, which
// may wait for some, and reports whether one has.
func (f *Follower) askAny(ctx context.Context, peers []string, wait time.Duration) bool {
	for _, p := range peers {
		if f.passedOver(p, time.Now()) {
			continue
		}
		fed, err := f.askNews(ctx, p, wait)
		switch {
		case fed:
			if f.setFed(true) {
				f.forgetFailures()
			}
			return true
		case ctx.Err() != nil:
			return false
		case err != nil:
			event.ReaderUnresponsive.Log(f.log, "reader", p, "error", err.Error())
			f.setSilent(p, true)
			f.workers.Go(func() { f.callSilent(ctx, p) })
		default:
			f.passOver(p)
		}
	}
	return false
}

// askNews asks a reader for news once, and reports whether its view is kept up to date.
func (f *Follower) askNews(ctx context.Context, peer string, wait time.Duration) (fed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+newsSlack)
	defer cancel()
	r, err := f.Ask(ctx, f.members.Address(peer), &box.Request{
		From: f.members.Self(), Kind: box.KindWatchChanges, Revisions: f.view.Revisions(), SentAt: time.Now(), Wait: wait,
	})
	if err != nil {
		return false, err
	}
	for i := range r.Changes {
		f.apply(&r.Changes[i], "reader "+peer)
	}
	f.HeardAge(r.ViewAge)
	return r.FollowsStore, nil
}

// callSilent asks a reader that did not answer again and again, until it does or is listed
// no more: nothing waits for it meanwhile.
func (f *Follower) callSilent(ctx context.Context, peer string) {
	for ctx.Err() == nil && f.members.Address(peer) != "" {
		pause(ctx, peerSilentPeriod)
		if _, err := f.askNews(ctx, peer, 0); err == nil {
			break
		}
	}
	f.setSilent(peer, false)
}

// renewFromReader brings the view up to date from a reader, and reports whether there is
// one whose view is.
func (f *Follower) renewFromReader(ctx context.Context) bool {
	now := time.Now()
	l := f.duty().peers
	if p := f.answering(f.members.Self().Hall); len(l) == 0 && p != "" && p != f.members.Self().Name {
		l = append(l, p)
	}
	for _, p := range l {
		if f.passedOver(p, now) {
			continue
		}
		if fed, err := f.askNews(ctx, p, 0); fed && err == nil {
			return true
		}
	}
	return false
}

// changeState tells those that wait that it has changed who reads, or whether the store
// can be read; the lock is held.
func (f *Follower) changeState() {
	close(f.state)
	f.state = make(chan struct{})
}

// fed reports whether a reader before this box lately said that its view is kept up to
// date.
func (f *Follower) fed(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Before(f.fedUntil)
}

// forgetFailures takes back the word of this box's own reads that failed: what it knows is
// kept up to date by another reader.
func (f *Follower) forgetFailures() {
	for _, s := range f.sources {
		if s.failures.Swap(0) > 0 {
			f.tellAway(s, false)
		}
	}
}

// passOver has a reader that cannot read the store not asked for some time.
func (f *Follower) passOver(peer string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unfedTill[peer] = time.Now().Add(peerUnfedPeriod)
}

// passedOver reports whether a reader is not to be asked now.
func (f *Follower) passedOver(peer string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.silentPeers[peer] || now.Before(f.unfedTill[peer])
}

// setFed takes in whether a reader before this box keeps its view up to date, and reports
// whether one does so from now on.
func (f *Follower) setFed(fed bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	was := now.Before(f.fedUntil)
	f.fedUntil = time.Time{}
	if fed {
		f.fedUntil = now.Add(newsWait + 2*newsSlack)
	}
	if was && !fed {
		f.unfedAt = now
	}
	if fed != was {
		f.changeState()
	}
	return fed && !was
}

// setSilent takes in whether a reader answers.
func (f *Follower) setSilent(peer string, silent bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if silent {
		f.silentPeers[peer] = true
		return
	}
	delete(f.silentPeers, peer)
}

// silent reports whether a reader did not answer when it was last asked.
func (f *Follower) silent(peer string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.silentPeers[peer]
}

// stateChanged returns a channel that is closed when it changes who reads, or whether the
// store can be read.
func (f *Follower) stateChanged() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state
}
