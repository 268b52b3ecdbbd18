// The race detector itself fails now and then on whole boxes in virtual time
// (a segmentation fault in its runtime, with no goroutine of ours running), so
// make test runs these tests without it. The same parts run under it over
// loopback in promises_test.go.

//go:build !race

package linetiller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/fake/engine"
	"github.com/linetiller/linetiller/internal/fake/link"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

// region is halls of whole boxes, joined in memory, in virtual time.
type region struct {
	boxes    map[string]*Box
	cut      map[string]bool // halls cut off from all others and the platform
	done     sync.WaitGroup
	engines  map[string]*engine.Server
	frozen   map[string]bool // boxes whose calls hang
	hallOf   map[string]string
	link     *link.Link
	mutex    sync.Mutex // guards the maps
	platform *fakeplatform.Platform
	refused  map[string]bool // boxes that the platform's store turns away
	t        *testing.T
}

const virtualKey = "key"

// engineHosts are the engines' addresses; nothing listens there, the links are
// in memory.
var engineHosts = map[string]string{"engine-a": "127.0.1.1:1", "engine-b": "127.0.1.2:1"}

// withRegion runs f with two halls of two boxes and one engine each.
func withRegion(t *testing.T, f func(t *testing.T, r *region)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		defer r.close()
		for _, n := range []string{"engine-a", "engine-b"} {
			r.startEngine(n)
		}
		for _, n := range []string{"box-a1", "box-a2", "box-b1", "box-b2"} {
			r.startBox(n)
		}
		r.declare()
		time.Sleep(5 * time.Second)
		f(t, r)
	})
}

// newRegion returns a region without boxes and engines.
func newRegion(t *testing.T) *region {
	r := &region{
		boxes: make(map[string]*Box), cut: make(map[string]bool), engines: make(map[string]*engine.Server),
		frozen: make(map[string]bool), hallOf: map[string]string{"platform": "platform"}, link: link.New(), platform: fakeplatform.New(),
		refused: make(map[string]bool), t: t,
	}
	r.link.Join("platform", r.platform)
	return r
}

func (r *region) close() {
	for n := range r.boxes {
		r.kill(n)
	}
	r.done.Wait()
	for _, e := range r.engines {
		_ = e.Close()
	}
	time.Sleep(time.Minute)
}

func (r *region) declare() {
	r.apply("box-a1", resource.KindModel, "m", `{"maxTokens":4000}`)
	r.apply("box-a1", resource.KindWorkspace, "w", `{"keyHashes":["`+resource.HashKey(virtualKey)+`"]}`)
	for n := range r.engines {
		r.apply("box-a1", resource.KindUpstream, n, `{"address":"http://`+engineHosts[n]+`","hall":"`+n[len(n)-1:]+`","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine"}`)
	}
}

func (r *region) apply(at string, k resource.Kind, name, spec string) {
	r.t.Helper()
	o := operator.NewClient("http://"+at+"-operator", "", &http.Client{Transport: r.link})
	if _, err := o.Apply(r.t.Context(), &resource.Resource{Kind: k, Metadata: resource.Metadata{Name: name}, Spec: json.RawMessage(spec)}); err != nil {
		r.t.Fatal(err)
	}
}

// apart reports whether two places cannot reach each other.
func (r *region) apart(a, b string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x, y := r.hallOf[a], r.hallOf[b]
	return r.frozen[a] || r.frozen[b] || (x != y && (r.cut[x] || r.cut[y]))
}

func (r *region) cutHallB(on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut["b"] = on
}

func (r *region) setFrozen(name string, on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.frozen[name] = on
}

func (r *region) startEngine(name string) {
	e := engine.NewServer(engine.DefaultSettings(), 0)
	r.engines[name] = e
	r.hallOf[engineHosts[name]] = name[len(name)-1:]
	r.link.Join(engineHosts[name], e)
}

