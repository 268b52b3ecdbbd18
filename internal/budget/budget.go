// Package budget bounds the tries beyond the first of each request. It does no I/O and
// reads no clock.
package budget

import (
	"sync"
	"time"
)

// Budget bounds the tries beyond the first of each request, for each service,
// in any window. It is one box's share of what all boxes may spend: a share of
// its own requests, and its part of the fixed extra.
type Budget struct {
	boxes   func() int                // that share the extra
	extra   float64                   // tries in any window, of all boxes
	mutex   sync.Mutex                // guards all but boxes
	ratio   float64                   // of tries to requests
	windows map[string]*slidingWindow // by service
	start   time.Time                 // from which slices are counted
	window  time.Duration
}

// slidingWindow counts one service's requests and tries in slices of a window.
type slidingWindow struct {
	requests [slotCount]int
	newest   int64 // the number of the newest slice
	retries  [slotCount]int
}

const (
	// usableShare is the share of what is allowed that is used: windows by which
	// tries are judged do not begin with ours, and boxes may be more than this one
	// knows.
	usableShare = 0.7
	// slotCount is how many slices a window slides by.
	slotCount = 10
)

// New returns a budget of a ratio of the requests and some extra tries in any window, which
// so many boxes share.
func New(ratio float64, extra float64, window time.Duration, boxes func() int) *Budget {
	return &Budget{boxes: boxes, extra: extra, ratio: ratio, windows: make(map[string]*slidingWindow), window: window}
}

// windowOf returns a service's span, slid to now; the lock is held.
func (b *Budget) windowOf(service string, now time.Time) *slidingWindow {
	if b.start.IsZero() {
		b.start = now
	}
	slot := int64(max(0, now.Sub(b.start)) / max(1, b.window/slotCount))
	s := b.windows[service]
	if s == nil {
		s = &slidingWindow{newest: slot}
		b.windows[service] = s
	}
	for n := min(slot-s.newest, slotCount); n > 0; n-- {
		s.newest = slot - n + 1
		s.requests[s.newest%slotCount] = 0
		s.retries[s.newest%slotCount] = 0
	}
	return s
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	s.requests[s.newest%slotCount]++
}

// Configure changes what is allowed; what was counted stays, unless the window changes.
func (b *Budget) Configure(ratio float64, extra float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.extra = ratio, extra
	if b.window != window {
		b.window = window
		clear(b.windows)
	}
}

// CountRetry counts a try that has to be made whatever is left.
func (b *Budget) CountRetry(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	s.retries[s.newest%slotCount]++
}

// Take takes one try and reports whether there was one.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	requests, retries := 0, 0
	for i := range slotCount {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	allowed := usableShare * (b.ratio*float64(requests) + b.extra/float64(max(1, b.boxes())))
	if float64(retries+1) > allowed {
		return false
	}
	s.retries[s.newest%slotCount]++
	return true
}
