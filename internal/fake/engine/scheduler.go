// Package engine is a small fake of a model engine: continuous batching, a limited KV cache, a
// prefix cache, priorities, preemption, cancellation, resumption and a load report that lags.
//
// Scheduler makes the engine's decisions without I/O or a clock, so that the fake process and the
// simulations run the same code.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// Settings describes an engine.
type Settings struct {
	KVTokens        int           // KV cache for prompts and outputs, in tokens
	MaxRunning      int           // maximum number of generations in a batch
	PrefillChunk    int           // maximum number of prompt tokens computed in one step
	PrefixSlots     int           // number of prefixes that the cache holds
	PrefillPerToken time.Duration // duration per prompt token computed
	StepBase        time.Duration // fixed duration of a step
	StepPerSequence time.Duration // duration per step for each generation in the batch
}

// Generation is one request to generate tokens.
type Generation struct {
	Arrival         int64 // order of arrival, from 1
	UserData        any   // for the caller of Submit; not used by the scheduler
	ID              string
	MaxOutputTokens int    // maximum number of output tokens
	OutputTokens    int    // output tokens after which it ends by itself
	Prefix          uint64 // key of its prompt's prefix; 0 is not cached
	Priority        int    // higher goes first
	ProducedTokens  int    // output tokens so far
	PromptTokens    int    // prompt tokens

	prefillTokens int // tokens still to be computed before the next output token, after a preemption including earlier output
	state         State
}

// State is the state of a generation in the engine.
type State string

// The states of a generation.
const (
	StateFinished State = "finished"
	StateRunning  State = "running"
	StateWaiting  State = "waiting"
)

// Scheduler decides what an engine computes in each step. It is not safe for concurrent use.
type Scheduler struct {
	Preemptions int64
	UsedTokens  int // tokens of the KV cache in use

	arrivals int64
	byID     map[string]*Generation
	prefixes []uint64 // most recently used last
	running  []*Generation
	settings Settings
	waiting  []*Generation // in the order in which they start
}

// cachedShare is the share of a prompt that a cached prefix covers.
const cachedShare = 0.5

// DefaultSettings returns a small engine whose KV cache fills up before its batch does.
func DefaultSettings() Settings {
	return Settings{
		KVTokens:        60_000,
		MaxRunning:      256,
		PrefillChunk:    1024,
		PrefixSlots:     64,
		PrefillPerToken: 10 * time.Microsecond,
		StepBase:        15 * time.Millisecond,
		StepPerSequence: 250 * time.Microsecond,
	}
}

// NewScheduler returns an idle scheduler.
func NewScheduler(s Settings) *Scheduler {
	return &Scheduler{byID: make(map[string]*Generation), settings: s}
}

// Cancel removes a generation and reports whether it existed.
func (s *Scheduler) Cancel(id string) bool {
	g := s.byID[id]
	if g == nil {
		return false
	}
	delete(s.byID, id)
	if g.state == StateRunning {
		s.running = slices.DeleteFunc(s.running, func(x *Generation) bool { return x == g })
		s.UsedTokens -= g.kvTokens()
		return true
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *Generation) bool { return x == g })
	return true
}

// Each calls f with every running and waiting generation.
func (s *Scheduler) Each(f func(g *Generation)) {
	for _, g := range s.running {
		f(g)
	}
	for _, g := range s.waiting {
		f(g)
	}
}

// Idle reports whether no generation runs or waits.
func (s *Scheduler) Idle() bool {
	return len(s.byID) == 0
}

// RunningCount returns how many generations are in the batch.
func (s *Scheduler) RunningCount() int {
	return len(s.running)
}

// Step computes one step: it starts the waiting generations that fit, preempts running ones that
// no longer fit, and passes each generation that produced a token to emit. It returns the duration
// of the step.
func (s *Scheduler) Step(emit func(g *Generation, finished bool)) time.Duration {
	s.admit()
	s.preempt()
	prefilled := s.prefill()
	d := s.settings.StepBase +
		time.Duration(len(s.running))*s.settings.StepPerSequence +
		time.Duration(prefilled)*s.settings.PrefillPerToken
	s.decode(emit)
	return d
}

