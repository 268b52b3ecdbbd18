//go:build !race || whole

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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// region is a set of halls of complete boxes, which are connected in memory and run in virtual
// time.
type region struct {
	boxes           map[string]*Box
	intercept       func(to string, q *box.Request) *box.Call    // answers calls between boxes in their place; may be nil
	storeCallCounts map[string]int                               // by box
	crashing        map[string]*atomic.Int64                     // by box: crashes so far, where all upstreams crash that the box sends to
	isolated        map[string]bool                              // halls cut off from all others and the platform
	poweredOff      map[string]bool                              // boxes without power: calls to them hang, and connections are not closed
	onDelivered     func(from string, q *box.Request)            // called for each call that reaches a box; may be nil
	onMessage       func(from, to string, k box.Kind, bytes int) // called for each message between boxes; may be nil
	serving         sync.WaitGroup                               // Serve of all boxes
	handlerCancels  []func()                                     // cancel the handling of calls between boxes
	engines         map[string]*engine.Server
	deaf            map[string]bool // boxes that no call of another box reaches, while their own calls do
	paused          map[string]bool // boxes whose calls hang
	hallOf          map[string]string
	link            *link.Link
	bytesPerSecond  map[string]int // by box: how fast messages of other boxes reach it; 0 for at once
	mutex           sync.Mutex     // guards the maps
	platform        *fakeplatform.Platform
	storeTransports map[string]http.RoundTripper // by box: its transport to the store, if it is not a boxTransport
	links           *upstreamLinks               // carries connections to upstreams; nil if requests are passed to them directly
	relayed         map[string][]net.Conn        // by box: connections to upstreams that it has opened for others
	refusedBoxes    map[string]bool              // boxes that the store refuses
	t               *testing.T
}

const workspaceKey = "key"

// engineHosts maps engines to their addresses. Nothing listens there: connections are in memory.
var engineHosts = map[string]string{"engine-a": "127.0.1.1:1", "engine-b": "127.0.1.2:1"}

// withRegion runs f with two halls of two boxes and one engine each.
func withRegion(t *testing.T, f func(t *testing.T, r *region)) {
	t.Helper()
	withRegionOver(t, nil, f)
}

// withRegionOver does the same with connections to upstreams over links, if these are not nil.
func withRegionOver(t *testing.T, l *upstreamLinks, f func(t *testing.T, r *region)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		defer r.close()
		if l != nil {
			l.t, r.links = t, l
			defer l.close()
		}
		for _, n := range []string{"engine-a", "engine-b"} {
			r.startEngine(n)
		}
		for _, n := range []string{"box-a1", "box-a2", "box-b1", "box-b2"} {
			r.startBox(n)
		}
		r.declareResources()
		time.Sleep(5 * time.Second)
		f(t, r)
	})
}

// newRegion returns a region without boxes and engines.
func newRegion(t *testing.T) *region {
	r := &region{
		boxes: make(map[string]*Box), storeCallCounts: make(map[string]int), crashing: make(map[string]*atomic.Int64), isolated: make(map[string]bool), poweredOff: make(map[string]bool), deaf: make(map[string]bool), engines: make(map[string]*engine.Server),
		paused: make(map[string]bool), hallOf: map[string]string{"platform": "platform"}, link: link.New(), platform: fakeplatform.New(),
		relayed:         make(map[string][]net.Conn),
		storeTransports: make(map[string]http.RoundTripper),
		refusedBoxes:    make(map[string]bool), t: t,
	}
	r.link.Handle("platform", r.platform)
	return r
}

func (r *region) close() {
	for n := range r.boxes {
		r.kill(n)
	}
	for _, end := range r.handlerCancels {
		end()
	}
	r.serving.Wait()
	for _, e := range r.engines {
		_ = e.Close()
	}
	time.Sleep(time.Minute)
}