func (r *region) startBox(name string, change ...func(*settings.Settings)) {
	r.t.Helper()
	s := settings.Default()
	s.Box, s.Hall, s.Platform = name, name[4:5], "http://platform"
	s.BoxAddress, s.ClientAddress, s.OperatorAddress = name, name, name
	for _, c := range change {
		c(&s)
	}
	r.mutex.Lock()
	r.hallOf[name] = s.Hall
	r.mutex.Unlock()
	b, err := New(&s, func(b *Box) {
		b.connect = func() error {
			b.links = r.links(name)
			b.members.SetAddress(name)
			if b.settings.Entry != (settings.Entry{}) {
				b.entry = make([]served, 3)
			}
			return nil
		}
		b.engineTransport = &reach{from: name, region: r}
		b.platformTransport = &reach{from: name, region: r}
		b.routedTransport = &reach{from: name, region: r}
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.mutex.Lock()
	r.boxes[name] = b
	r.mutex.Unlock()
	r.link.Join(name, b.clientServer.Handler)
	r.link.Join(name+"-operator", b.operatorServer.Handler)
	r.done.Go(func() { _ = b.Serve(context.Background()) })
	synctest.Wait()
}

func (r *region) kill(name string) {
	r.mutex.Lock()
	b := r.boxes[name]
	delete(r.boxes, name)
	r.mutex.Unlock()
	r.link.Down(name, true)
	_ = b.Close()
}

// run asks boxes for a generation and returns how many tokens came.
func (r *region) run(key, prompt string, boxes ...string) (int, error) {
	c := 0
	g := &client.Generator{HTTP: &http.Client{Transport: r.link}, Key: virtualKey, Taken: func(id, text string) error {
		c += len(strings.Fields(text)) // a recorded answer comes in one piece
		if !strings.HasSuffix(id, fmt.Sprintf("/%d", c-1)) {
			return fmt.Errorf("got token %s, want index %d", id, c-1)
		}
		return nil
	}}
	for _, b := range boxes {
		g.Boxes = append(g.Boxes, "http://"+b)
	}
	_, _, err := g.Run(r.t.Context(), &client.Ask{Key: key, Model: "m", Prompt: prompt})
	return c, err
}

func (r *region) started() int {
	n := 0
	for _, e := range r.engines {
		n += e.Started()
	}
	return n
}

// reach is the way of a box's HTTP calls: those that cannot get through end as
// connections that are never made.
type reach struct {
	from   string
	region *region
}

func (h *reach) RoundTrip(q *http.Request) (*http.Response, error) {
	h.region.mutex.Lock()
	refused := h.region.refused[h.from] && q.URL.Host == "platform"
	h.region.mutex.Unlock()
	if refused {
		return nil, errRefused
	}
	if h.region.apart(h.from, q.URL.Host) {
		select {
		case <-q.Context().Done():
		case <-time.After(time.Second):
		}
		return nil, &net.OpError{Op: "dial", Net: "link", Err: errors.New("no route")}
	}
	return h.region.link.RoundTrip(q)
}

// links are a box's calls to other boxes in memory, through the codec.
func (r *region) links(from string) *box.Links {
	return &box.Links{
		Address: func() string { return from },
		Call: func(ctx context.Context, to string, q *box.Request) (*box.Call, error) {
			return r.call(ctx, from, to, q)
		},
		Close: func() error { return nil },
	}
}

// linkDelay is how long a message between two boxes takes.
const linkDelay = time.Millisecond

func (r *region) call(ctx context.Context, from, to string, q *box.Request) (*box.Call, error) {
	lost := fail.New(fail.Unavailable, fail.Place{Peer: "box " + to, Step: "call"}, "box_unreachable", "no route")
	b, err := box.Encoding.Marshal(q)
	if err != nil {
		return nil, err
	}
	v, err := box.DecodeRequest(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.mutex.Lock()
	peer := r.boxes[to]
	r.mutex.Unlock()
	if peer == nil || r.apart(from, to) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, lost
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(linkDelay):
	}
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan []byte, 16)
	go func() {
		defer close(replies)
		peer.answer(ctx, v, func(x *box.Reply) error {
			b, err := box.Encoding.Marshal(x)
			if err != nil {
				return err
			}
			select {
			case replies <- b:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	deadline := time.Now().Add(time.Hour)
	check := time.NewTicker(500 * time.Millisecond) // notices a cut, as an idle limit does
	return &box.Call{
		HangUp: func() {
			check.Stop()
			cancel()
		},
		Peer:     "box " + to,
		ReadTill: func(t time.Time) { deadline = t },
		Read: func(x *box.Reply) error {
			for {
				select {
				case b, ok := <-replies:
					if !ok {
						return lost
					}
					return cbor.Unmarshal(b, x)
				case <-check.C:
					r.mutex.Lock()
					gone := r.boxes[to] != peer
					r.mutex.Unlock()
					if gone || r.apart(from, to) || time.Now().After(deadline) {
						return lost
					}
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}, nil
}

// TestHallCutOffForAnHour cuts a hall off from the other and from the platform.
// It goes on serving what it can with what it knows, refuses truthfully what
// needs the table, and a box replaced in it starts from its peer. After the cut
// it has what was accepted meanwhile; nothing is lost or doubled.
func TestHallCutOffForAnHour(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		if n, err := r.run("k-before", "length=9", "box-b1"); err != nil || n != 9 {
			t.Fatal(n, err)
		}
		r.cutHallB(true)
		time.Sleep(time.Minute)
		r.apply("box-a1", resource.KindPriority, "accepted-meanwhile", `{"value":3}`)
		r.kill("box-b2")
		r.startBox("box-b3", func(s *settings.Settings) { s.Peers = []string{"box-b1"} })
		time.Sleep(10 * time.Second)
		before := r.started()
		for i, b := range []string{"box-b1", "box-b3", "box-a1"} {
			if n, err := r.run("", "length=20", b); err != nil || n != 20 {
				t.Errorf("%s during the cut: got %d tokens, %v; want 20", b, n, err)
			}
			if got, want := r.started(), before+i+1; got != want {
				t.Errorf("generations: got %d, want %d", got, want)
			}
		}
		before = r.started()
		if _, err := r.run("k-cut", "length=9", "box-b3"); !errorx.IsOfType(err, fail.NotRun) || fail.Reason(err) != "table_unavailable" {
			t.Errorf("with a key during the cut: got %v, want not run for want of the table", err)
		}
		if got := r.started(); got != before {
			t.Errorf("generations of a refused request: got %d, want none", got-before)
		}
		time.Sleep(time.Hour)
		r.cutHallB(false)
		time.Sleep(30 * time.Second)
		for n, b := range r.boxes {
			if b.view.Get(resource.KindPriority, "accepted-meanwhile") == nil {
				t.Errorf("%s has not what was accepted during the cut", n)
			}
		}
		before = r.started()
		for _, b := range []string{"box-b1", "box-b3", "box-a2"} {
			if n, err := r.run("k-cut", "length=9", b); err != nil || n == 0 {
				t.Errorf("%s after the cut: got %d tokens, %v", b, n, err)
			}
			if n, err := r.run("k-before", "length=9", b); err != nil || n == 0 {
				t.Errorf("%s, key from before: got %d tokens, %v", b, n, err)
			}
		}
		if got, want := r.started(), before+1; got != want {
			t.Errorf("generations after the cut: got %d, want %d", got, want)
		}
	})
}

// TestPlatformOutForAnHour measures the load on the table as the platform comes
// back: no more than a few reads a second from four boxes.
func TestPlatformOutForAnHour(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.platform.SetFaults(fakeplatform.Faults{Down: true})
		time.Sleep(time.Hour)
		if n, err := r.run("", "length=20", "box-b1"); err != nil || n != 20 {
			t.Errorf("during the outage: got %d tokens, %v; want 20", n, err)
		}
		before := r.platform.Counters()
		r.platform.SetFaults(fakeplatform.Faults{})
		const period = 20
		time.Sleep(period * time.Second)
		after := r.platform.Counters()
		if got, want := (after.Reads-before.Reads)/period, int64(4); got > want {
			t.Errorf("reads a second after the outage: got %d, want at most %d", got, want)
		}
		if got, want := after.Writes-before.Writes, int64(0); got != want {
			t.Errorf("writes: got %d, want %d", got, want)
		}
		if n, err := r.run("k", "length=9", "box-a1"); err != nil || n != 9 {
			t.Errorf("with a key: got %d tokens, %v; want 9", n, err)
		}
	})
}

// TestOwnerLostWithItsQueue kills the owner of a crowded engine while requests
// wait there: all are served, each once.
func TestOwnerLostWithItsQueue(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.cutHallB(true) // so that only engine-a is left for hall a
		time.Sleep(10 * time.Second)
		owner := r.ownerOf("engine-a")
		other := map[string]string{"box-a1": "box-a2", "box-a2": "box-a1"}[owner]
		var g sync.WaitGroup
		const requests = 200
		var mutex sync.Mutex
		whole := 0
		for i := range requests {
			g.Go(func() {
				n, err := r.run("", fmt.Sprintf("%d %s length=300", i, strings.Repeat("word ", 800)), other)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil && n == 300 {
					whole++
					return
				}
				t.Errorf("request %d: got %d tokens, %v; want 300", i, n, err)
			})
		}
		time.Sleep(3 * time.Second)
		if got := r.boxes[owner].owners; got == nil {
			t.Fatal("the owner has no owners")
		}
		r.kill(owner)
		g.Wait()
		if got, want := whole, requests; got != want {
			t.Errorf("whole answers: got %d, want %d", got, want)
		}
		if got, want := r.engines["engine-a"].Started(), requests; got != want {
			t.Errorf("generations started: got %d, want %d", got, want)
		}
	})
}

// TestFrozenOwner freezes the owner of an engine: requests go on under another
// owner, and once it thaws the two agree again.
func TestFrozenOwner(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		owner := r.ownerOf("engine-a")
		other := map[string]string{"box-a1": "box-a2", "box-a2": "box-a1"}[owner]
		r.setFrozen(owner, true)
		if n, err := r.run("", "length=20", other); err != nil || n != 20 {
			t.Errorf("while the owner is frozen: got %d tokens, %v; want 20", n, err)
		}
		r.setFrozen(owner, false)
		time.Sleep(time.Minute)
		if got, want := r.ownerOf("engine-a"), owner; got != want {
			t.Errorf("owner after the thaw: got %s, want %s", got, want)
		}
		if n, err := r.run("", "length=20", owner); err != nil || n != 20 {
			t.Errorf("at the thawed box: got %d tokens, %v; want 20", n, err)
		}
	})
}

