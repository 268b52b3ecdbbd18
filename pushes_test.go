package linetiller

import (
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestPushesAreDelayedByOneIntervalAtMost guards against pushes that did not wait, because a new
// configuration was urgent, and that delay later ones for as long as they were many.
func TestPushesAreDelayedByOneIntervalAtMost(t *testing.T) {
	now := time.Now()
	p := newPushes(now)
	for i := range 100 {
		if got := p.take(now).Sub(now); got > pushInterval || (i < pushBurst && got > 0) {
			t.Fatalf("push %d: got a delay of %v, want none for the first %d, then at most %v", i, got, pushBurst, pushInterval)
		}
	}
	now = now.Add(time.Minute)
	for i := range pushBurst {
		if got := p.take(now).Sub(now); got > 0 {
			t.Errorf("push %d after a minute: got a delay of %v, want none", i, got)
		}
	}
}

// TestPushesGoToBoxesThatLackAChange guards against pushes to boxes that have a change already, and
// against a box that lacks one and gets none.
func TestPushesGoToBoxesThatLackAChange(t *testing.T) {
	p, now := newPushes(time.Now()), time.Now()
	r := resource.Revisions{resource.SourceConfiguration: 2, resource.SourceUpstreams: 7}
	p.recordKnown("same", resource.Revisions{resource.SourceConfiguration: 2, resource.SourceUpstreams: 7})
	p.recordKnown("ahead", resource.Revisions{resource.SourceConfiguration: 2, resource.SourceUpstreams: 9})
	p.recordKnown("behind", resource.Revisions{resource.SourceConfiguration: 2, resource.SourceUpstreams: 6})
	p.recordKnown("without", resource.Revisions{resource.SourceUpstreams: 7})
	p.recordInNeighbour(box.Member{Name: "behind"}, now)
	p.recordInNeighbour(box.Member{Name: "gone"}, now.Add(-time.Minute))
	l := p.withInNeighbours([]box.Member{{Name: "same"}, {Name: "ahead"}, {Name: "without"}, {Name: "unknown"}}, now.Add(-time.Second))
	var got []string
	for _, m := range p.lacking(l, r) {
		got = append(got, m.Name)
	}
	if want := []string{"without", "unknown", "behind"}; len(got) != 3 || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("got %v, want %v", got, want)
	}
	p.recordPush(r)
	if p.urgent(r) || !p.urgent(resource.Revisions{resource.SourceConfiguration: 3}) {
		t.Error("urgent: want only a configuration that was not pushed")
	}
}
