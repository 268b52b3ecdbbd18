package linetiller_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/client"
	"github.com/linetiller/linetiller/internal/resource"
	"github.com/linetiller/linetiller/internal/sse"
	"github.com/linetiller/linetiller/internal/upstream"
)

const (
	benchStreams = 32  // concurrent streams, and sequential requests
	benchTokens  = 500 // per stream
)

// unpacedEngine returns an engine stand-in that sends up to benchTokens tokens per generation as
// fast as it can.
func unpacedEngine() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.Load{AsOf: time.Now(), Instance: "i", KVTokens: 1 << 24, StepMicros: 1000})
	})
	m.HandleFunc("POST /v1/generations", func(w http.ResponseWriter, r *http.Request) {
		var s upstream.Start
		_ = json.NewDecoder(r.Body).Decode(&s)
		c := http.NewResponseController(w)
		for i := range min(s.MaxTokens, benchTokens) {
			b, _ := json.Marshal(upstream.Frame{Generation: s.ID, Index: i, Text: " token"})
			_, _ = w.Write(sse.Append(nil, sse.Event{Data: b}))
			_ = c.Flush()
		}
		b, _ := json.Marshal(upstream.Frame{Finish: "stop", Generation: s.ID, Index: min(s.MaxTokens, benchTokens)})
		_, _ = w.Write(sse.Append(nil, sse.Event{Data: b}))
	})
	return m
}

// BenchmarkBoxAgainstDirect compares requests through one box with requests sent directly to the
// engine stand-in, in one run: the tokens per second of concurrent streams, and the time of a
// request for one token. It reports their ratios.
func BenchmarkBoxAgainstDirect(b *testing.B) {
	h := newHall(b, 1, 1)
	h.serve("fast", unpacedEngine())
	h.apply(newResource(resource.KindModel, "fast", resource.ModelSpec{MaxTokens: 1 << 19}))
	h.apply(newResource(resource.KindUpstream, "fast", resource.UpstreamSpec{
		Address: h.servers["fast"].URL, Hall: "upperhill-a", KVTokens: 1 << 24, MaxBatch: 1024, Models: []string{"fast"}, Type: resource.UpstreamEngine,
	}))
	time.Sleep(time.Second)
	transport := &http.Transport{MaxIdleConnsPerHost: benchStreams}
	direct := func(tokens int) error {
		body := fmt.Sprintf(`{"id":"%d","maxTokens":%d,"model":"fast"}`, time.Now().UnixNano(), tokens)
		w, err := (&http.Client{Transport: transport}).Post(h.servers["fast"].URL+"/v1/generations", "application/json", strings.NewReader(body))
		if err != nil {
			return err
		}
		defer func() { _ = w.Body.Close() }()
		r := sse.NewReader(w.Body)
		for {
			if _, err := r.Next(); err != nil {
				return nil //nolint:nilerr // The end of the stream.
			}
		}
	}
	box := func(tokens int) error {
		g := h.client(0)
		g.HTTP = &http.Client{Transport: transport}
		_, _, err := g.Run(b.Context(), &client.GenerationRequest{MaxTokens: tokens, Model: "fast", Prompt: "x"})
		return err
	}
	concurrent := func(f func(int) error) time.Duration {
		began := time.Now()
		var g sync.WaitGroup
		for range benchStreams {
			g.Go(func() {
				if err := f(benchTokens); err != nil {
					b.Error(err)
				}
			})
		}
		g.Wait()
		return time.Since(began)
	}
	sequential := func(f func(int) error) time.Duration {
		began := time.Now()
		for range benchStreams {
			if err := f(1); err != nil {
				b.Error(err)
			}
		}
		return time.Since(began) / benchStreams
	}
	var concurrentBox, concurrentDirect, sequentialBox, sequentialDirect time.Duration
	n := 0
	for b.Loop() {
		concurrentDirect += concurrent(direct)
		concurrentBox += concurrent(box)
		sequentialDirect += sequential(direct)
		sequentialBox += sequential(box)
		n++
	}
	b.ReportMetric(float64(concurrentDirect)/float64(concurrentBox), "tokens/s-ratio")
	b.ReportMetric(float64(n*benchStreams*benchTokens)/concurrentBox.Seconds(), "tokens/s-box")
	b.ReportMetric(float64((sequentialBox-sequentialDirect).Microseconds())/float64(n), "added-µs/request")
	b.ReportMetric(float64(sequentialBox)/float64(sequentialDirect), "request-time-ratio")
}