// TestFrozenBoxRefreshesBeforeItSends pauses a box while an upstream is declared
// to leave: its first send after the pause does not go there.
func TestFrozenBoxRefreshesBeforeItSends(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		b := r.boxes["box-a1"]
		r.setFrozen("box-a1", true)
		r.apply("box-a2", resource.KindUpstream, "engine-a", `{"address":"http://127.0.1.1:1","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine","leaving":true}`)
		time.Sleep(3 * time.Second)
		b.beat.Store(b.beat.Load() - int64(10*time.Second)) // as a clock that jumped
		r.setFrozen("box-a1", false)
		b.fresh(t.Context())
		if u := b.view.Upstream("engine-a"); u == nil || !u.Spec.Leaving {
			t.Error("the box does not know that the upstream is leaving")
		}
		before := r.engines["engine-a"].Started()
		if n, err := r.run("", "length=20", "box-a1"); err != nil || n != 20 {
			t.Errorf("got %d tokens, %v; want 20", n, err)
		}
		if got := r.engines["engine-a"].Started(); got != before {
			t.Errorf("generations at the leaving upstream: got %d, want none", got-before)
		}
	})
}

// TestChangeIsInForceInSeconds counts the virtual time until a change is in
// force at every box of both halls.
func TestChangeIsInForceInSeconds(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.apply("box-b2", resource.KindPriority, "new", `{"value":3}`)
		time.Sleep(5 * time.Second)
		for n, b := range r.boxes {
			if b.view.Get(resource.KindPriority, "new") == nil {
				t.Errorf("%s has not the change after 5 s", n)
			}
		}
	})
}

