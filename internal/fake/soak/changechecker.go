package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Required bounds.
const (
	applyBound    = 2 * time.Second        // from the acknowledgement of a configuration until boxes without faults apply it
	rollbackBound = 250 * time.Millisecond // after this, a box that has applied a configuration must not apply an older one
)

// change is a version of the configuration that was written.
type change struct {
	acknowledgedAt time.Time
	version        int
	writtenAt      time.Time
}

// listedDrain records that the store listed an upstream as leaving.
type listedDrain struct {
	acknowledgedAt time.Time
	upstream       *soakUpstream
}

// probe is a request to one box for the route that only one version of the configuration has.
type probe struct {
	answeredAt time.Time
	box        string
	routeKnown bool // the box knew the route
	sentAt     time.Time
	version    int
}

// changeChecker checks from the changes and the probes whether boxes applied the latest
// configuration in time. Injected faults and restarts are known to it only through faultFree and
// undisturbed.
type changeChecker struct {
	changes     []change                                  // in the order in which they were written
	faultFree   func(box string, from, to time.Time) bool // whether the box ran undisturbed and could reach the store
	undisturbed func(box string, from, to time.Time) bool // whether the box ran without a restart or a pause
	probes      []probe
}

// applyDelays returns, for each version and each box without faults, the time from the
// acknowledgement until the first probe was sent for which the box knew the version. The delays
// are sorted.
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
		if known, ok := first[k]; p.routeKnown && (!ok || d < known) && j.faultFree(p.box, c.writtenAt.Add(-propagationBound), p.answeredAt) {
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

// changeOf returns the change that wrote a version and the one after it, or zero values.
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

// checkProbe returns what is wrong with a probe, and whether it could be checked. It is wrong if a
// box without faults does not know the route of the latest version, or still knows that of a
// replaced one, later than applyBound after the acknowledgement.
func (j *changeChecker) checkProbe(p *probe) (wrong string, checked bool) {
	c, next := j.changeOf(p.version)
	if !j.faultFree(p.box, p.sentAt.Add(-propagationBound), p.answeredAt) {
		return "", false
	}
	newest := next.writtenAt.IsZero() || p.answeredAt.Before(next.writtenAt)
	if d := p.sentAt.Sub(c.acknowledgedAt); newest && d > applyBound {
		if !p.routeKnown {
			wrong = fmt.Sprintf("%s did not apply version %d %s after its acknowledgement", p.box, p.version, d.Round(time.Millisecond))
		}
		return wrong, true
	}
	if d := p.sentAt.Sub(next.acknowledgedAt); !newest && d > applyBound {
		if p.routeKnown {
			wrong = fmt.Sprintf("%s still applied version %d %s after the acknowledgement of version %d", p.box, p.version, d.Round(time.Millisecond), next.version)
		}
		return wrong, true
	}
	return "", false
}

// rollbacks describes where a box applied an older version after a newer one without having been
// disturbed in between.
func (j *changeChecker) rollbacks() []string {
	var l []string
	newestKnown := make(map[string]probe) // by box: the probe with the highest version that the box knew
	ordered := slices.SortedStableFunc(slices.Values(j.probes), func(a, b probe) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	for _, p := range ordered {
		k, ok := newestKnown[p.box]
		_, next := j.changeOf(p.version)
		newest := next.writtenAt.IsZero() || p.answeredAt.Before(next.writtenAt)
		if ok && !p.routeKnown && newest && k.version == p.version && p.sentAt.Sub(k.answeredAt) > rollbackBound && j.undisturbed(p.box, k.sentAt, p.answeredAt) {
			l = append(l, fmt.Sprintf("%s went back to a version before %d %s after it had applied it", p.box, p.version, p.sentAt.Sub(k.answeredAt).Round(time.Millisecond)))
		}
		if p.routeKnown && (!ok || p.version > k.version) {
			newestKnown[p.box] = p
		}
	}
	return l
}

// violations returns a description of each violation, and how many probes could be checked.
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
