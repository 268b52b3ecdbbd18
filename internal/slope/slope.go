// Package slope measures the costs from which docs/CAPACITY.md is worked out:
// each over several sizes, on one machine, with a line fitted to them.
package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/certificate"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/requestkey"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/upstream"
)

// series is one cost, measured at several sizes.
type series struct {
	measure func(n int) float64
	name    string
	sizes   []int
	unit    string
}

const (
	engineName = "engine-1"
	unitBytes  = "bytes"
)

// Main measures every series, prints the fits, and returns an exit code.
func Main(output io.Writer) int {
	_, _ = fmt.Fprintf(output, "%-44s %12s %12s %8s   %s\n", "cost", "slope", "base", "error", "sizes")
	for _, s := range all() {
		var x, y []float64
		for _, n := range s.sizes {
			x = append(x, float64(n))
			y = append(y, s.measure(n))
		}
		f := FitLine(x, y)
		_, _ = fmt.Fprintf(output, "%-44s %12.4g %12.4g %7.1f%%   %v\n", s.name+", "+s.unit, f.Slope, f.Base, 100*f.Error, s.sizes)
	}
	return 0
}

func all() []series {
	boxes := []int{400, 800, 1600, 3300}
	upstreams := []int{1000, 2500, 5000, 10_000}
	few := []int{100, 200, 400, 800}
	calls := []int{1000, 2000, 4000, 8000}
	return []series{
		{heapOf(func(n int) any { return newMembers(n) }), "memory of a known box", boxes, unitBytes},
		{cpuOf(aliveTime), "choosing an owner among a hall's boxes", []int{75, 150, 300, 600}, "µs/box"},
		{heapOf(func(n int) any { return newView(n) }), "memory of a declared upstream", upstreams, unitBytes},
		{heapOf(func(n int) any { return newWorkspaces(n) }), "memory of a declared workspace", []int{500, 1000, 1900, 3800}, unitBytes},
		{heapOf(func(n int) any { return newOwner(n, 0) }), "memory of a running generation at its owner", few, unitBytes},
		{heapOf(func(n int) any { return newOwner(0, n) }), "memory of a queued request at its owner", []int{1000, 2500, 5000, 10_000}, unitBytes},
		{heapOf(func(n int) any { return newLengths(n) }), "memory of a key of lengths", []int{2500, 5000, 10_000, 20_000}, unitBytes},
		{askTime, "processor time of an ask and its finish", calls, "µs"},
		{heartbeatTime, "processor time of a heartbeat, both ends", calls, "µs"},
		{heartbeatBytes, "message of a heartbeat and its reply", []int{1, 2, 4, 8}, unitBytes},
		{askBytes, "messages of an ask, its answer and its end", []int{1, 2, 4, 8}, unitBytes},
		{updateBytes, "message of progress of a generation", few, unitBytes},
		{changeBytes, "message of a change of configuration", few, unitBytes},
		{applyTime, "processor time of a change at a box", calls, "µs"},
		{keyBytes, "rows of a request key, written twice", few, unitBytes},
		{streamMemory, "memory of a held stream", few, unitBytes},
		{logBytes, "log lines of a request", few, unitBytes},
		{logTime, "processor time of the log lines of a request", calls, "µs"},
		{relayTime, "processor time of a relayed token", []int{50_000, 100_000, 200_000, 400_000}, "µs"},
	}
}

// heapOf measures the memory that what build returns keeps.
func heapOf(build func(n int) any) func(n int) float64 {
	return func(n int) float64 {
		before := memory()
		v := build(n)
		after := memory()
		runtime.KeepAlive(v)
		return after - before
	}
}

// cpuOf measures the time of what prepare returns, in microseconds.
func cpuOf(prepare func(n int) func()) func(n int) float64 {
	return func(n int) float64 {
		f := prepare(n)
		const times = 2000
		began := cpu()
		for range times {
			f()
		}
		return (cpu() - began) / times
	}
}

// revisions are those of a box that knows every source.
var revisions = resource.Revisions{
	resource.SourceBoxes: 1 << 20, resource.SourceConfiguration: 1 << 20, resource.SourceResources: 1 << 20, resource.SourceUpstreams: 1 << 20,
}

func aliveTime(n int) func() {
	m := newMembers(n * 11)
	alive := m.Alive("h0")
	return func() { policy.First("engine-17", alive) }
}

func applyTime(n int) float64 {
	v := newView(10_000)
	s, _ := json.Marshal(resource.UpstreamSpec{Address: "http://127.0.0.1:1", Hall: "a", KVTokens: 1, MaxBatch: 1, Models: []string{"m"}, Type: resource.UpstreamEngine})
	began := cpu()
	for i := range n {
		r := int64(20_000 + i)
		v.Apply([]resource.Change{{Revision: r, Resource: &resource.Resource{Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: engineName}, Spec: s}}}, r)
	}
	return cpu() - began
}

