package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

const (
	partsRNGStream = 1<<20 + 11             // stream of the random generator, distinct from the others
	partTries      = 48                     // requests with one poison part
	partInterval   = 100 * time.Millisecond // minimum between two of them; a random part of up to the same length is added
	allowedCrashes = 5                      // crashes under one part before sends are counted
	maxLateSends   = 3                      // sends that may crash upstreams later than propagationBound after these
	minSoundSent   = 20                     // sound requests of one part's callers, for their refusals to be judged
)

// partPeriod describes the requests with one poison part, and the sound ones beside them that share the other
// parts of their prompts.
type partPeriod struct {
	number       int
	soundSent    int // at boxes that were undisturbed
	soundRefused int // of these, refused as quarantined
}

// runParts sends requests of which no two are alike and which share a part that crashes upstreams, and as many
// sound ones that share the other parts. It uses one poison part after another until the context ends.
func (c *callers) runParts(ctx context.Context, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		p := &partPeriod{number: n}
		var g sync.WaitGroup
		for try := 0; try < partTries && ctx.Err() == nil; try++ {
			poisonBox, soundBox, streams := c.pickBox(r), c.pickBox(r), r.IntN(2) == 0
			g.Go(func() { c.sendPart(ctx, p, poisonBox, try, true, streams) })
			g.Go(func() { c.sendPart(ctx, p, soundBox, try, false, streams) })
			time.Sleep(partInterval + time.Duration(r.Int64N(int64(partInterval))))
		}
		g.Wait()
		c.mutex.Lock()
		c.partPeriods = append(c.partPeriods, p)
		c.mutex.Unlock()
	}
}

// sendPart sends one request of a period, with its poison part or without, and records how a sound one ended.
func (c *callers) sendPart(ctx context.Context, p *partPeriod, box *soakBox, try int, poison, streams bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	id := fmt.Sprintf("sound-part-%d-%d", p.number, try)
	s := &callerRequest{path: oftenPath, method: http.MethodPost, parts: "5a1e:100,5b1e:50"}
	if poison {
		id = fmt.Sprintf("poison-part-%d-%d", p.number, try)
		s.parts += fmt.Sprintf(",%s%02x:50", routed.PoisonPartPrefix, p.number)
	}
	s.id, s.body = id, "body of "+id
	s.parts += "," + id + ":20"
	if streams {
		s.path, s.tokens = planPath, 80
	}
	sentAt := time.Now()
	served := c.call(ctx, box, s)
	if poison {
		if served {
			c.addViolation("%s: a request with a poison part was answered", id)
		}
		return
	}
	if !box.undisturbed(sentAt.Add(-propagationBound), time.Now()) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.soundSent++
	if s.quarantined {
		p.soundRefused++
	}
}

// checkParts checks, by the users' rules, that few requests with a poison part crash upstreams later than
// propagationBound after allowedCrashes, from boxes that were undisturbed for as long, and that half of the
// sound requests that share parts with them are not refused for that.
func (c *callers) checkParts(output io.Writer) {
	c.cluster.mutex.Lock()
	all := append([]crash(nil), c.cluster.crashes...)
	c.cluster.mutex.Unlock()
	crashes, late, sound, refused := 0, 0, 0, 0
	for _, p := range c.partPeriods {
		l := crashesOf(all, fmt.Sprintf("poison-part-%d-", p.number))
		n := 0
		for i := allowedCrashes; i < len(l); i++ {
			d := c.dispatchOf(l[i].request)
			if from := d.sentAt.Add(-propagationBound); from.After(l[allowedCrashes-1].at) && d.box.undisturbed(from, d.sentAt) {
				n++
			}
		}
		if n > maxLateSends {
			c.addViolation("poison part %d: %d requests reached upstreams later than %s after %d crashes; %d crashes", p.number, n, propagationBound, allowedCrashes, len(l))
		}
		if p.soundSent >= minSoundSent && 2*p.soundRefused > p.soundSent {
			c.addViolation("poison part %d: %d of %d sound requests refused as quarantined", p.number, p.soundRefused, p.soundSent)
		}
		crashes, late, sound, refused = crashes+len(l), late+n, sound+p.soundSent, refused+p.soundRefused
	}
	_, _ = fmt.Fprintf(output, "soak: %d poison parts, %d crashes under them, %d late; %d of %d sound requests refused as quarantined\n", len(c.partPeriods), crashes, late, refused, sound)
}

// crashesOf returns the crashes under requests whose ids begin with a prefix, in order.
func crashesOf(l []crash, prefix string) []crash {
	var found []crash
	for i := range l {
		if strings.HasPrefix(l[i].request, prefix) {
			found = append(found, l[i])
		}
	}
	return found
}
