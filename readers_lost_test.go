//go:build !race || whole

package linetiller

import (
	"flag"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/linetiller/linetiller/internal/fake/routed"
)

// lossFleet is a fleet of boxes of which some are lost at one moment.
type lossFleet struct {
	*routedRegion
	version int // of the configuration
}

const (
	// lossBound is how long after its acknowledgement a change may be in force at a box that is in touch with the store:
	// half a second less than the two seconds that are promised.
	lossBound = 1500 * time.Millisecond
	// lossBeforeChange is the time between a loss of boxes and a change.
	lossBeforeChange = 20 * time.Millisecond
	// lossSettled is how long all boxes have been in touch with each other before a loss.
	lossSettled = 8 * time.Second
)

// withLossFleet runs f with halls of the given number of boxes, whose names are drawn.
func withLossFleet(t *testing.T, seed uint64, halls, boxes int, f func(t *testing.T, r *lossFleet, names []string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &lossFleet{routedRegion: &routedRegion{region: newRegion(t), upstreams: make(map[string]*routed.Engine)}, version: 1}
		defer r.close()
		r.configure(r.version, routedKey)
		r.startUpstream("i-a1")
		x := rand.New(rand.NewPCG(seed, uint64(halls*100+boxes)))
		var names []string
		for i := range halls * boxes {
			n := fmt.Sprintf("box-%c%d-%06d", "abc"[i%halls], i, x.IntN(1_000_000))
			names = append(names, n)
			r.startEntryBox(n)
		}
		time.Sleep(lossSettled)
		f(t, r, names)
	})
}

// powerOn restores the power of a box.
func (r *region) powerOn(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.poweredOff[name], r.paused[name] = false, false
}

// change writes a new version of the configuration, and returns how long it takes until it is in force at the last of the
// given boxes, or the bound that is waited for.
func (r *lossFleet) change(names []string) (slowest string, took time.Duration) {
	const waitFor = 6 * time.Second
	r.version++
	key := fmt.Sprint("key-", r.version)
	r.configure(r.version, key)
	began := time.Now()
	for left := slices.Clone(names); time.Since(began) < waitFor; time.Sleep(10 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(n string) bool { return r.boxes[n].view.WorkspaceByKey(key) != nil })
		if len(left) == 0 {
			return slowest, time.Since(began)
		}
		slowest = left[0]
	}
	return slowest, waitFor
}

// loss is a way in which boxes are lost and come back.
type loss struct {
	name         string
	begin, end   func(r *lossFleet, name string)
	inTouch      bool // the boxes themselves are in touch, and get the change as the others do
	beforeChange time.Duration
}

// losses are the ways in which boxes are lost.
var losses = []loss{
	{"without power", func(r *lossFleet, n string) { r.powerOff(n) }, func(r *lossFleet, n string) { r.powerOn(n) }, false, lossBeforeChange},
	{"killed", func(r *lossFleet, n string) { r.kill(n) }, func(r *lossFleet, n string) { r.startEntryBox(n) }, false, lossBeforeChange},
	{"not reached by others", func(r *lossFleet, n string) { r.setFlag(r.deaf, n, true) }, func(r *lossFleet, n string) { r.setFlag(r.deaf, n, false) }, true, lossBeforeChange},
	{"turned away by the store", func(r *lossFleet, n string) { r.setFlag(r.refusedBoxes, n, true) }, func(r *lossFleet, n string) { r.setFlag(r.refusedBoxes, n, false) }, true, 5 * time.Second},
}

// setFlag sets an entry of one of the region's maps.
func (r *region) setFlag(m map[string]bool, name string, on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m[name] = on
}

// playLoss has boxes lost, writes a change, and checks when it is in force at the others.
func (r *lossFleet) playLoss(x *loss, names, lost []string) {
	for _, n := range lost {
		x.begin(r, n)
	}
	time.Sleep(x.beforeChange)
	rest := slices.Clone(names)
	if !x.inTouch {
		rest = without(names, lost)
	}
	if slowest, took := r.change(rest); took > lossBound {
		r.t.Errorf("%d boxes, %v %s: in force at %s after %s, want at most %s", len(names), lost, x.name, slowest, took, lossBound)
	}
	for _, n := range lost {
		x.end(r, n)
	}
	time.Sleep(lossSettled)
}

// without returns the names that are not in left.
func without(names, left []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(left, n) })
}

// readers returns the boxes that other boxes of their hall get changes from.
func (r *lossFleet) readers(names []string) []string {
	var l []string
	for _, n := range names {
		if r.boxes[n].follower.ReadsStore() {
			l = append(l, n)
		}
	}
	return l
}