func (r *region) declareResources() {
	r.apply("box-a1", resource.KindModel, "m", `{"maxTokens":4000}`)
	r.apply("box-a1", resource.KindWorkspace, "w", `{"keyHashes":["`+resource.HashKey(workspaceKey)+`"]}`)
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

// remove removes a declared resource.
func (r *region) remove(at string, k resource.Kind, name string) {
	r.t.Helper()
	o := operator.NewClient("http://"+at+"-operator", "", &http.Client{Transport: r.link})
	if err := o.Delete(r.t.Context(), k, name); err != nil {
		r.t.Fatal(err)
	}
}

// unreachable reports whether two hosts cannot reach each other.
func (r *region) unreachable(a, b string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x, y := r.hallOf[a], r.hallOf[b]
	return r.paused[a] || r.paused[b] || (x != y && (r.isolated[x] || r.isolated[y]))
}

// isolateHallB cuts hall b off from the other halls and the platform, or reconnects it.
func (r *region) isolateHallB(on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isolated["b"] = on
}

// isolate cuts a hall off from the other halls and the platform.
func (r *region) isolate(hall string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isolated[hall] = true
}

// isIsolated reports whether the hall of a box is cut off.
func (r *region) isIsolated(box string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.isolated[r.hallOf[box]]
}

// powerOff cuts the power of a box: calls to it hang, and its connections are not closed.
func (r *region) powerOff(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.poweredOff[name], r.paused[name] = true, true
}

// eitherPoweredOff reports whether one of two boxes has no power.
func (r *region) eitherPoweredOff(a, b string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.poweredOff[a] || r.poweredOff[b]
}

func (r *region) setPaused(name string, on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.paused[name] = on
}

// setHall records the hall of an address.
func (r *region) setHall(address, hall string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hallOf[address] = hall
}

func (r *region) startEngine(name string) {
	e := engine.NewServer(engine.DefaultSettings(), 0)
	r.engines[name] = e
	r.setHall(engineHosts[name], name[len(name)-1:])
	r.link.Handle(engineHosts[name], e)
	if r.links != nil {
		r.links.serve(name, engineHosts[name], e)
	}
}

// storeCallsOf returns how many store calls a box has made.
func (r *region) storeCallsOf(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.storeCallCounts[name]
}

// startBox starts a box.
func (r *region) startBox(name string, change ...func(*settings.Settings)) {
	r.t.Helper()
	b := r.newBox(name, change...)
	r.link.Handle(name, b.clientServer.Handler)
	r.link.Handle(name+"-operator", b.operatorServer.Handler)
	r.serving.Go(func() { _ = b.Serve(context.Background()) })
	synctest.Wait()
}

// newBox creates a box that does not serve yet.
func (r *region) newBox(name string, change ...func(*settings.Settings)) *Box {
	r.t.Helper()
	s := settings.Default()
	s.Box, s.Hall, s.Platform = name, name[4:5], "http://platform"
	s.BoxAddress, s.ClientAddress, s.OperatorAddress = name, name, name
	for _, c := range change {
		c(&s)
	}
	r.setHall(name, s.Hall)
	b, err := New(&s, func(b *Box) {
		b.openListeners = func() error {
			b.links = r.newEndpoint(name)
			b.members.SetAddress(name)
			if b.settings.Entry != (settings.Entry{}) {
				b.entry = make([]endpoint, 3)
			}
			return nil
		}
		b.platformTransport = r.storeTransport(name)
		if r.links != nil {
			b.dialUpstream = r.links.dialer(name)
		} else {
			b.engineTransport, b.routedTransport = &boxTransport{from: name, region: r}, &boxTransport{from: name, region: r}
		}
	})
	if err != nil {
		r.t.Fatal(err)
	}
	b.relay.Upstreams = r.wrapUpstreamCalls(name, b.relay.Upstreams)
	r.mutex.Lock()
	r.boxes[name] = b
	r.mutex.Unlock()
	return b
}

// storeTransport returns a box's transport to the platform's store.
func (r *region) storeTransport(name string) http.RoundTripper {
	if t := r.storeTransports[name]; t != nil {
		return t
	}
	return &boxTransport{from: name, region: r}
}

func (r *region) kill(name string) {
	r.mutex.Lock()
	b := r.boxes[name]
	delete(r.boxes, name)
	r.mutex.Unlock()
	r.link.SetDown(name, true)
	r.mutex.Lock()
	for _, c := range r.relayed[name] {
		_ = c.Close()
	}
	r.mutex.Unlock()
	_ = b.Close()
}

// generate requests a generation from boxes and returns how many tokens arrived.
func (r *region) generate(key, prompt string, boxes ...string) (int, error) {
	tokens := 0
	g := &client.Generator{HTTP: &http.Client{Transport: r.link}, Key: workspaceKey, OnToken: func(id, text string) error {
		tokens += len(strings.Fields(text)) // a recorded answer arrives as one event
		if !strings.HasSuffix(id, fmt.Sprintf("/%d", tokens-1)) {
			return fmt.Errorf("got token %s, want index %d", id, tokens-1)
		}
		return nil
	}}
	for _, b := range boxes {
		g.Boxes = append(g.Boxes, "http://"+b)
	}
	_, _, err := g.Run(r.t.Context(), &client.GenerationRequest{Key: key, Model: "m", Prompt: prompt})
	return tokens, err
}

func (r *region) startedGenerations() int {
	n := 0
	for _, e := range r.engines {
		n += e.StartedGenerations()
	}
	return n
}

// boxTransport carries the HTTP requests of a box in memory. A request to an unreachable host hangs
// for up to a second and then fails as a connection without a route would.
type boxTransport struct {
	from   string
	region *region
}

func (h *boxTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	h.region.mutex.Lock()
	refused := h.region.refusedBoxes[h.from] && q.URL.Host == "platform"
	if q.URL.Host == "platform" {
		h.region.storeCallCounts[h.from]++
	}
	h.region.mutex.Unlock()
	if refused {
		return nil, errRefused
	}
	if h.region.unreachable(h.from, q.URL.Host) {
		select {
		case <-q.Context().Done():
		case <-time.After(time.Second):
		}
		return nil, &net.OpError{Op: "dial", Net: "link", Err: errors.New("no route")}
	}
	return h.region.link.RoundTrip(q)
}

// interceptCalls makes f answer calls between boxes from now on, except those for which it returns
// nil.
func (r *region) interceptCalls(f func(to string, q *box.Request) *box.Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.intercept = f
}

// intercepted returns the intercepted answer to a call between boxes, or nil.
func (r *region) intercepted(to string, q *box.Request) *box.Call {
	r.mutex.Lock()
	f := r.intercept
	r.mutex.Unlock()
	if f == nil {
		return nil
	}
	return f(to, q)
}

// newEndpoint returns an endpoint whose calls to other boxes pass through the encoding, but stay in
// memory.
func (r *region) newEndpoint(from string) *box.Endpoint {
	return &box.Endpoint{
		Address: func() string { return from },
		Call: func(ctx context.Context, to string, q *box.Request) (*box.Call, error) {
			if c := r.intercepted(to, q); c != nil {
				return c, nil
			}
			return r.call(ctx, from, to, q)
		},
		Close: func() error { return nil },
		Connect: func(ctx context.Context, to string, q *box.Request) (net.Conn, error) {
			return r.connect(ctx, from, to, q)
		},
	}
}

// awaitBox waits until a message has reached a box and returns the box, or nil if it cannot be reached.
func (r *region) awaitBox(ctx context.Context, from, to string) *Box {
	r.mutex.Lock()
	b, deaf := r.boxes[to], r.deaf[to]
	r.mutex.Unlock()
	delay := linkDelay
	if b == nil || deaf || r.unreachable(from, to) {
		b, delay = nil, time.Second
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(delay):
	}
	return b
}

// connect opens a connection to an upstream by way of a box. It ends when that box is killed.
func (r *region) connect(ctx context.Context, from, to string, q *box.Request) (net.Conn, error) {
	errUnreachable := fail.New(fail.Unavailable, fail.Origin{Peer: "box " + to, Step: "connect"}, box.ReasonUnreachable, "no route")
	peer := r.awaitBox(ctx, from, to)
	if peer == nil {
		return nil, errUnreachable
	}
	c, err := peer.connectForPeer(ctx, q)
	if err != nil {
		return nil, fail.New(fail.Unavailable, fail.Origin{Peer: "box " + to, Step: "connect"}, fail.Reason(err), "refused")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.relayed[to] = append(r.relayed[to], c)
	return &linkedConn{Conn: c, silent: func() bool { return r.unreachable(from, to) }}, nil
}

// transfer waits for as long as a message takes to reach a box over its link.
func (r *region) transfer(ctx context.Context, to string, bytes int) {
	r.mutex.Lock()
	speed := r.bytesPerSecond[to]
	r.mutex.Unlock()
	if speed == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(bytes) * time.Second / time.Duration(speed)):
	}
}