// Submit enqueues a generation. It reports false if the ID is in use or the prompt is larger than
// the KV cache.
func (s *Scheduler) Submit(g *Generation) bool {
	if s.byID[g.ID] != nil || g.PromptTokens+1 > s.settings.KVTokens {
		return false
	}
	s.arrivals++
	g.Arrival = s.arrivals
	g.prefillTokens = g.PromptTokens
	if s.touchPrefix(g.Prefix) {
		g.prefillTokens = int(float64(g.PromptTokens) * (1 - cachedShare))
	}
	g.state = StateWaiting
	s.byID[g.ID] = g
	s.insertWaiting(g)
	return true
}

// WaitingCount returns how many generations wait, including preempted ones.
func (s *Scheduler) WaitingCount() int {
	return len(s.waiting)
}

// admit starts waiting generations in order, as long as the next one fits.
func (s *Scheduler) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.settings.MaxRunning {
		g := s.waiting[0]
		if s.UsedTokens+g.kvTokens()+1 > s.settings.KVTokens {
			return
		}
		s.waiting = s.waiting[1:]
		s.UsedTokens += g.kvTokens()
		g.state = StateRunning
		s.running = append(s.running, g)
	}
}

// decode produces one output token for each running generation whose prompt is computed, and removes the
// generations that are finished.
func (s *Scheduler) decode(emit func(g *Generation, finished bool)) {
	remaining := s.running[:0]
	for _, g := range s.running {
		if g.prefillTokens > 0 {
			remaining = append(remaining, g)
			continue
		}
		g.ProducedTokens++
		s.UsedTokens++
		if done := g.ProducedTokens >= min(g.OutputTokens, g.MaxOutputTokens); done {
			s.UsedTokens -= g.kvTokens()
			g.state = StateFinished
			delete(s.byID, g.ID)
			emit(g, true)
			continue
		}
		remaining = append(remaining, g)
		emit(g, false)
	}
	clear(s.running[len(remaining):])
	s.running = remaining
}

// insertWaiting inserts g into the queue, which is ordered by priority, then by arrival.
func (s *Scheduler) insertWaiting(g *Generation) {
	i, _ := slices.BinarySearchFunc(s.waiting, g, func(a, b *Generation) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Arrival, b.Arrival))
	})
	s.waiting = slices.Insert(s.waiting, i, g)
}

// preempt returns running generations to the queue, lowest priority and newest first, until one
// more token for each running generation fits.
func (s *Scheduler) preempt() {
	for len(s.running) > 1 && s.UsedTokens+len(s.running) > s.settings.KVTokens {
		v := 0
		for i, g := range s.running {
			w := s.running[v]
			if g.Priority < w.Priority || (g.Priority == w.Priority && g.Arrival > w.Arrival) {
				v = i
			}
		}
		g := s.running[v]
		s.running = slices.Delete(s.running, v, v+1)
		s.UsedTokens -= g.kvTokens()
		s.Preemptions++
		g.prefillTokens = g.kvTokens()
		g.state = StateWaiting
		s.insertWaiting(g)
	}
}

// prefill computes up to PrefillChunk prompt tokens, in batch order, and returns how many it
// computed.
func (s *Scheduler) prefill() int {
	budget := s.settings.PrefillChunk
	for _, g := range s.running {
		n := min(budget, g.prefillTokens)
		g.prefillTokens -= n
		budget -= n
		if budget == 0 {
			break
		}
	}
	return s.settings.PrefillChunk - budget
}

// touchPrefix reports whether p is cached, and makes it the most recently used prefix.
func (s *Scheduler) touchPrefix(p uint64) bool {
	if p == 0 {
		return false
	}
	i := slices.Index(s.prefixes, p)
	if i >= 0 {
		s.prefixes = append(slices.Delete(s.prefixes, i, i+1), p)
		return true
	}
	s.prefixes = append(s.prefixes, p)
	if len(s.prefixes) > s.settings.PrefixSlots {
		s.prefixes = s.prefixes[1:]
	}
	return false
}

// kvTokens returns how many tokens of the KV cache g occupies while it runs.
func (g *Generation) kvTokens() int {
	return g.PromptTokens + g.ProducedTokens
}
