package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The users' bounds.
const (
	applyBound    = 2 * time.Second        // from the acknowledgement of a configuration until boxes in touch go by it
	rollbackBound = 250 * time.Millisecond // after which a box that has gone by a configuration may not go by an older one
)

// change is a version of the configuration as its operator wrote it.
type change struct {
	acknowledgedAt time.Time
	version        int
	writtenAt      time.Time
}

// listedDrain is a word of the platform's list that an upstream leaves.
type listedDrain struct {
	acknowledgedAt time.Time
	upstream       *soakUpstream
}

// probe is a question to one box for the route that one version of the configuration has.
type probe struct {
	answeredAt time.Time
	box        string
	known      bool // the box knew the route
	sentAt     time.Time
	version    int
}

// changeChecker tells from what was written, asked and answered whether boxes went by the newest
// configuration in time. It knows nothing of what was done to them but by its functions.
type changeChecker struct {
	changes     []change // in the order of their writing
	faultFree   func(box string, from, to time.Time) bool
	undisturbed func(box string, from, to time.Time) bool
	probes      []probe
}

// violations returns what broke the rules, and how many answers were judged.
func (j *changeChecker) violations() (l []string, checked int) {
	for i := range j.probes {
		x, ok := j.checkProbe(&j.probes[i])
		if ok {
			checked++
		}
		if x != "" {
			l = append(l, x)
		}
	}
	return append(l, j.rollbacks()...), checked
}

// applyDelays returns, for each version and box in touch, how long after the acknowledgement
// the first answer by that version had been asked for.
func (j *changeChecker) applyDelays() []time.Duration {
	type key struct {
		box     string
		version int
	}
	first := make(map[key]time.Duration)
	for _, p := range j.probes {
		c, _ := j.changeOf(p.version)
		d := p.sentAt.Sub(c.acknowledgedAt)
		k := key{p.box, p.version}
		if known, ok := first[k]; p.known && (!ok || d < known) && j.faultFree(p.box, c.writtenAt.Add(-contactBound), p.answeredAt) {
			first[k] = d
		}
	}
	var l []time.Duration
	for _, d := range first {
		l = append(l, max(0, d))
	}
	slices.Sort(l)
	return l
}

// changeOf returns a version's writing, and the next version's; it is zero where there is none.
func (j *changeChecker) changeOf(version int) (c, next change) {
	for i, x := range j.changes {
		if x.version != version {
			continue
		}
		if i+1 < len(j.changes) {
			next = j.changes[i+1]
		}
		return x, next
	}
	return change{}, change{}
}

// checkProbe tells what is wrong with one answer, and whether it could be judged: whether a box in
// touch knows a route later than the bound, or still knows one that the next version lacks.
func (j *changeChecker) checkProbe(p *probe) (wrong string, checked bool) {
	c, next := j.changeOf(p.version)
	if !j.faultFree(p.box, p.sentAt.Add(-contactBound), p.answeredAt) {
		return "", false
	}
	newest := next.writtenAt.IsZero() || p.answeredAt.Before(next.writtenAt)
	if d := p.sentAt.Sub(c.acknowledgedAt); newest && d > applyBound {
		if !p.known {
			wrong = fmt.Sprintf("%s did not go by version %d %s after its acknowledgement", p.box, p.version, d.Round(time.Millisecond))
		}
		return wrong, true
	}
	if d := p.sentAt.Sub(next.acknowledgedAt); !newest && d > applyBound {
		if p.known {
			wrong = fmt.Sprintf("%s went by version %d %s after the acknowledgement of version %d", p.box, p.version, d.Round(time.Millisecond), next.version)
		}
		return wrong, true
	}
	return "", false
}

// rollbacks returns which boxes went by an older version after a newer one, within one life.
func (j *changeChecker) rollbacks() []string {
	var l []string
	known := make(map[string]probe) // by box: the answer by the newest version
	ordered := slices.SortedStableFunc(slices.Values(j.probes), func(a, b probe) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	for _, p := range ordered {
		k, ok := known[p.box]
		_, next := j.changeOf(p.version)
		newest := next.writtenAt.IsZero() || p.answeredAt.Before(next.writtenAt)
		if ok && !p.known && newest && k.version == p.version && p.sentAt.Sub(k.answeredAt) > rollbackBound && j.undisturbed(p.box, k.sentAt, p.answeredAt) {
			l = append(l, fmt.Sprintf("%s went back from version %d %s after it had gone by it", p.box, p.version, p.sentAt.Sub(k.answeredAt).Round(time.Millisecond)))
		}
		if p.known && (!ok || p.version > k.version) {
			known[p.box] = p
		}
	}
	return l
}
