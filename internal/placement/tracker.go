package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/policy"
)

// Tracker reports to the owners of upstreams the progress of the generations that this box
// relays. It is safe for concurrent use.
type Tracker struct {
	// Send sends a progress report to the owner of its upstream. It must be set before Run.
	Send func(ctx context.Context, u *box.ProgressReport) (*box.Reply, error)

	firstTokens map[*Generation]bool                // that got their first token since the last report
	finished    map[string][]box.GenerationProgress // by upstream: generations that ended since the last report
	recordLoad  func(*policy.Load)
	mutex       sync.Mutex // no other lock is taken while it is held
	running     map[string]*Generation
	wake        chan struct{}
}

// Generation is a running generation that this box relays.
type Generation struct {
	Produced atomic.Int64 // tokens so far

	upstream string
	work     policy.Work
}

const (
	progressTimeout  = 2 * time.Second        // of one report, including the second one for unknown generations
	progressInterval = 500 * time.Millisecond // between reports of all running generations
	progressWorkers  = 8                      // reports sent concurrently
)

// NewTracker returns a tracker that passes the loads in the replies of owners to recordLoad.
func NewTracker(recordLoad func(*policy.Load)) *Tracker {
	return &Tracker{
		firstTokens: make(map[*Generation]bool), finished: make(map[string][]box.GenerationProgress), recordLoad: recordLoad, running: make(map[string]*Generation), wake: make(chan struct{}, 1),
	}
}

// Count returns the number of generations that this box relays.
func (t *Tracker) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.running)
}

// Finish stops tracking a generation, which no longer uses its upstream; ended says whether it
// completed, as opposed to being cut off.
func (t *Tracker) Finish(r *Generation, ended bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running[r.work.ID] != r {
		return
	}
	delete(t.running, r.work.ID)
	t.finished[r.upstream] = append(t.finished[r.upstream], box.GenerationProgress{Ended: ended, Released: true, ID: r.work.ID, Produced: int(r.Produced.Load())})
	t.wakeRun()
}

// RecordFirstToken records that a generation has its first token. The owner is notified at
// once: the prompt has been prefilled, so that the upstream can prefill others.
func (t *Tracker) RecordFirstToken(r *Generation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running[r.work.ID] != r {
		return
	}
	t.firstTokens[r] = true
	t.wakeRun()
}

// Run sends progress reports until the context ends: first tokens and ended generations at
// once, all running generations every progressInterval.
func (t *Tracker) Run(ctx context.Context) {
	var g sync.WaitGroup
	reports := make(chan *box.ProgressReport)
	for range progressWorkers {
		g.Go(func() {
			for u := range reports {
				t.send(ctx, u)
			}
		})
	}
	k := time.NewTicker(progressInterval)
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
			reports <- u
		}
	}
	close(reports)
	g.Wait()
}

// Start begins tracking a generation of w at an upstream.
func (t *Tracker) Start(w *policy.Work, upstream string) *Generation {
	r := &Generation{upstream: upstream, work: *w}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[w.ID] = r
	return r
}

// collect returns the progress reports that are due, by upstream; all includes every running
// generation.
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
	for n, l := range t.finished {
		at(n).Items = l
	}
	clear(t.finished)
	if !all {
		for r := range t.firstTokens {
			if t.running[r.work.ID] == r {
				u := at(r.upstream)
				u.Items = append(u.Items, box.GenerationProgress{ID: r.work.ID, Produced: int(r.Produced.Load())})
			}
		}
	}
	clear(t.firstTokens)
	if !all {
		return m
	}
	for id, r := range t.running {
		u := at(r.upstream)
		u.Items = append(u.Items, box.GenerationProgress{ID: id, Produced: int(r.Produced.Load())})
	}
	return m
}

// fullItems returns items that contain the full work of those of the generations that are still
// running.
func (t *Tracker) fullItems(ids []string) []box.GenerationProgress {
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

// send sends a progress report, and a second one with the full work of the generations that the
// owner did not know.
func (t *Tracker) send(ctx context.Context, u *box.ProgressReport) {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	r, err := t.Send(ctx, u)
	if err != nil {
		return
	}
	if r.Load != nil {
		t.recordLoad(r.Load)
	}
	if a := t.fullItems(r.UnknownIDs); len(a) > 0 {
		_, _ = t.Send(ctx, &box.ProgressReport{Items: a, Upstream: u.Upstream})
	}
}

// wakeRun makes Run send pending reports. The caller holds the mutex.
func (t *Tracker) wakeRun() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
