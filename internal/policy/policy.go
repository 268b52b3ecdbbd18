// Package policy decides where and when generations of unknown length run.
//
// It does no I/O, reads no clock and has no random source of its own: callers pass in the time, and
// pseudo-random sequences are seeded, so that boxes, tests and simulations run the same code.
// CompletedRuns, FrequentRuns, Lengths and Quarantine are safe for concurrent use; callers must
// guard all other types.
package policy

import (
	"slices"
	"time"
)

// Work describes a generation to be placed.
type Work struct {
	Arrived       time.Time
	Deadline      time.Time // of the complete answer
	FirstBy       time.Time // when its caller gives up unless the first token has come; zero if there is no such limit
	Halls         []string  `cbor:"-"` // the only data halls in which it may run; nil stands for all
	Hall          string    // the preferred data hall; "" for that of the box that places it
	Hint          int       // the caller's estimate of the output tokens; 0 if it has none
	ID            string
	Kind          string // named by the caller; "" if it has none
	Large         bool   `cbor:",omitempty"` // its prompt is large for its kind, see Prompts
	MaxTokens     int    // upper bound of the output tokens
	Model         string
	Moved         bool      // its KV memory is copied from another engine, so that no prompt is prefilled
	NoQueue       bool      `cbor:"-"` // it is placed only where it can start at once
	Prefix        uint64    // key of the prompt's prefix; 0 if it has none
	PrefixTokens  int       // tokens of that prefix
	Priority      int       // higher goes first
	Prompt        int       // tokens of the prompt
	RoutePriority int       // of its route, ranks work of the same priority; higher goes first
	TargetAt      time.Time // when its first token is due, after which the answer is late; zero if it has no target
	Weight        float64   // of its workspace; 0 counts as 1
	Workspace     string
}

// AllowsHall reports whether the work may run in a data hall.
func (w *Work) AllowsHall(hall string) bool {
	return w.Halls == nil || slices.Contains(w.Halls, hall)
}

// Capacity describes an engine.
type Capacity struct {
	CopyTimePerToken   time.Duration // to another engine of its hall; 0 if its KV memory can not be copied
	KVTokens           int           // KV memory for prompts and outputs, in tokens
	MaxBatch           int           // generations in one batch
	MaxStartsPerSecond float64       // generations started within any second; 0 for no limit
	MaxPrefillTokens   int           // prompt tokens prefilled at once, except that one prompt may exceed it; 0 for no limit
}

// Report is the last report of an engine on itself. It is out of date by the time it arrives.
type Report struct {
	AsOf        time.Time
	Preemptions int64   // cumulative count
	Running     int     // generations
	StepSeconds float64 // duration of a step
	UsedTokens  int     // tokens of KV memory
	Waiting     int     // generations
}

// Verdict is an owner's decision on a placement request.
type Verdict string

// The verdicts.
const (
	VerdictQueue  Verdict = "queue"
	VerdictRefuse Verdict = "refuse"
	VerdictStart  Verdict = "start"
)

// Reason is why work was refused or retried. Each reason has a counter.
type Reason string

// The reasons.
const (
	ReasonDeadline     Reason = "deadline"     // it can no longer meet its deadline
	ReasonEvacuated    Reason = "evacuated"    // the upstream's hall is evacuated
	ReasonLate         Reason = "late"         // it can no longer meet its target, and other queued work can
	ReasonLeaving      Reason = "leaving"      // the upstream is leaving and takes no new work
	ReasonLimited      Reason = "limited"      // the rate limits of the upstreams are exhausted
	ReasonMemory       Reason = "memory"       // the box has no memory for the request
	ReasonOwnerChanged Reason = "moved"        // the upstream has another owner now, to which the request must be sent instead
	ReasonNoUpstream   Reason = "no_upstream"  // no upstream runs the model
	ReasonQueueFull    Reason = "queue_full"   // the queue is full
	ReasonBackOff      Reason = "resting"      // the upstream asked this box for back-off
	ReasonRegion       Reason = "region"       // no upstream of the regions to which the request is restricted takes new work
	ReasonRetryBudget  Reason = "retry_budget" // too many recent retries
	ReasonTooLarge     Reason = "too_large"    // the prompt fits no upstream
)