// lossSets is how many sets of boxes TestChangeWhileReadersAreLost draws for each hall; it plays all if there are no more.
var lossSets = flag.Int("loss-sets", 6, "sets of boxes that are lost, for each hall and kind of loss")

// drawSets returns sets of up to half of the names.
func drawSets(names []string, seed uint64) (l [][]string) {
	x := rand.New(rand.NewPCG(seed, uint64(len(names))))
	all := 1 << len(names)
	for i := range min(all, *lossSets) {
		set := i
		if all > *lossSets {
			set = x.IntN(all)
		}
		if n := bits.OnesCount(uint(set)); n > 0 && n <= len(names)/2 {
			l = append(l, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return set&(1<<slices.Index(names, n)) == 0 }))
		}
	}
	return l
}

// TestChangeWhileReadersAreLost guards against boxes that go on by an old configuration because each waits for another one
// that is lost: of every hall of two to nine boxes, sets of up to half of the boxes are lost just before a change.
func TestChangeWhileReadersAreLost(t *testing.T) {
	for boxes := 2; boxes <= 9; boxes++ {
		for i := range losses {
			t.Run(fmt.Sprint(boxes, " ", losses[i].name), func(t *testing.T) {
				withLossFleet(t, 1, 1, boxes, func(_ *testing.T, r *lossFleet, names []string) {
					if l := r.readers(names); len(l) <= boxes/2 {
						r.playLoss(&losses[i], names, l)
					}
					for _, l := range drawSets(names, uint64(i)) {
						r.playLoss(&losses[i], names, l)
					}
				})
			})
		}
	}
}

// TestChangeWhileASecondSetIsLost has other boxes lost just as the first ones are back, before these are settled.
func TestChangeWhileASecondSetIsLost(t *testing.T) {
	for _, boxes := range []int{4, 6, 9} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			withLossFleet(t, 5, 1, boxes, func(t *testing.T, r *lossFleet, names []string) {
				for _, first := range drawSets(names, 6) {
					second := without(names, first)[:boxes/2]
					for _, n := range first {
						r.powerOff(n)
					}
					time.Sleep(lossSettled)
					for _, n := range first {
						r.powerOn(n)
					}
					for _, n := range second {
						r.powerOff(n)
					}
					time.Sleep(lossBeforeChange)
					settled := without(without(names, first), second)
					if slowest, took := r.change(settled); took > lossBound {
						t.Errorf("%v lost after %v: in force at %s after %s, want at most %s", second, first, slowest, took, lossBound)
					}
					for _, n := range second {
						r.powerOn(n)
					}
					time.Sleep(lossSettled)
				}
			})
		})
	}
}

// TestChangeWhileReadersOfAllHallsAreLost is TestChangeWhileReadersAreLost for two and three halls: the boxes that read for
// each hall are lost, alone and with others.
func TestChangeWhileReadersOfAllHallsAreLost(t *testing.T) {
	for _, c := range []struct{ halls, boxes int }{{2, 3}, {2, 5}, {2, 8}, {3, 3}, {3, 4}, {3, 6}} {
		t.Run(fmt.Sprint(c.halls, "x", c.boxes), func(t *testing.T) {
			withLossFleet(t, 3, c.halls, c.boxes, func(_ *testing.T, r *lossFleet, names []string) {
				byHall := make(map[string][]string)
				for _, n := range names {
					byHall[n[4:5]] = append(byHall[n[4:5]], n)
				}
				var first, firstTwo []string
				for _, h := range "abc"[:c.halls] {
					l := r.boxes[names[0]].follower.ReadersOf(string(h))
					first, firstTwo = append(first, l[0]), append(firstTwo, l...)
				}
				r.playLoss(&losses[0], names, first)
				if len(firstTwo) <= len(names)/2 {
					r.playLoss(&losses[0], names, firstTwo)
				}
				x := rand.New(rand.NewPCG(4, uint64(c.halls*100+c.boxes)))
				for range 6 {
					l := slices.Clone(names)
					x.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
					r.playLoss(&losses[0], names, l[:1+x.IntN(len(l)/2)])
				}
			})
		})
	}
}

// TestLostReadersCauseNoHerd checks that the boxes of a large hall do not all read the store when its readers are lost.
func TestLostReadersCauseNoHerd(t *testing.T) {
	const boxes = 60
	withLossFleet(t, 8, 1, boxes, func(t *testing.T, r *lossFleet, names []string) {
		for _, n := range r.readers(names) {
			r.powerOff(n)
		}
		if got, maxWant := r.storeCallsDuring(5*time.Second), boxes; got > maxWant {
			t.Errorf("calls to the store within 5 s: got %d, want at most one for each of the %d boxes", got, maxWant)
		}
	})
}
