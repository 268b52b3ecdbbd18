package relay

import (
	"sync"
	"time"
)

// budget bounds the tries beyond the first of each request, for each service,
// in any window. It is one box's share of what all boxes may spend: a share of
// its own requests, and its part of the fixed extra.
type budget struct {
	boxes  func() int       // that share the extra
	extra  int              // tries in any window, of all boxes
	mutex  sync.Mutex       // guards all but boxes
	ratio  float64          // of tries to requests
	spans  map[string]*span // by service
	window time.Duration
}

// span counts one service's requests and tries in slices of a window.
type span struct {
	requests [budgetSlices]int
	slice    int64 // the number of the newest slice
	tries    [budgetSlices]int
}

const (
	// budgetMargin is the share of what is allowed that is used: windows by which
	// tries are judged do not begin with ours, and boxes may be more than this one
	// knows.
	budgetMargin = 0.7
	// budgetSlices is how many slices a window slides by.
	budgetSlices = 10
)

func newBudget(ratio float64, extra int, window time.Duration, boxes func() int) *budget {
	return &budget{boxes: boxes, extra: extra, ratio: ratio, spans: make(map[string]*span), window: window}
}

// at returns a service's span, slid to now; the lock is held.
func (b *budget) at(service string, now time.Time) *span {
	slice := now.UnixNano() / int64(b.window/budgetSlices)
	s := b.spans[service]
	if s == nil {
		s = &span{slice: slice}
		b.spans[service] = s
	}
	for n := min(slice-s.slice, budgetSlices); n > 0; n-- {
		s.slice = slice - n + 1
		s.requests[s.slice%budgetSlices] = 0
		s.tries[s.slice%budgetSlices] = 0
	}
	return s
}

// request counts a request for a service.
func (b *budget) request(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	s.requests[s.slice%budgetSlices]++
}

// set changes what is allowed; what was counted stays, unless the window changes.
func (b *budget) set(ratio float64, extra int, window time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.extra = ratio, extra
	if b.window != window {
		b.window = window
		clear(b.spans)
	}
}

// spend counts a try that has to be made whatever is left.
func (b *budget) spend(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	s.tries[s.slice%budgetSlices]++
}

// take takes one try and reports whether there was one.
func (b *budget) take(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.at(service, now)
	requests, tries := 0, 0
	for i := range budgetSlices {
		requests += s.requests[i]
		tries += s.tries[i]
	}
	allowed := budgetMargin * (b.ratio*float64(requests) + float64(b.extra)/float64(max(1, b.boxes())))
	if float64(tries+1) > allowed {
		return false
	}
	s.tries[s.slice%budgetSlices]++
	return true
}
