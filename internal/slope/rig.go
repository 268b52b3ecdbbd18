package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/delivery"
	"github.com/linetiller/linetiller/internal/fake/link"
	"github.com/linetiller/linetiller/internal/member"
	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
	"github.com/linetiller/linetiller/internal/upstream"
)

// cpu returns the processor time of this process, in microseconds.
func cpu() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	t := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return float64(t.Nanoseconds()) / 1e3
}

// memory returns the bytes in use by heap and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// newDeliverer returns a deliverer of the first upstream, in memory, that answers as
// stream does.
func newDeliverer(stream func(w http.ResponseWriter, id string)) *delivery.Deliverer {
	l := link.New()
	l.Join("10.1.0.0:8000", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var s upstream.Start
		if json.NewDecoder(r.Body).Decode(&s) == nil {
			stream(w, s.ID)
		}
	}))
	v := newView(1)
	m := metric.NewSet()
	e := upstream.NewEngines(time.Minute, upstream.WithTransport(l))
	d := delivery.New(e, nil, placement.NewTracker(func(*policy.Load) {}), v, m, slog.New(slog.DiscardHandler))
	d.Place = func(context.Context, *policy.Work, map[string]bool) (*placement.Place, error) {
		return &placement.Place{Granted: time.Now(), Upstream: v.Upstream("engine-0")}, nil
	}
	return d
}

func newLengths(n int) *policy.Lengths {
	l := policy.NewLengths()
	for i := range n {
		w := newWork(i)
		w.Workspace = fmt.Sprint(i)
		l.Observe(policy.KeyOf(w), 0, 100, true)
	}
	return l
}

func newMember(i int) box.Member {
	return box.Member{Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250), Hall: fmt.Sprintf("h%d", i%11), Name: fmt.Sprintf("box-%d", i), State: box.StateServing}
}

func newMembers(n int) *member.Table {
	t := member.NewTable(newMember(0))
	var l []box.Member
	for i := 1; i < n; i++ {
		l = append(l, newMember(i))
	}
	t.List(l, time.Now())
	return t
}

func newOwner(running, queued int) *policy.Owner {
	now := time.Now()
	o := policy.NewOwner(engineName, policy.Capacity{KVTokens: 60_000, MaxBatch: 100}, policy.NewLengths(), now, policy.WithMaxQueued(1<<20))
	if queued > 0 {
		o.Report(policy.Report{AsOf: now, StepSeconds: 0.001, Used: 60_000}, now)
	} else {
		o.Report(policy.Report{AsOf: now, StepSeconds: 0.001}, now)
	}
	for i := range running {
		o.Register(newWork(i), 10, now)
	}
	for i := range queued {
		o.Ask(newWork(i), now)
	}
	return o
}

func newRequest(i int) *delivery.Request {
	return &delivery.Request{Prompt: "a prompt", Work: *newWork(i)}
}

func newView(n int) *resource.View {
	v := resource.NewView()
	for i := range n {
		s, _ := json.Marshal(resource.UpstreamSpec{
			Address: fmt.Sprintf("http://10.1.%d.%d:8000", i/250, i%250), Hall: fmt.Sprintf("h%d", i%11), KVTokens: 400_000, MaxBatch: 256,
			Models: []string{fmt.Sprintf("model-%d", i%17)}, Type: resource.UpstreamEngine,
		})
		v.Apply([]resource.Change{{Revision: int64(i + 1), Resource: &resource.Resource{
			Kind: resource.KindUpstream, Metadata: resource.Metadata{Generation: 1, Name: fmt.Sprintf("engine-%d", i), ResourceVersion: fmt.Sprint(i + 1)}, Spec: s,
		}}}, int64(i+1))
	}
	return v
}

func newWork(i int) *policy.Work {
	now := time.Now()
	return &policy.Work{
		Arrived: now, Deadline: now.Add(time.Hour), ID: fmt.Sprintf("aaaaaaaaaaaaaaaaaaaa%06d", i), Kind: "quote", MaxTokens: 4096,
		Model: "model-1", Prefix: 1 << 62, Prompt: 300, Workspace: "workspace-17",
	}
}

func newWorkspaces(n int) *resource.View {
	v := resource.NewView()
	for i := range n {
		s, _ := json.Marshal(resource.WorkspaceSpec{KeyHashes: []string{resource.HashKey(fmt.Sprint(i))}, Priority: "counter", Weight: 1})
		v.Apply([]resource.Change{{Revision: int64(i + 1), Resource: &resource.Resource{
			Kind: resource.KindWorkspace, Metadata: resource.Metadata{Generation: 1, Name: fmt.Sprintf("workspace-%d", i), ResourceVersion: fmt.Sprint(i + 1)}, Spec: s,
		}}}, int64(i+1))
	}
	return v
}

// size returns the bytes of a message between boxes.
func size(v any) float64 {
	b, err := box.Encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(b))
}

func writeFrame(w io.Writer, f upstream.Frame) {
	b, _ := json.Marshal(f)
	_, _ = w.Write(sse.Append(nil, sse.Event{Data: b}))
}