// TestStatusIsUnknownAcrossACut checks that a status claims nothing about boxes
// that cannot be asked.
func TestStatusIsUnknownAcrossACut(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.cutHallB(true)
		o := operator.NewClient("http://box-a1-operator", "", &http.Client{Transport: r.link})
		x, err := o.Get(t.Context(), resource.KindModel, "m")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := x.Status.Conditions[0].Status, "Unknown"; got != want {
			t.Errorf("condition during the cut: got %s, want %s", got, want)
		}
		r.cutHallB(false)
		time.Sleep(time.Minute)
		x, err = o.Get(t.Context(), resource.KindModel, "m")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := x.Status.Conditions[0].Status, "True"; got != want {
			t.Errorf("condition after it: got %s, want %s", got, want)
		}
	})
}

// TestNaivePolicyServes runs the baseline that settings can select.
func TestNaivePolicyServes(t *testing.T) {
	withRegion(t, func(t *testing.T, r *region) {
		r.startBox("box-a9", func(s *settings.Settings) { s.Policy = settings.PolicyNaive })
		time.Sleep(5 * time.Second)
		if n, err := r.run("", "length=20", "box-a9"); err != nil || n != 20 {
			t.Errorf("got %d tokens, %v; want 20", n, err)
		}
	})
}

// ownerOf returns the box of its hall that owns an engine, as that hall believes.
func (r *region) ownerOf(engine string) string {
	for n, b := range r.boxes {
		if r.hallOf[n] == engine[len(engine)-1:] && b.owners.Mine(b.view.Upstream(engine)) {
			return n
		}
	}
	return ""
}
