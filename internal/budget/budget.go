// Package budget limits the retries of requests. It does no I/O and reads no clock. A box has one
// Budget, which everything that retries requests at upstreams shares.
package budget

import (
	"slices"
	"sync"
	"time"
)

// Budget limits the retries for each service, or model, in any window of time. It holds one box's
// share of the retries that all boxes may make: a ratio of the box's own requests, plus an equal part
// of a fixed number of extra retries. It is safe for concurrent use.
type Budget struct {
	boxes   func() int                // number of boxes
	counts  boxCounts                 // of boxes in the current window
	extra   float64                   // extra retries per window, of all boxes together
	mutex   sync.Mutex                // guards all fields but boxes
	ratio   float64                   // retries per request
	windows map[string]*slidingWindow // by service
	start   time.Time                 // begin of slot 0: when the process started or the window changed
	window  time.Duration
}

// boxCounts holds the highest number of boxes in each time slot of a window. Boxes that have left
// count, too: they may have used their share of the extra retries.
type boxCounts struct {
	counts [ringSize]int
	newest int64 // number of the newest slot
}

// Usage is the usage of one service's budget in the window that ends now, at one box.
type Usage struct {
	Allowed  float64 // retries that this box may make
	Boxes    int     // number of boxes that share the extra retries, the highest in the window
	Requests int     // requests for the service
	Retries  int     // retries made
}

// slidingWindow counts one service's requests and retries, in a ring of time slots. The newest slot is
// incomplete, so that the ring has one more than a window.
type slidingWindow struct {
	requests [ringSize]int
	newest   int64 // number of the newest slot
	retries  [ringSize]int
}

const (
	// usableShare is the share of the allowed retries that is used. The rest is a margin for
	// startShare and for boxes that are not yet in this box's list.
	usableShare = 0.7
	// startShare is the share that a process uses until it has run for a whole window. An earlier
	// process of the same box may have used usableShare in that window.
	startShare = 0.2
	// slotCount is the number of time slots of a window.
	slotCount = 10
	ringSize  = slotCount + 1
)

// New returns a budget for a process that starts now. It allows, in any window, ratio retries per
// request plus this box's part of the extra retries. The function boxes returns how many boxes share
// these.
func New(ratio float64, extra float64, window time.Duration, boxes func() int, now time.Time) *Budget {
	return &Budget{boxes: boxes, extra: extra, ratio: ratio, start: now, windows: make(map[string]*slidingWindow), window: window}
}

// NewDefault returns a budget for a process that starts now and is the only one: it allows a retry for
// every five requests in 10 s.
func NewDefault(now time.Time) *Budget {
	return New(0.2, 0, 10*time.Second, func() int { return 1 }, now)
}

// Configure changes the limits. Past requests and retries still count. If the window changes, their
// slots no longer fit, and the budget allows as little as after a start.
func (b *Budget) Configure(ratio float64, extra float64, window time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.extra = ratio, extra
	if b.window != window {
		b.start, b.window = now, window
		b.counts = boxCounts{}
		clear(b.windows)
	}
}

// HasRoom reports whether one more retry is left.
func (b *Budget) HasRoom(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.usage(b.windowOf(service, now), now).hasRoom()
}

// Postpone charges a retry that was taken at takenAt as of now instead. A retry counts when it is sent,
// which may be long after it was taken.
func (b *Budget) Postpone(service string, takenAt, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	if old := b.slotAt(takenAt); old > s.newest-ringSize && s.retries[old%ringSize] > 0 {
		s.retries[old%ringSize]--
	}
	s.retries[s.newest%ringSize]++
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	s.requests[s.newest%ringSize]++
}

// RecordRetry counts a retry that must be made even if the budget is exhausted.
func (b *Budget) RecordRetry(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	s.retries[s.newest%ringSize]++
}

// Take takes one retry from the budget and reports whether one was left.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.windowOf(service, now)
	if !b.usage(s, now).hasRoom() {
		return false
	}
	s.retries[s.newest%ringSize]++
	return true
}

// Usage returns the usage of a service's budget.
func (b *Budget) Usage(service string, now time.Time) Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.usage(b.windowOf(service, now), now)
}

// slotAt returns the number of the slot that contains t.
func (b *Budget) slotAt(t time.Time) int64 {
	return int64(max(0, t.Sub(b.start)) / max(1, b.window/slotCount))
}

// usage returns the usage of the budget in a window that ends now. The caller holds the mutex.
func (b *Budget) usage(s *slidingWindow, now time.Time) Usage {
	u := Usage{Boxes: b.counts.highest()}
	for i := range ringSize {
		u.Retries += s.retries[i]
		if int64(i) != (s.newest+1)%ringSize { // the oldest slot began more than a window ago
			u.Requests += s.requests[i]
		}
	}
	share, extra := usableShare, b.extra/float64(u.Boxes)
	if age := now.Sub(b.start); age < b.window {
		share = startShare
		extra *= float64(age) / float64(b.window)
	}
	u.Allowed = share * (b.ratio*float64(u.Requests) + extra)
	return u
}

// hasRoom reports whether one more retry is allowed.
func (u Usage) hasRoom() bool {
	return float64(u.Retries+1) <= u.Allowed
}

// windowOf returns a service's window after advancing it to now. It also records the number of boxes.
// The caller holds the mutex.
func (b *Budget) windowOf(service string, now time.Time) *slidingWindow {
	slot := b.slotAt(now)
	b.counts.record(slot, b.boxes())
	s := b.windows[service]
	if s == nil {
		s = &slidingWindow{newest: slot}
		b.windows[service] = s
	}
	for n := min(slot-s.newest, ringSize); n > 0; n-- {
		s.newest = slot - n + 1
		s.requests[s.newest%ringSize] = 0
		s.retries[s.newest%ringSize] = 0
	}
	return s
}

// highest returns the highest number of boxes in the window, at least 1.
func (c *boxCounts) highest() int {
	return max(1, slices.Max(c.counts[:]))
}

// record records the number of boxes in a slot.
func (c *boxCounts) record(slot int64, n int) {
	for i := min(slot-c.newest, ringSize); i > 0; i-- {
		c.newest = slot - i + 1
		c.counts[c.newest%ringSize] = 0
	}
	c.counts[c.newest%ringSize] = max(c.counts[c.newest%ringSize], n)
}