// Answer is an owner's answer about one piece of work.
type Answer struct {
	ID      string
	Reason  Reason    // of a refusal
	RetryAt time.Time // of a refusal: when to retry
	ShortOf Shortage  `cbor:",omitempty"` // of a refusal of queued work
	Verdict Verdict
}

// Shortage is what work lacked to start at an upstream.
type Shortage string

// The shortages.
const (
	ShortageBatch   Shortage = "batch"   // more generations in the batch would exceed the target time between tokens
	ShortageMemory  Shortage = "memory"  // the forecast of KV memory leaves no room for it
	ShortagePrefill Shortage = "reading" // too many prompt tokens are being prefilled
	ShortageReport  Shortage = "report"  // the upstream takes no new work, or its first report is still missing
	ShortageStalled Shortage = "stalled" // generations at the upstream have stalled
	ShortageStarts  Shortage = "starts"  // a cold engine could not handle more starts within this second
	ShortageRank    Shortage = "turn"    // other work ranks ahead of it
)

// Load is an owner's description of its upstream, sent along with every answer.
type Load struct {
	// Backlog is the work queued ahead of new work of each cost class, in seconds of engine time.
	Backlog       [Classes]float64 `cbor:"2,keyasint,omitzero"` // in a message left out where nothing is queued
	AsOf          time.Time        `cbor:"1,keyasint"`
	StartedAtMS   int64            `cbor:"8,keyasint,omitempty"` // when the upstream started, in Unix milliseconds; 0 if unknown
	UsedTokens    int              `cbor:"6,keyasint,omitempty"` // KV memory of known generations
	Leaving       bool             `cbor:"5,keyasint,omitempty"` // the upstream reported that it is leaving
	PeakShare     float64          `cbor:"3,keyasint,omitempty"` // predicted peak of KV memory, as a share of the capacity
	PrefillTokens int              `cbor:"7,keyasint,omitempty"` // prompt tokens being prefilled
	Upstream      string           `cbor:"4,keyasint"`
}

// Idle reports whether nothing is known to run or wait at the upstream.
func (l *Load) Idle() bool {
	return l.UsedTokens == 0 && l.PrefillTokens == 0 && l.PeakShare == 0 && l.Backlog == [Classes]float64{}
}

// Classes is the number of cost classes of work.
const Classes = 10

// classMaxCosts are the upper bounds of the cost classes, in seconds of engine time. Each class spans
// twice the cost of the one before; the last one is open.
var classMaxCosts = [Classes]float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 1e9}

// costClass returns the class of work of that cost, in seconds of engine time.
func costClass(cost float64) int {
	c := 0
	for c < Classes-1 && cost > classMaxCosts[c] {
		c++
	}
	return c
}

// prefillSecondsPerToken is the time to prefill a token of a prompt between the decoding steps of
// running generations: engines prefill 14 tokens a millisecond when idle, and 7.5 under load.
const prefillSecondsPerToken = 1.0 / 7500

// DefaultStepSeconds is the duration of a step until one is reported.
const DefaultStepSeconds = 0.03

// evacuatedRetryDelay is the time to the next retry if only upstreams of evacuated halls are left. An
// evacuation lasts for seconds at least.
const evacuatedRetryDelay = time.Second

// ClosedRetryAt returns when to retry work refused by an upstream that accepts no new work for reason
// r: at once, as another upstream may accept it, unless the hall is evacuated.
func ClosedRetryAt(r Reason, now time.Time) time.Time {
	if r == ReasonEvacuated {
		return now.Add(evacuatedRetryDelay)
	}
	return now
}

// Run describes a running generation to be moved to another upstream.
type Run struct {
	Deadline time.Time // of the complete answer
	ID       string
	Kind     string
	Left     int // expected number of further output tokens
	Model    string
	Priority int
	Tokens   int // of KV memory
}
