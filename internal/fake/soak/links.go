package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	linksRNGStream   = 1<<20 + 10              // stream of the random generator, distinct from the others
	linkCutInterval  = time.Second             // between two cuts, at least
	linkCutDuration  = 4 * time.Second         // of a cut
	linkCutSettles   = 1500 * time.Millisecond // after the beginning of a cut, before first tries are compared
	linkTryInterval  = 50 * time.Millisecond   // between two tries, each at all boxes
	linkTryTimeout   = 3 * time.Second
	unassignedSource = "192.0.2.1" // reserved for documentation, so that no connection can be opened from it
)

// tries counts first tries and those of them that were served.
type tries struct{ sent, served int }

// linkCut is a time in which some boxes are cut off from all upstreams.
type linkCut struct {
	boxes map[*soakBox]bool

	mutex  sync.Mutex // guards rounds
	rounds map[int]*tryRound
}

// tryRound counts the tries that were sent to all boxes at once.
type tryRound struct{ affected, others tries }

// runLinkCuts repeats until the context ends: it cuts one box, one of each hall, a hall or all boxes but one
// off from all upstreams for a while, and checks that first tries are served there as at the others.
func (c *callers) runLinkCuts(ctx context.Context, r *rand.Rand) {
	for n := 0; ; n++ {
		pause(ctx, linkCutInterval+time.Duration(r.Int64N(int64(linkCutInterval))))
		x := &linkCut{boxes: c.cluster.drawLinkCut(r), rounds: make(map[int]*tryRound)}
		x.setLinks(c.cluster, unassignedSource)
		pause(ctx, linkCutSettles)
		if ctx.Err() == nil {
			c.tryAll(ctx, x, fmt.Sprint("link-", n))
			c.linkCuts = append(c.linkCuts, x)
		}
		x.setLinks(c.cluster, "")
		if ctx.Err() != nil {
			return
		}
	}
}

// drawLinkCut draws the boxes that lose their links.
func (w *cluster) drawLinkCut(r *rand.Rand) map[*soakBox]bool {
	first, kind := r.IntN(len(w.boxes)), r.IntN(4)
	m := make(map[*soakBox]bool)
	for i, b := range w.boxes {
		hall, firstHall := b.name[4], w.boxes[first].name[4]
		switch kind {
		case 0:
			m[b] = i == first // one box
		case 1:
			m[b] = i < len(w.halls) // one box of each hall
		case 2:
			m[b] = hall == firstHall
		default:
			m[b] = i != first
		}
	}
	return m
}

// setLinks sets the source of the connections to upstreams of the boxes that are cut off.
func (x *linkCut) setLinks(w *cluster, source string) {
	for b, affected := range x.boxes {
		if !affected {
			continue
		}
		if err := b.writeSettings(source); err != nil {
			w.addHarnessError(err)
		}
		b.mutex.Lock()
		if b.process != nil {
			_ = b.process.Signal(syscall.SIGHUP) // an error means that it has ended
		}
		b.mutex.Unlock()
	}
}

// isRunning reports whether the box's process runs: it was not killed or stopped, or is up again.
func (b *soakBox) isRunning() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.process != nil
}

// writeSettings writes the box's settings file, with the source of connections to upstreams if it is not "":
// earlier versions do not know that setting.
func (b *soakBox) writeSettings(source string) error {
	text := b.settingsText
	if source != "" {
		text = fmt.Sprintf("upstream_source = %q\n", source) + text
	}
	return os.WriteFile(b.settings, []byte(text), 0o600)
}

// tryAll sends requests to all boxes until the cut ends, and counts those at boxes without other faults.
func (c *callers) tryAll(ctx context.Context, x *linkCut, id string) {
	var g sync.WaitGroup
	for i, began := 0, time.Now(); time.Since(began) < linkCutDuration-linkCutSettles && ctx.Err() == nil; i++ {
		for b := range x.boxes {
			s := &callerRequest{id: fmt.Sprintf("%s-%s-%d", id, b.name, i), method: http.MethodGet, path: oftenPath}
			g.Go(func() {
				served, sentAt := c.tryOnce(b, s)
				x.count(c, i, b, served, sentAt)
			})
		}
		pause(ctx, linkTryInterval)
	}
	g.Wait()
}

// tryOnce sends one request to a box, and reports whether it was served and when it was sent.
func (c *callers) tryOnce(b *soakBox, s *callerRequest) (served bool, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), linkTryTimeout)
	defer cancel()
	sentAt = time.Now()
	return c.call(ctx, b, s), sentAt
}

// count counts a try, unless its box was down or disturbed or its proxies were faulty around that time.
func (x *linkCut) count(c *callers, round int, b *soakBox, served bool, sentAt time.Time) {
	if !b.isRunning() || !c.cluster.faultFree(b, sentAt.Add(-linkCutSettles), time.Now()) {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.rounds[round] == nil {
		x.rounds[round] = new(tryRound)
	}
	t := &x.rounds[round].others
	if x.boxes[b] {
		t = &x.rounds[round].affected
	}
	t.sent++
	if served {
		t.served++
	}
}

// sums returns the sums over the rounds in which a box with links served. In the others no upstream may have
// been up.
func (x *linkCut) sums() (affected, others tries) {
	for _, r := range x.rounds {
		if r.others.served > 0 {
			affected.add(r.affected)
			others.add(r.others)
		}
	}
	return affected, others
}

func (t *tries) add(o tries) {
	t.sent, t.served = t.sent+o.sent, t.served+o.served
}

// checkLinkCuts checks for each cut that first tries at boxes that were cut off were served at least two
// thirds as often as those at the others, unless few failed there. It prints the sums.
func (c *callers) checkLinkCuts(output io.Writer) {
	var affected, others tries
	for _, x := range c.linkCuts {
		a, o := x.sums()
		if a.served*3*o.sent < 2*o.served*a.sent && a.sent-a.served > 10+(a.sent+o.sent)/50 {
			c.addViolation("boxes that were cut off from all upstreams served %d of %d requests at the first try, the others %d of %d", a.served, a.sent, o.served, o.sent)
		}
		affected.add(a)
		others.add(o)
	}
	_, _ = fmt.Fprintf(output, "soak: %d cuts: %d of %d first tries served at the boxes cut off from all upstreams, %d of %d at the others\n", len(c.linkCuts), affected.served, affected.sent, others.served, others.sent)
}
