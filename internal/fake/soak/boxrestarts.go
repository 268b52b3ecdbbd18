package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

const (
	boxRestartsRNGStream = 1<<20 + 9   // stream of the random generator, distinct from the others
	boxRestartsLoad      = 1 << 20     // number of the load of the first series, distinct from others
	minBoxRestarts       = 3           // in one series
	maxBoxRestarts       = 8           // in one series
	maxBoxRestartPause   = time.Second // between two restarts of a series
	boxRestartsLeadTime  = time.Second // before the first restart, for the boxes to use their share of the retry budget
	// boxRestartsInterval is the time before each series. Only processes that have run for a whole
	// window use their full share of the retry budget.
	boxRestartsInterval = retryWindow + 500*time.Millisecond
)

// runBoxRestarts repeats until the context ends: after an interval, all upstreams reject requests or
// fail, and all boxes, or a random part of them, are killed and restarted several times.
func (c *callers) runBoxRestarts(ctx context.Context, r *rand.Rand) {
	w := c.cluster
	for n := 0; ; n++ {
		pause(ctx, boxRestartsInterval)
		if ctx.Err() != nil {
			return
		}
		f := []routed.Faults{{RefuseStatus: 503}, {Status: 500}, {Status: 500}}[r.IntN(3)]
		for _, u := range w.liveUpstreams() {
			u.engine.SetFaults(f)
		}
		loadCtx, stopLoad := context.WithCancel(ctx)
		var g sync.WaitGroup
		rng := rand.New(rand.NewPCG(r.Uint64(), 0))
		g.Go(func() { c.sendLoad(loadCtx, serviceDesk, boxRestartsLoad+n, rng) })
		pause(ctx, boxRestartsLeadTime)
		for range minBoxRestarts + r.IntN(maxBoxRestarts-minBoxRestarts+1) {
			pause(ctx, time.Duration(r.Int64N(int64(maxBoxRestartPause))))
			w.restartBoxes(r.IntN(3) > 0, r)
		}
		stopLoad()
		g.Wait()
		for _, u := range w.liveUpstreams() {
			u.engine.SetFaults(routed.Faults{})
		}
	}
}

// restartBoxes kills all boxes, or a random part of them, and restarts them.
func (w *cluster) restartBoxes(all bool, r *rand.Rand) {
	var g sync.WaitGroup
	for _, b := range w.boxes {
		if !all && r.IntN(2) == 0 {
			continue
		}
		if p := b.takeProcess(); p != nil {
			p.Kill()
			g.Go(func() { w.restart(b) })
		}
	}
	g.Wait()
}
