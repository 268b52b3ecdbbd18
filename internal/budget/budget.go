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
	boxes  func() int       // that share the extra
	extra  float64          // tries in any window, of all boxes
	mutex  sync.Mutex       // guards all but boxes
	ratio  float64          // of tries to requests
	spans  map[string]*span // by service
	start  time.Time        // from which slices are counted
	window time.Duration
}

// span counts one service's requests and tries in slices of a window.
type span struct {
	requests [slices]int
	slice    int64 // the number of the newest slice
	tries    [slices]int
}

const (
	// margin is the share of what is allowed that is used: windows by which
	// tries are judged do not begin with ours, and boxes may be more than this one
	// knows.
	margin = 0.7
	// slices is how many slices a window slides by.
	slices = 10
)

// New returns a budget of a ratio of the requests and some extra tries in any window, which
// so many boxes share.
func New(ratio float64, extra float64, window time.Duration, boxes func() int) *Budget {
	return &Budget{boxes: boxes, extra: extra, ratio: ratio, spans: make(map[string]*span), window: window}
}

// at returns a service's span, slid to now; the lock is held.
func (b *Budget) at(service string, now time.Time) *span {
	if b.start.IsZero() {
		b.start = now
	}
	slice := int64(max(0, now.Sub(b.start)) / max(1, b.window/slices))
	s := b.spans[service]
	if s == nil {
		s = &span{slice: slice}
		b.spans[service] = s
	}
	for n := min(slice-s.slice, slices); n > 0; n-- {
		s.slice = slice - n + 1
		s.requests[s.slice%slices] = 0
		s.tries[s.slice%slices] = 0
	}
	return s
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	s.requests[s.slice%slices]++
}

// Set changes what is allowed; what was counted stays, unless the window changes.
func (b *Budget) Set(ratio float64, extra float64, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.extra = ratio, extra
	if b.window != window {
		b.window = window
		clear(b.spans)
	}
}

// Spend counts a try that has to be made whatever is left.
func (b *Budget) Spend(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	s.tries[s.slice%slices]++
}

// Take takes one try and reports whether there was one.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	requests, tries := 0, 0
	for i := range slices {
		requests += s.requests[i]
		tries += s.tries[i]
	}
	allowed := margin * (b.ratio*float64(requests) + b.extra/float64(max(1, b.boxes())))
	if float64(tries+1) > allowed {
		return false
	}
	s.tries[s.slice%slices]++
	return true
}
