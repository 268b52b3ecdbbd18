package budget

import (
	"testing"
	"time"
)

// TestTriesAreBoundedInEveryWindow takes as many retries as possible every 10 ms, and compares their
// number in every window with what the requests allow.
func TestTriesAreBoundedInEveryWindow(t *testing.T) {
	const ratio, extra, boxes, window, step = 0.2, 40, 4, 10 * time.Second, 10 * time.Millisecond
	b, start := New(ratio, extra, window, func() int { return boxes }), time.Unix(1000, 0)
	var retries, requests []int // by step
	for i := range 4000 {
		now, n := start.Add(time.Duration(i)*step), 0
		if i%4 == 0 && (i < 1500 || i > 3000) { // callers pause for a window and a half
			b.RecordRequest("s", now)
			n = 1
		}
		requests = append(requests, n)
		taken := 0
		for b.Take("s", now) {
			taken++
		}
		retries = append(retries, taken)
	}
	steps := int(window / step)
	for from := 0; from+steps <= len(retries); from++ {
		retryCount, requestCount := 0, 0
		for i := from; i < from+steps; i++ {
			retryCount += retries[i]
			requestCount += requests[i]
		}
		// The limit also allows for the requests of the preceding window.
		for i := max(0, from-steps); i < from; i++ {
			requestCount += requests[i]
		}
		if maxRetries := ratio*float64(requestCount) + extra/boxes; float64(retryCount) > maxRetries {
			t.Fatalf("window from step %d: got %d retries, want at most %v", from, retryCount, maxRetries)
		}
	}
	if !b.Take("another", start) {
		t.Error("another service: got no retry, want one from its own budget")
	}
}

// TestSpentTriesCount checks that retries that were made regardless of the budget reduce it, and
// that a change of the window's length discards the counts.
func TestSpentTriesCount(t *testing.T) {
	b, now := New(0, 10, 10*time.Second, func() int { return 1 }), time.Unix(1000, 0)
	for range 7 {
		b.RecordRetry("s", now)
	}
	if b.Take("s", now) {
		t.Error("after all seven usable retries: got one more, want none")
	}
	b.Configure(0, 10, 5*time.Second)
	if !b.Take("s", now) {
		t.Error("after the window changed: got no retry, want one")
	}
}