// reportMessage passes a message between boxes to onMessage.
func (r *region) reportMessage(from, to string, k box.Kind, bytes int) {
	if r.onMessage != nil {
		r.onMessage(from, to, k, bytes)
	}
}

// linkDelay is the latency of a message between two boxes.
const linkDelay = time.Millisecond

func (r *region) call(ctx context.Context, from, to string, q *box.Request) (*box.Call, error) {
	errUnreachable := fail.New(fail.Unavailable, fail.Origin{Peer: "box " + to, Step: "call"}, "box_unreachable", "no route")
	b, err := box.Encoding.Marshal(q)
	if err != nil {
		return nil, err
	}
	v, err := box.DecodeRequest(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	if r.eitherPoweredOff(from, to) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	peer := r.awaitBox(ctx, from, to)
	if peer == nil {
		return nil, errUnreachable
	}
	if r.onDelivered != nil {
		r.onDelivered(from, v)
	}
	r.reportMessage(from, to, v.Kind, len(b))
	ctx, cancel := context.WithCancel(ctx)
	served, end := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		if !r.eitherPoweredOff(from, to) {
			end()
		}
	})
	r.mutex.Lock()
	r.handlerCancels = append(r.handlerCancels, end)
	r.mutex.Unlock()
	replies := make(chan []byte, 16)
	go func() {
		defer close(replies)
		peer.handleRequest(served, v, func(x *box.Reply) error {
			b, err := box.Encoding.Marshal(x)
			if err != nil {
				return err
			}
			r.reportMessage(to, from, v.Kind+" reply", len(b))
			r.transfer(ctx, from, len(b))
			select {
			case replies <- b:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	deadline := time.Now().Add(time.Hour)
	check := time.NewTicker(500 * time.Millisecond) // notices lost connections, as an idle timeout does
	return &box.Call{
		Abort: func() {
			check.Stop()
			cancel()
		},
		Peer:            "box " + to,
		SetReadDeadline: func(t time.Time) { deadline = t },
		Read: func(x *box.Reply) error {
			for {
				select {
				case b, ok := <-replies:
					if r.eitherPoweredOff(from, to) {
						<-ctx.Done()
						return errUnreachable
					}
					if !ok {
						return errUnreachable
					}
					return cbor.Unmarshal(b, x)
				case <-check.C:
					r.mutex.Lock()
					peerStopped := r.boxes[to] != peer
					r.mutex.Unlock()
					if r.eitherPoweredOff(from, to) {
						continue
					}
					if peerStopped || r.unreachable(from, to) || time.Now().After(deadline) {
						return errUnreachable
					}
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}, nil
}

// ownerOf returns the box that owns an engine by the view of its hall, or "" if there is none.
func (r *region) ownerOf(engine string) string {
	for n, b := range r.boxes {
		if r.hallOf[n] == engine[len(engine)-1:] && b.owners.Owns(b.view.Upstream(engine)) {
			return n
		}
	}
	return ""
}
