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

// fault is a kind of fault. The function inject starts one and returns a function that ends it, or nil
// if there is nothing to end.
type fault struct {
	name   string
	inject func(w *cluster, r *rand.Rand) (end func(), err error)
}

// faults are all kinds, in order of name.
var faults = []fault{
	{"answers spoilt", corruptAnswers},
	{"answers spoilt again", corruptAnswers}, // listed twice to be drawn twice as often
	{"box killed", killBox},
	{"box paused", pauseBox},
	{"box stopped", stopBox},
	{"configuration changed", func(w *cluster, _ *rand.Rand) (func(), error) {
		w.configure()
		return nil, nil
	}},
	{"connections of callers reset", func(w *cluster, r *rand.Rand) (func(), error) {
		w.boxes[r.IntN(len(w.boxes))].entryProxy.resetConnections()
		return nil, nil
	}},
	{"every box started while the store is away", startWithoutStore},
	{"engine crashed", func(w *cluster, r *rand.Rand) (func(), error) { return replaceUpstream(w, r, 0) }},
	{"engine given notice", func(w *cluster, r *rand.Rand) (func(), error) { return replaceUpstream(w, r, time.Second) }},
	{"link to an upstream bad", func(w *cluster, r *rand.Rand) (func(), error) { return proxyFault(pickUpstream(w, r, "").proxy, r) }},
	{"link to the store bad", func(w *cluster, r *rand.Rand) (func(), error) {
		return proxyFault(w.boxes[r.IntN(len(w.boxes))].storeProxy, r)
	}},
	{"store bad", storeFault},
}

// killBox kills a box and restarts it.
func killBox(w *cluster, r *rand.Rand) (func(), error) {
	b := w.boxes[r.IntN(len(w.boxes))]
	p := b.takeProcess()
	if p == nil {
		return nil, nil
	}
	p.Kill()
	return func() { w.restart(b) }, nil
}

// pauseBox suspends a box's process for a while.
func pauseBox(w *cluster, r *rand.Rand) (func(), error) {
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
	b.disturbedAt = append(b.disturbedAt, time.Now())
	return func() {
		b.recordDisturbance()
		_ = p.Signal(syscall.SIGCONT) // an error means that it was killed meanwhile
	}, nil
}

// stopBox stops a box gracefully and restarts it.
func stopBox(w *cluster, r *rand.Rand) (func(), error) {
	b := w.boxes[r.IntN(len(w.boxes))]
	p := b.takeProcess()
	if p == nil {
		return nil, nil
	}
	p.Stop()
	return func() { w.restart(b) }, nil
}

// replace ends an upstream and returns a function that starts another one of its service in its
// hall.
func (w *cluster) replace(u *soakUpstream) (start func()) {
	w.removeUpstream(u)
	w.mutex.Lock()
	w.sequence++
	name := fmt.Sprintf("%s%d", u.name[:3], 100+w.sequence)
	w.mutex.Unlock()
	return func() {
		if err := w.startUpstream(name, u.service); err != nil {
			w.addHarnessError(err)
		}
	}
}

// takeProcess detaches and returns a box's process, so that no other fault uses it, and resumes it if it
// was paused. It returns nil if another fault has detached it.
func (b *soakBox) takeProcess() *process.Process {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.process
	b.process = nil
	b.disturbedAt = append(b.disturbedAt, time.Now())
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // an error means that it has ended
	}
	return p
}

// pickUpstream returns a random upstream of a service, or of any if the service is "".
func pickUpstream(w *cluster, r *rand.Rand, service string) *soakUpstream {
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

// startWithoutStore kills every box and restarts them while the store refuses all calls. The boxes
// have no configuration then, and must not refuse any request with a permanent error.
func startWithoutStore(w *cluster, _ *rand.Rand) (func(), error) {
	w.setStoreFaults(fakeplatform.Faults{Down: true})
	var g sync.WaitGroup
	for _, b := range w.boxes {
		if p := b.takeProcess(); p != nil {
			p.Kill()
			g.Go(func() { w.restart(b) })
		}
	}
	g.Wait()
	return func() { w.setStoreFaults(fakeplatform.Faults{}) }, nil
}

// proxyFault delays a proxy's data, withholds it in one or both directions, or resets the
// connections.
func proxyFault(p *proxy, r *rand.Rand) (func(), error) {
	m := []proxyMode{modeDelay, modeOneWay, modeBlackhole, modePass}[r.IntN(4)]
	if m == modePass {
		p.resetConnections()
		return nil, nil
	}
	p.setMode(m)
	return func() {
		p.setMode(modePass)
		p.resetConnections() // so that data withheld by the fault does not arrive late
	}, nil
}

// replaceUpstream ends an engine and later starts another one in its hall. If notice is not 0, the engine
// announces its end this long before.
func replaceUpstream(w *cluster, r *rand.Rand, notice time.Duration) (func(), error) {
	if len(w.liveUpstreams()) <= engineCount+serviceCount-2 {
		return nil, nil // more than one upstream is missing already
	}
	u := pickUpstream(w, r, serviceLLM)
	if notice > 0 {
		w.leave(u)
		w.publishUpstream(u, "draining")
		time.Sleep(notice)
	}
	return w.replace(u), nil
}

// restart starts a box again.
func (w *cluster) restart(b *soakBox) {
	if err := w.startBox(b); err != nil {
		w.addHarnessError(err)
	}
}

// corruptAnswers makes about half of the upstreams misbehave, each in a random way.
func corruptAnswers(w *cluster, r *rand.Rand) (func(), error) {
	variants := []routed.Faults{
		{CutAfter: 20}, {SkipEvent: true}, {StallAfter: 15}, {BadEventID: true}, {WrongRequestID: true}, {RefuseStatus: 503}, {Status: 500}, {OmitStamp: true}, {RefuseStatus: 429}, {CopyStatus: 503}, {LoseCopyAnswers: true},
	}
	var faulty []*soakUpstream
	for range (engineCount + serviceCount) / 2 {
		u := pickUpstream(w, r, "")
		u.engine.SetFaults(variants[r.IntN(len(variants))])
		faulty = append(faulty, u)
	}
	return func() {
		for _, u := range faulty {
			u.engine.SetFaults(routed.Faults{})
		}
	}, nil
}

// storeFault makes the store refuse calls, answer late, lose answers or drop its history.
func storeFault(w *cluster, r *rand.Rand) (func(), error) {
	switch r.IntN(4) {
	case 0:
		w.setStoreFaults(fakeplatform.Faults{Down: true})
	case 1:
		w.setStoreFaults(fakeplatform.Faults{DelayMilliseconds: 400})
	case 2:
		w.setStoreFaults(fakeplatform.Faults{LateMilliseconds: 1500, LoseAnswers: 3})
	default:
		w.platform.CompactHistory()
	}
	return func() { w.setStoreFaults(fakeplatform.Faults{}) }, nil
}
