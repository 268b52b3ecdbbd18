package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func testWork(id string) *Work {
	return &Work{
		Arrived: time.Unix(1000, 0), Deadline: time.Unix(1600, 0), ID: id, Kind: "quote", MaxTokens: 4096, Model: "m", Prompt: 100, Workspace: "w",
	}
}

// TestBucketsCoverEveryToken checks that there are no gaps between buckets.
func TestBucketsCoverEveryToken(t *testing.T) {
	for b := range buckets - 1 {
		if got, want := bucketOf(bucketStart(b)), b; got != want {
			t.Fatalf("bucket of %d: got %d, want %d", bucketStart(b), got, want)
		}
		if got, want := bucketOf(bucketStart(b+1)-1), b; got != want {
			t.Fatalf("bucket of %d: got %d, want %d", bucketStart(b+1)-1, got, want)
		}
	}
}

// TestLengthsCountRunningGenerations checks that estimates are not biased towards short outputs
// because long generations have not ended yet. The mean of the ended generations alone is 50.
func TestLengthsCountRunningGenerations(t *testing.T) {
	l := NewLengths()
	k := KeyOf(testWork("a"))
	for range 200 {
		l.Observe(k, 0, 50, true)
		l.Observe(k, 0, 2000, false) // still running
	}
	if got := l.estimate(k, 100, 4096).tokens; got < 1000 {
		t.Errorf("expected tokens: got %.0f, want at least 1000", got)
	}
}

// TestLengthsAgainstExactMean compares the learned mean with that of the observed lengths, and the
// probability of continuing at a given age.
func TestLengthsAgainstExactMean(t *testing.T) {
	l := NewLengths()
	k := KeyOf(testWork("a"))
	r := rand.New(rand.NewPCG(1, 2))
	var drawn []int
	for range 3000 {
		n := max(1, int(400*math.Exp(0.6*r.NormFloat64())))
		drawn = append(drawn, n)
		l.Observe(k, 0, n, true)
	}
	want := 0.0
	for _, n := range drawn {
		want += float64(n)
	}
	want /= float64(len(drawn))
	if got := l.estimate(k, 100, 1<<16).tokens; math.Abs(got-want) > 0.05*want {
		t.Errorf("mean: got %.0f, want %.0f within 5%%", got, want)
	}
	running, total := 0.0, 0.0
	for _, n := range drawn {
		if n > 512 {
			total++
			if n > 1024 {
				running++
			}
		}
	}
	f := l.forecast(k, 0, 512, 1<<16)
	if got, want := f.mean[5]/(512+512), running/total; math.Abs(got-want) > 0.05 {
		t.Errorf("probability of reaching 1024 tokens from 512: got %.2f, want %.2f within 0.05", got, want)
	}
}

// TestLengthsFollowDrift checks that estimates follow outputs whose length doubles.
func TestLengthsFollowDrift(t *testing.T) {
	l := NewLengths()
	k := KeyOf(testWork("a"))
	for range 5000 {
		l.Observe(k, 0, 200, true)
	}
	before := l.estimate(k, 100, 4096).tokens
	for range 2000 {
		l.Observe(k, 0, 400, true)
	}
	after := l.estimate(k, 100, 4096).tokens
	if got, want := after, 1.6*before; got < want {
		t.Errorf("expected tokens after doubling: got %.0f, want at least %.0f", got, want)
	}
}

// TestLengthsLeanOnCoarserKeys checks that a new workspace gets the estimates of the others.
func TestLengthsLeanOnCoarserKeys(t *testing.T) {
	l := NewLengths()
	w := testWork("a")
	for range 500 {
		l.Observe(KeyOf(w), 0, 1000, true)
	}
	w.Workspace = "never seen"
	if got := l.estimate(KeyOf(w), 100, 4096).tokens; got < 700 || got > 1300 {
		t.Errorf("expected tokens: got %.0f, want about 1000", got)
	}
}

// TestLengthsBoundMemory checks that the number of keys is bounded, however many workspaces there are.
func TestLengthsBoundMemory(t *testing.T) {
	l := NewLengths()
	w := testWork("a")
	for i := range 3 * maxLengthKeys {
		w.Workspace = string(rune(i))
		l.Observe(KeyOf(w), 0, 10, true)
	}
	if got, want := len(l.recent)+len(l.previous), 2*maxLengthKeys; got > want {
		t.Errorf("keys: got %d, want at most %d", got, want)
	}
}

func BenchmarkLengthsObserve(b *testing.B) {
	l := NewLengths()
	k := KeyOf(testWork("a"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Observe(k, i%1000, i%1000+16, false)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/16, "ns/token")
}
