package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// Tracker tells owners how far the generations that this box holds are. It is
// safe for concurrent use.
type Tracker struct {
	// Send sends an update to the owner of its upstream; a seam.
	Send func(ctx context.Context, u *box.ProgressReport) (*box.Reply, error)

	fresh   map[*Running]bool                   // have their first token since the last update
	gone    map[string][]box.GenerationProgress // by upstream: ended since the last update
	learn   func(*policy.Load)
	mutex   sync.Mutex // no other lock is taken under it
	running map[string]*Running
	wake    chan struct{}
}

// Running is a generation that this box holds.
type Running struct {
	Produced atomic.Int64 // tokens so far

	upstream string
	work     policy.Work
}

const (
	sendPeriod    = 2 * time.Second
	updateEvery   = 500 * time.Millisecond
	updateWorkers = 8
)

// NewTracker returns a tracker that hands the loads it is told to learn.
func NewTracker(learn func(*policy.Load)) *Tracker {
	return &Tracker{
		fresh: make(map[*Running]bool), gone: make(map[string][]box.GenerationProgress), learn: learn, running: make(map[string]*Running), wake: make(chan struct{}, 1),
	}
}

// First says that a generation has its first token: its prompt is read, and others may
// have theirs read.
func (t *Tracker) First(r *Running) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running[r.work.ID] != r {
		return
	}
	t.fresh[r] = true
	t.signal()
}

// Finish says that a generation holds nothing any more; ended tells whether it
// reached its own end.
func (t *Tracker) Finish(r *Running, ended bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running[r.work.ID] != r {
		return
	}
	delete(t.running, r.work.ID)
	t.gone[r.upstream] = append(t.gone[r.upstream], box.GenerationProgress{Ended: ended, Released: true, ID: r.work.ID, Produced: int(r.Produced.Load())})
	t.signal()
}

// Held returns how many generations this box holds.
func (t *Tracker) Held() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.running)
}

// Run sends updates until the context ends: ended generations at once, running
// ones regularly.
func (t *Tracker) Run(ctx context.Context) {
	var g sync.WaitGroup
	updates := make(chan *box.ProgressReport)
	for range updateWorkers {
		g.Go(func() {
			for u := range updates {
				t.send(ctx, u)
			}
		})
	}
	k := time.NewTicker(updateEvery)
	defer k.Stop()
	for ctx.Err() == nil {
		all := false
		select {
		case <-ctx.Done():
		case <-k.C:
			all = true
		case <-t.wake:
		}
		for _, u := range t.collect(all) {
			updates <- u
		}
	}
	close(updates)
	g.Wait()
}

// Start begins to track a generation.
func (t *Tracker) Start(w *policy.Work, upstream string) *Running {
	r := &Running{upstream: upstream, work: *w}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[w.ID] = r
	return r
}

// collect returns the updates that are due, one an upstream.
func (t *Tracker) collect(all bool) map[string]*box.ProgressReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := make(map[string]*box.ProgressReport)
	at := func(n string) *box.ProgressReport {
		if m[n] == nil {
			m[n] = &box.ProgressReport{Upstream: n}
		}
		return m[n]
	}
	for n, l := range t.gone {
		at(n).Items = l
	}
	clear(t.gone)
	if !all {
		for r := range t.fresh {
			if t.running[r.work.ID] == r {
				u := at(r.upstream)
				u.Items = append(u.Items, box.GenerationProgress{ID: r.work.ID, Produced: int(r.Produced.Load())})
			}
		}
	}
	clear(t.fresh)
	if !all {
		return m
	}
	for id, r := range t.running {
		u := at(r.upstream)
		u.Items = append(u.Items, box.GenerationProgress{ID: id, Produced: int(r.Produced.Load())})
	}
	return m
}

// send sends an update, and again in full what the owner did not know of.
func (t *Tracker) send(ctx context.Context, u *box.ProgressReport) {
	ctx, cancel := context.WithTimeout(ctx, sendPeriod)
	defer cancel()
	r, err := t.Send(ctx, u)
	if err != nil {
		return
	}
	if r.Load != nil {
		t.learn(r.Load)
	}
	if a := t.inFull(r.Unknown); len(a) > 0 {
		_, _ = t.Send(ctx, &box.ProgressReport{Items: a, Upstream: u.Upstream})
	}
}

func (t *Tracker) inFull(ids []string) []box.GenerationProgress {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var l []box.GenerationProgress
	for _, id := range ids {
		if r := t.running[id]; r != nil {
			w := r.work
			l = append(l, box.GenerationProgress{ID: id, Produced: int(r.Produced.Load()), Work: &w})
		}
	}
	return l
}

// signal makes Run send what is new; the lock is held.
func (t *Tracker) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
