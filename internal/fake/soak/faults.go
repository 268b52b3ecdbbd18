package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/fake/routed"
	"github.com/linetiller/linetiller/internal/process"
)

// fault is one kind of fault. It strikes and, after a while, ends.
type fault struct {
	name   string
	strike func(w *world, r *rand.Rand) (end func(), err error)
}

// faults are all kinds, in order of name.
var faults = []fault{
	{"answers spoilt", spoilAnswers},
	{"answers spoilt again", spoilAnswers}, // drawn twice as often
	{"box killed", killBox},
	{"box paused", pauseBox},
	{"box stopped", stopBox},
	{"configuration changed", func(w *world, _ *rand.Rand) (func(), error) {
		w.configure()
		return nil, nil
	}},
	{"connections of callers reset", func(w *world, r *rand.Rand) (func(), error) {
		w.boxes[r.IntN(len(w.boxes))].entry.reset()
		return nil, nil
	}},
	{"every box started while the store is away", startWithoutStore},
	{"engine crashed", func(w *world, r *rand.Rand) (func(), error) { return replaceUpstream(w, r, 0) }},
	{"engine given notice", func(w *world, r *rand.Rand) (func(), error) { return replaceUpstream(w, r, time.Second) }},
	{"link to an upstream bad", func(w *world, r *rand.Rand) (func(), error) { return proxyFault(pickUpstream(w, r, "").proxy, r) }},
	{"link to the store bad", func(w *world, r *rand.Rand) (func(), error) {
		return proxyFault(w.boxes[r.IntN(len(w.boxes))].store, r)
	}},
	{"store bad", storeFault},
}

// killBox kills a box and starts it again.
func killBox(w *world, r *rand.Rand) (func(), error) {
	b := w.boxes[r.IntN(len(w.boxes))]
	p := b.take()
	if p == nil {
		return nil, nil
	}
	p.Kill()
	return func() { w.restart(b) }, nil
}

// pauseBox stops a box's clock for a while.
func pauseBox(w *world, r *rand.Rand) (func(), error) {
	b := w.boxes[r.IntN(len(w.boxes))]
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.process
	if p == nil {
		return nil, nil
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	b.disturbed = append(b.disturbed, time.Now())
	return func() {
		b.disturb()
		_ = p.Signal(syscall.SIGCONT) // it may have been killed meanwhile
	}, nil
}

// stopBox asks a box to stop, which cuts off nothing, and starts it again.
func stopBox(w *world, r *rand.Rand) (func(), error) {
	b := w.boxes[r.IntN(len(w.boxes))]
	p := b.take()
	if p == nil {
		return nil, nil
	}
	p.Stop()
	return func() { w.restart(b) }, nil
}

// restart starts a box again.
func (w *world) restart(b *soakBox) {
	if err := w.startBox(b); err != nil {
		w.note(err)
	}
}

// take takes a box's process away from other faults, running on where it was paused;
// it returns nil where another fault has it.
func (b *soakBox) take() *process.Process {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.process
	b.process = nil
	b.disturbed = append(b.disturbed, time.Now())
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // it may have ended by itself
	}
	return p
}

// pickUpstream returns an upstream of a service, or of any.
func pickUpstream(w *world, r *rand.Rand, service string) *soakUpstream {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var names []string
	for _, h := range w.halls {
		for n := range 1000 {
			for _, kind := range []string{"i", "s"} {
				name := fmt.Sprintf("%s-%c%d", kind, h, n)
				if u := w.upstreams[name]; u != nil && (service == "" || u.service == service) {
					names = append(names, name)
				}
			}
		}
	}
	return w.upstreams[names[r.IntN(len(names))]]
}

// startWithoutStore kills every box and starts them again while the store refuses: they
// know no configuration then, and may refuse nothing for good.
func startWithoutStore(w *world, _ *rand.Rand) (func(), error) {
	w.setStore(fakeplatform.Faults{Down: true})
	var g sync.WaitGroup
	for _, b := range w.boxes {
		if p := b.take(); p != nil {
			p.Kill()
			g.Go(func() { w.restart(b) })
		}
	}
	g.Wait()
	return func() { w.setStore(fakeplatform.Faults{}) }, nil
}

// proxyFault delays, silences, halves or resets a proxy's connections.
func proxyFault(p *proxy, r *rand.Rand) (func(), error) {
	m := []proxyMode{modeDelay, modeOneWay, modeSilent, modePass}[r.IntN(4)]
	if m == modePass {
		p.reset()
		return nil, nil
	}
	p.set(m)
	return func() {
		p.set(modePass)
		p.reset() // what a cut has held back does not come later
	}, nil
}

// replaceUpstream ends an engine, after a notice where there is one, and starts
// another one in its hall.
func replaceUpstream(w *world, r *rand.Rand, notice time.Duration) (func(), error) {
	if len(w.all()) <= enginesCount+servicesEach-2 {
		return nil, nil // enough are gone
	}
	u := pickUpstream(w, r, serviceLLM)
	if notice > 0 {
		w.leave(u)
		w.list(u, "draining")
		time.Sleep(notice)
	}
	return w.replace(u), nil
}

// replace ends an upstream, and returns what starts another one of its service in its hall.
func (w *world) replace(u *soakUpstream) (start func()) {
	w.loseUpstream(u)
	w.mutex.Lock()
	w.version++
	name := fmt.Sprintf("%s%d", u.name[:3], 100+w.version)
	w.mutex.Unlock()
	return func() {
		if err := w.startUpstream(name, u.service); err != nil {
			w.note(err)
		}
	}
}

// spoilAnswers makes about half of the upstreams misbehave, each in a way of its own.
func spoilAnswers(w *world, r *rand.Rand) (func(), error) {
	ways := []routed.Faults{
		{BreakAfter: 20}, {Gap: true}, {MuteAfter: 15}, {Spoil: true}, {OtherEcho: true}, {Refuse: 503}, {Status: 500}, {Unsigned: true}, {Refuse: 429}, {FailCopies: 503}, {LoseCopies: true},
	}
	var spoilt []*soakUpstream
	for range (enginesCount + servicesEach) / 2 {
		u := pickUpstream(w, r, "")
		u.engine.SetFaults(ways[r.IntN(len(ways))])
		spoilt = append(spoilt, u)
	}
	return func() {
		for _, u := range spoilt {
			u.engine.SetFaults(routed.Faults{})
		}
	}, nil
}

// storeFault makes the store refuse, answer late, lose answers or forget its history.
func storeFault(w *world, r *rand.Rand) (func(), error) {
	switch r.IntN(4) {
	case 0:
		w.setStore(fakeplatform.Faults{Down: true})
	case 1:
		w.setStore(fakeplatform.Faults{DelayMilliseconds: 400})
	case 2:
		w.setStore(fakeplatform.Faults{LateMilliseconds: 1500, LoseAnswers: 3})
	default:
		w.platform.ForgetHistory()
	}
	return func() { w.setStore(fakeplatform.Faults{}) }, nil
}
