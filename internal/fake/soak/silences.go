package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	silencesRNGStream = 1<<20 + 12              // stream of the random generator, distinct from the others
	minSilence        = 300 * time.Millisecond  // length of a silence
	maxSilence        = 1900 * time.Millisecond // callers disconnect after 2 s
	maxSilencePause   = 2 * time.Second         // from the end of one silence to the begin of the next
	// silencesRetryExtra is the retryExtra of runs with silences: the budget is then often used up.
	silencesRetryExtra = 2
)

// silenceCounts counts the streams of callers that stayed until the end, at boxes that were not disturbed.
type silenceCounts struct{ whole, cut, failed, refused int }

// runSilences repeats until the context ends: all upstreams, or a random part of them, are silent for a while and then
// resume.
func (w *cluster) runSilences(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(r.Int64N(int64(maxSilencePause))))
		all := r.IntN(2) == 0
		length := minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence)))
		for _, u := range w.liveUpstreams() {
			if all || r.IntN(2) == 0 {
				u.engine.Pause(length)
			}
		}
		pause(ctx, length)
	}
}

// recordStream counts the outcome of a stream that was sent at a time. Streams are left out whose caller has left, whose
// box was disturbed meanwhile or is still being stopped since before, or that got no answer, as from a box that is down.
func (c *callers) recordStream(ctx context.Context, box *soakBox, s *callerRequest, sentAt time.Time, served bool) {
	if s.tokens == 0 || s.status == 0 || ctx.Err() != nil || !box.isRunning() || !box.undisturbed(sentAt, time.Now()) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case served:
		c.silenceCounts.whole++
	case s.status == http.StatusOK:
		c.silenceCounts.cut++
	case s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests:
		c.silenceCounts.refused++
	default:
		c.silenceCounts.failed++
	}
}

// checkSilences checks that no stream was cut off or failed while upstreams were silent.
func (c *callers) checkSilences(output io.Writer) {
	n := c.silenceCounts
	_, _ = fmt.Fprintf(output, "soak: streams while upstreams are silent: %d whole, %d cut, %d failed, %d refused\n", n.whole, n.cut, n.failed, n.refused)
	if n.cut > 0 || n.failed > 0 {
		c.addViolation("%d streams cut and %d failed, of %d, while the only fault of upstreams was to be silent", n.cut, n.failed, n.whole+n.cut+n.failed+n.refused)
	}
	if n.whole == 0 {
		c.addViolation("no stream was served while upstreams were silent")
	}
}
