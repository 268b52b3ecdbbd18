package linetiller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/linetiller/linetiller"
	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/fake/engine"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	fakeservice "github.com/linetiller/linetiller/internal/fake/service"
	"github.com/linetiller/linetiller/internal/operator"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/settings"
)

const (
	testModel = "tiller-llm"
	testKey   = "test-quotes"
)

// hall is a data hall of boxes and stand-ins, all in this process and connected over loopback.
type hall struct {
	boxes          []*linetiller.Box
	engines        []*engine.Server
	platform       *fakeplatform.Platform
	service        *fakeservice.Service
	servers        map[string]*httptest.Server // of the stand-ins, by name
	changeSettings func(*settings.Settings)    // applied to boxes before they start; may be nil
	t              testing.TB
}

// newHall starts boxes and engines and waits until the resources are in force at every box.
func newHall(t testing.TB, boxes, engines int) *hall {
	t.Helper()
	h := &hall{platform: fakeplatform.New(), service: fakeservice.New(), servers: make(map[string]*httptest.Server), t: t}
	h.serve("platform", h.platform)
	h.serve("service", h.service)
	for n := range engines {
		s := engine.DefaultSettings()
		s.StepBase = time.Millisecond
		e := engine.NewServer(s, 100*time.Millisecond)
		t.Cleanup(func() { _ = e.Close() })
		h.engines = append(h.engines, e)
		h.serve(fmt.Sprintf("engine-%d", n+1), e)
	}
	for range boxes {
		h.startBox()
	}
	for _, r := range h.resources() {
		h.apply(r)
	}
	h.waitInForce()
	return h
}

func (h *hall) apply(r *resource.Resource) {
	h.t.Helper()
	if _, err := h.operator(0).Apply(h.t.Context(), r); err != nil {
		h.t.Fatalf("apply %s %s: %v", r.Kind, r.Metadata.Name, err)
	}
}

func (h *hall) client(boxes ...int) *client.Generator {
	g := &client.Generator{HTTP: &http.Client{}, Key: testKey, OnToken: func(string, string) error { return nil }}
	for _, b := range boxes {
		g.Boxes = append(g.Boxes, "http://"+h.boxes[b].ClientAddress())
	}
	return g
}

func (h *hall) operator(box int) *operator.Client {
	return operator.NewClient("http://"+h.boxes[box].OperatorAddress(), "", &http.Client{})
}

func (h *hall) resources() []*resource.Resource {
	l := []*resource.Resource{
		newResource(resource.KindModel, testModel, resource.ModelSpec{MaxTokens: 4000}),
		newResource(resource.KindPriority, "counter", resource.PrioritySpec{Value: 5}),
		newResource(resource.KindWorkspace, "quotes", resource.WorkspaceSpec{KeyHashes: []string{resource.HashKey(testKey)}, Priority: "counter"}),
		newResource(resource.KindUpstream, "quote-desk-1", resource.UpstreamSpec{
			Address: h.servers["service"].URL, Hall: "upperhill-a", Service: "quote-desk", Type: resource.UpstreamService,
		}),
	}
	for n := range h.engines {
		l = append(l, h.engineResource(n+1))
	}
	return l
}

func (h *hall) engineResource(number int) *resource.Resource {
	n := fmt.Sprintf("engine-%d", number)
	return newResource(resource.KindUpstream, n, resource.UpstreamSpec{
		Address: h.servers[n].URL, Hall: "upperhill-a", KVTokens: 60_000, MaxBatch: 100, Models: []string{testModel}, Type: resource.UpstreamEngine,
	})
}

func (h *hall) serve(name string, s http.Handler) {
	v := httptest.NewServer(s)
	h.servers[name] = v
	h.t.Cleanup(func() {
		v.CloseClientConnections()
		v.Close()
	})
}

// startBox starts one more box, which registers itself at the platform.
func (h *hall) startBox() {
	h.t.Helper()
	s := settings.Default()
	s.Box = fmt.Sprintf("a-%d", len(h.boxes)+1)
	s.Hall = "upperhill-a"
	s.BoxAddress, s.ClientAddress, s.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform = h.servers["platform"].URL
	s.Timeouts.Drain.Duration = 300 * time.Millisecond
	s.Timeouts.Report.Duration = 100 * time.Millisecond
	s.Timeouts.Heartbeat.Duration = 200 * time.Millisecond
	if h.changeSettings != nil {
		h.changeSettings(&s)
	}
	b, err := linetiller.New(&s, linetiller.WithLog(slog.New(slog.NewTextHandler(h.t.Output(), nil))))
	if err != nil {
		h.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Serve(context.Background())
	}()
	h.t.Cleanup(func() {
		_ = b.Close()
		<-done
	})
	h.boxes = append(h.boxes, b)
}

// waitInForce waits until every box reports that the resources are in force at all boxes.
func (h *hall) waitInForce() {
	h.t.Helper()
	for n := range h.boxes {
		for {
			r, err := h.operator(n).Get(h.t.Context(), resource.KindUpstream, fmt.Sprintf("engine-%d", len(h.engines)))
			if err == nil && r.Status.Conditions[0].Status == "True" && r.Status.Halls[0].Boxes == len(h.boxes) {
				break
			}
			select {
			case <-h.t.Context().Done():
				h.t.Fatal("resources are not in force at the end of the test")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

func newResource(k resource.Kind, name string, spec any) *resource.Resource {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return &resource.Resource{Kind: k, Metadata: resource.Metadata{Name: name}, Spec: b}
}

// withPeers makes a box join through the peers at these addresses.
func withPeers(addresses ...string) func(*settings.Settings) {
	return func(s *settings.Settings) { s.Peers = addresses }
}