func askBytes(n int) float64 {
	w := newWork(1)
	a := &policy.Answer{ID: w.ID, Verdict: policy.VerdictStart}
	l := &policy.Load{AsOf: time.Now(), Peak: 0.7, Upstream: engineName}
	one := size(&box.Request{Ask: &box.Ask{Upstream: engineName, Work: *w}, From: newMember(1), Kind: box.KindAsk, Revisions: revisions}) +
		size(&box.Reply{Answer: a, Load: l, Revisions: revisions, State: box.StateServing}) +
		size(&box.Request{From: newMember(1), Kind: box.KindUpdate, Revisions: revisions, Update: &box.Update{Items: []box.Item{{Ended: true, Gone: true, ID: w.ID, Produced: 400}}, Upstream: engineName}}) +
		size(&box.Reply{Load: l, Revisions: revisions})
	return float64(n) * one
}

func askTime(n int) float64 {
	o := newOwner(50, 0)
	began := cpu()
	for range n {
		w := newWork(1 << 20)
		o.Ask(w, time.Now())
		o.Finish(w.ID, 10, true, time.Now())
	}
	return cpu() - began
}

func changeBytes(n int) float64 {
	return size(&box.Reply{Changes: newView(n).Missing(nil), Revisions: revisions})
}

func heartbeatBytes(n int) float64 {
	return float64(n) * (size(&box.Request{From: newMember(1), Kind: box.KindHeartbeat, Revisions: revisions}) +
		size(&box.Reply{Revisions: revisions, State: box.StateServing}))
}

func heartbeatTime(n int) float64 {
	server, client, err := certificate.Ephemeral(box.Protocol)
	if err != nil {
		panic(err)
	}
	h := func(_ context.Context, _ *box.Request, answer func(*box.Reply) error) {
		_ = answer(&box.Reply{Revisions: revisions})
	}
	a, err := box.Listen("127.0.0.1:0", server, client, h)
	if err != nil {
		panic(err)
	}
	defer func() { _ = a.Close() }()
	b, err := box.Listen("127.0.0.1:0", server, client, h)
	if err != nil {
		panic(err)
	}
	defer func() { _ = b.Close() }()
	q := &box.Request{From: newMember(1), Kind: box.KindHeartbeat}
	began := cpu()
	for range n {
		if _, err := b.Links().Once(context.Background(), a.Address(), q); err != nil {
			panic(err)
		}
	}
	return cpu() - began
}

func keyBytes(n int) float64 {
	r := requestkey.Record{
		Generation: "aaaaaaaaaaaaaaaaaaaaaaaaaa", Print: "00000000000000000000000000000000", State: requestkey.StateRunning,
		Try: "aaaaaaaaaaaaaaaaaaaaaaaaaa", Upstream: "upperhill-a-engine-17",
	}
	b, _ := json.Marshal(r)
	return 2 * float64(n*(len(b)+len(requestkey.RowKey("workspace-17", "0123456789abcdef"))))
}

// relayTime relays n tokens from an upstream to a sink.
func relayTime(n int) float64 {
	d := newDeliverer(func(w http.ResponseWriter, id string) {
		for i := range n {
			writeFrame(w, upstream.Frame{Generation: id, Index: i, Text: " token"})
		}
		writeFrame(w, upstream.Frame{Finish: upstream.FinishStop, Generation: id, Index: n})
	})
	began := cpu()
	if err := d.Generate(context.Background(), newRequest(1), func(*delivery.Token) error { return nil }); err != nil {
		panic(err)
	}
	return cpu() - began
}

// streamMemory holds n streams that have had one token each.
func streamMemory(n int) float64 {
	stop := make(chan struct{})
	d := newDeliverer(func(w http.ResponseWriter, id string) {
		writeFrame(w, upstream.Frame{Generation: id, Text: " token"})
		<-stop
		writeFrame(w, upstream.Frame{Finish: upstream.FinishStop, Generation: id, Index: 1})
	})
	before := memory()
	var started, done sync.WaitGroup
	started.Add(n)
	for i := range n {
		done.Go(func() {
			_ = d.Generate(context.Background(), newRequest(i), func(t *delivery.Token) error {
				if t.Finish == "" {
					started.Done()
				}
				return nil
			})
		})
	}
	started.Wait()
	after := memory()
	close(stop)
	done.Wait()
	return after - before
}

func updateBytes(n int) float64 {
	u := &box.Update{Upstream: engineName}
	for i := range n {
		u.Items = append(u.Items, box.Item{ID: newWork(i).ID, Produced: 1000 + i})
	}
	return size(&box.Request{From: newMember(1), Kind: box.KindUpdate, Update: u})
}
