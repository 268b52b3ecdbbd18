package linetiller_test

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/fail"
	fakeplatform "github.com/linetiller/linetiller/internal/fake/platform"
	"github.com/linetiller/linetiller/internal/resource"
)

// TestPlatformOutage checks requests during an outage of the platform: those that may be repeated
// are served, those that need the table of request keys are refused without having run, and after
// the outage all are served.
func TestPlatformOutage(t *testing.T) {
	h := newHall(t, 2, 1)
	run := func(key string) (int, error) {
		c := new(tokenChecker)
		g := h.client(0)
		g.OnToken = c.check
		_, _, err := g.Run(t.Context(), &client.GenerationRequest{Key: key, Model: testModel, Prompt: "length=5"})
		return c.next, err
	}
	h.platform.SetFaults(fakeplatform.Faults{Down: true})
	if n, err := run(""); err != nil || n != 5 {
		t.Errorf("without a key: got %d tokens, %v, want 5", n, err)
	}
	before := h.startedGenerations()
	if _, err := run("k"); !errorx.IsOfType(err, fail.NotRun) || fail.Reason(err) != "table_unavailable" {
		t.Errorf("with a key: got %v, want not run, table_unavailable", err)
	}
	if got, want := h.startedGenerations(), before; got != want {
		t.Errorf("generations started: got %d, want %d", got, want)
	}
	if _, err := h.operator(0).Apply(t.Context(), newResource(resource.KindModel, "new", resource.ModelSpec{MaxTokens: 5})); err == nil {
		t.Error("a write during the outage was accepted")
	}
	h.platform.SetFaults(fakeplatform.Faults{})
	if n, err := run("k"); err != nil || n != 5 {
		t.Errorf("after the outage: got %d tokens, %v, want 5", n, err)
	}
}

// TestBoxStartsWhilePlatformIsDown checks that a box which starts during an outage of the platform
// gets the configuration from its peers.
func TestBoxStartsWhilePlatformIsDown(t *testing.T) {
	h := newHall(t, 2, 1)
	h.platform.SetFaults(fakeplatform.Faults{Down: true})
	h.changeSettings = withPeers(h.boxes[0].BoxAddress())
	h.startBox()
	c := new(tokenChecker)
	g := h.client(2)
	g.OnToken = c.check
	for {
		_, _, err := g.Run(t.Context(), &client.GenerationRequest{Model: testModel, Prompt: "length=5"})
		if err == nil {
			break
		}
		if !errorx.IsOfType(err, fail.Unavailable) && !errorx.IsOfType(err, fail.Unauthorized) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got, want := c.next, 5; got != want {
		t.Errorf("tokens: got %d, want %d", got, want)
	}
}
