// Package policy decides where and when generations of unknown length run.
//
// It does no I/O, reads no clock and draws no randomness of its own: time is
// passed in and hashes are seeded, so that the same code runs in a box, in
// tests and in the measurements. Lengths is safe for concurrent use; every
// other type is guarded by its caller.
package policy

import "time"

// Work describes a generation that is to be placed.
type Work struct {
	Arrived       time.Time
	Deadline      time.Time // of the whole answer
	FirstBy       time.Time // when its caller goes unless its first token has come; zero where it does not
	Hall          string    // the data hall that it should stay in; "" is that of its box
	Hint          int       // the caller's estimate of the output tokens; 0 where it has none
	ID            string
	Kind          string // what the caller calls it; "" where it does not say
	Large         bool   `cbor:",omitempty"` // its prompt is large for its kind, see Prompts
	MaxTokens     int    // output tokens at most
	Model         string
	Moved         bool      // its memory comes from another engine, so that no prompt is read
	Prefix        uint64    // key of the prompt's prefix; 0 where there is none
	PrefixTokens  int       // tokens of that prefix
	Priority      int       // higher goes first
	Prompt        int       // prompt tokens
	RoutePriority int       // of its route, among work of one priority; higher goes first
	TargetAt      time.Time // when its first token is wanted, after which the answer is late; zero where nothing says so
	Weight        float64
	Workspace     string
}

// Capacity describes an engine.
type Capacity struct {
	CopyTimePerToken   time.Duration // that copying a token of memory to another engine of its hall takes; 0 where it cannot
	KVTokens           int           // memory for prompts and outputs, in tokens
	MaxBatch           int           // generations in one batch at most
	MaxStartsPerSecond float64       // generations that are started in any second at most; 0 is no bound
	MaxPrefillTokens   int           // tokens of prompts that are read at once at most, unless of one prompt alone; 0 is no bound
}

// Report is what an engine last told of itself; it is late.
type Report struct {
	AsOf        time.Time
	Preemptions int64
	Running     int
	StepSeconds float64
	UsedTokens  int // tokens of memory
	Waiting     int
}

// Verdict is an owner's answer to a request for a place.
type Verdict string

// The verdicts.
const (
	VerdictQueue  Verdict = "queue"
	VerdictRefuse Verdict = "refuse"
	VerdictStart  Verdict = "start"
)

// Reason tells why work was refused or tried again; each has a counter.
type Reason string

// The reasons.
const (
	ReasonDeadline    Reason = "deadline"     // its deadline can no longer be met
	ReasonEvacuated   Reason = "evacuated"    // the upstream's hall is evacuated
	ReasonLate        Reason = "late"         // its target can no longer be met, and work waits there that can meet its own
	ReasonLeaving     Reason = "leaving"      // the upstream gets no new work
	ReasonLimited     Reason = "limited"      // the upstreams accept no more requests a second
	ReasonMoved       Reason = "moved"        // the upstream has another owner now; ask there
	ReasonNoUpstream  Reason = "no_upstream"  // no upstream runs the model
	ReasonQueueFull   Reason = "queue_full"   // too much waits already
	ReasonResting     Reason = "resting"      // the upstream wants nothing from this box for a time
	ReasonRetryBudget Reason = "retry_budget" // too many retries of late
	ReasonTooLarge    Reason = "too_large"    // the prompt fits no upstream
)

// Answer is what became of one piece of work at its owner.
type Answer struct {
	ID      string
	Reason  Reason    // of a refusal
	RetryAt time.Time // of a refusal: when to come back
	ShortOf Shortage  `cbor:",omitempty"` // of a refusal of work that waited
	Verdict Verdict
}

// Shortage is what work lacked to start at an upstream.
type Shortage string

// The shortages.
const (
	ShortageBatch   Shortage = "batch"   // as many generations run as keep the time between tokens
	ShortageMemory  Shortage = "memory"  // the forecast of what runs leaves no room for it
	ShortagePrefill Shortage = "reading" // too many prompts are being read
	ShortageReport  Shortage = "report"  // the upstream gets nothing new, or what it runs isn't known yet
	ShortageStalled Shortage = "stalled" // generations there stand still
	ShortageStarts  Shortage = "starts"  // as many started within a second as a cold engine bears
	ShortageTurn    Shortage = "turn"    // other work goes first
)

// Load is what an owner tells of its upstream with every answer.
type Load struct {
	// Backlog is the backlog that stands before new work of each class, in seconds
	// of the engine's time.
	Backlog       [Classes]float64 `cbor:"2,keyasint"`
	AsOf          time.Time        `cbor:"1,keyasint"`
	StartedAtMS   int64            `cbor:"8,keyasint,omitempty"` // when the upstream started, in Unix milliseconds; 0 where that is not told
	UsedTokens    int              `cbor:"6,keyasint"`           // tokens of memory that known generations hold
	Leaving       bool             `cbor:"5,keyasint,omitempty"` // the upstream told that it is leaving
	PeakShare     float64          `cbor:"3,keyasint"`           // predicted peak of memory over capacity
	PrefillTokens int              `cbor:"7,keyasint,omitempty"` // tokens of prompts that are being read
	Upstream      string           `cbor:"4,keyasint"`
}

// Classes is the number of classes of work by its cost.
const Classes = 10

// classMaxCosts are the costs, in seconds of an engine's time, up to which work is
// of a class: each is twice the one before.
var classMaxCosts = [Classes]float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 1e9}

func costClass(cost float64) int {
	c := 0
	for c < Classes-1 && cost > classMaxCosts[c] {
		c++
	}
	return c
}

// prefillSecondsPerToken is the time that an engine takes to read a token of a prompt between the
// tokens of the generations that run: an engine that reads 14 a millisecond alone
// reads 7.5 so, as measured under load.
const prefillSecondsPerToken = 1.0 / 7500

// DefaultStepSeconds stands in for a step time that was not reported yet.
const DefaultStepSeconds = 0.03

// evacuatedRetryDelay is when a caller may come back where the only upstreams left are those of
// evacuated halls: an evacuation lasts seconds at least.
const evacuatedRetryDelay = time.Second

// ClosedRetryAt returns when work that an upstream does not take for a reason of its own may
// come back: at once where another upstream takes it.
func ClosedRetryAt(r Reason, now time.Time) time.Time {
	if r == ReasonEvacuated {
		return now.Add(evacuatedRetryDelay)
	}
	return now
}

// Run describes a running generation that is to be moved to another upstream.
type Run struct {
	Deadline time.Time // of the whole answer
	ID       string
	Kind     string
	Left     int // output tokens expected still to come
	Model    string
	Priority int
	Tokens   int // of memory
}
