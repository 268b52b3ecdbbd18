package delivery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/metric"
	"github.com/linetiller/linetiller/internal/placement"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
	"github.com/linetiller/linetiller/internal/upstream"
)

// recordedTransport is a transport that answers every start with the same stream.
type recordedTransport struct{ stream []byte }

func (r *recordedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	var s upstream.Start
	if err := json.NewDecoder(q.Body).Decode(&s); err != nil {
		return nil, err
	}
	b := bytes.ReplaceAll(r.stream, []byte("GENERATION"), []byte(s.ID))
	return &http.Response{Body: io.NopCloser(bytes.NewReader(b)), Header: make(http.Header), StatusCode: http.StatusOK}, nil
}

// newReplayDeliverer returns a deliverer whose engine sends n tokens without delay, and a request for
// them.
func newReplayDeliverer(n int) (*Deliverer, *Request) {
	var b []byte
	for i := range n {
		f, _ := json.Marshal(upstream.Frame{Generation: "GENERATION", Index: i, Text: " token"})
		b = sse.Append(b, sse.Event{Data: f})
	}
	f, _ := json.Marshal(upstream.Frame{Finish: "stop", Generation: "GENERATION", Index: n})
	b = sse.Append(b, sse.Event{Data: f})
	v := resource.NewView()
	v.Apply([]resource.Change{{Revision: 1, Resource: &resource.Resource{
		Kind: resource.KindUpstream, Metadata: resource.Metadata{Name: "u"},
		Spec: []byte(`{"address":"http://u","hall":"a","kvTokens":60000,"maxBatch":100,"models":["m"],"type":"engine"}`),
	}}}, 1)
	m := metric.NewSet()
	e := upstream.NewClient(time.Second, upstream.WithTransport(&recordedTransport{b}))
	d := New(e, nil, placement.NewTracker(func(*policy.Load) {}), v, m, slog.New(slog.DiscardHandler))
	d.Place = func(context.Context, *policy.Work, map[string]bool) (*placement.Place, error) {
		return &placement.Place{GrantedAt: time.Now(), Upstream: v.Upstream("u")}, nil
	}
	return d, &Request{Work: policy.Work{Deadline: time.Now().Add(time.Hour), ID: "w", MaxTokens: n, Model: "m"}}
}

// TestRelayAllocatesNothing checks that forwarding a token does not allocate. It compares a short with a
// long generation to exclude the allocations per request.
func TestRelayAllocatesNothing(t *testing.T) {
	const short, long = 1000, 11_000
	count := func(n int) float64 {
		d, q := newReplayDeliverer(n)
		return testing.AllocsPerRun(5, func() {
			if err := d.Generate(t.Context(), q, func(*Token) error { return nil }); err != nil {
				t.Fatal(err)
			}
		})
	}
	if got, want := (count(long)-count(short))/(long-short), 0.01; got > want {
		t.Errorf("allocations per token: got %.3f, want at most %.3f", got, want)
	}
}

func BenchmarkRelayToken(b *testing.B) {
	d, q := newReplayDeliverer(b.N)
	b.ReportAllocs()
	b.ResetTimer()
	if err := d.Generate(b.Context(), q, func(*Token) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
