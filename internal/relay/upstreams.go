package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/resource"
)

// Answer is an upstream's answer, with the information from its header.
type Answer struct {
	Body           io.ReadCloser
	SelfDelimiting bool          // the body is chunked or has a length, so that a truncated one is detected
	Header         http.Header   // the fields to forward
	Leaving        bool          // the upstream says that it is about to shut down and accepts no new work
	Length         int64         // of the body in bytes, -1 if unknown
	Limit          *float64      // requests per second that the upstream accepts from all boxes together; nil if it names no limit
	LimitError     error         // why the limit that the upstream names cannot be used; nil if it can
	Load           *health.Load  // nil if not reported
	LoadError      error         // why the load that the upstream reports cannot be used; nil if it can
	NotRun         bool          // the upstream says that it did not run the request
	EchoMismatch   bool          // the answer names another request than the one that was sent
	Backoff        time.Duration // how long this box should send nothing to the upstream, which has rejected the request; 0 for no back-off
	Stamped        bool          // the answer carries a server stamp, so that it comes from the upstream itself
	Status         int
}

// Copy is a copy of a running generation's memory (its KV cache) at another engine.
type Copy struct {
	Handle string // identifies the copy when the generation is resumed
	Events int    // number of events that the generation had produced
}

// SendOptions are the parameters of one attempt to send a request.
type SendOptions struct {
	Deadline    time.Time // when the upstream stops working on the request
	LastEventID string    // id of the last event that the caller has, "" if it has none
	Priority    int       // higher values are served first
	Resume      *Resume   // the copy from which to resume a generation; nil to start from the beginning
	Workspace   string
}

// Resume identifies the copy from which an engine resumes a generation that another engine has begun.
type Resume struct {
	Handle string // of the copy of the generation's memory
	Source string // IP:port of the engine that made the copy
}

// UpstreamCalls are the calls to engines and services, as functions so that tests can replace them.
type UpstreamCalls struct {
	// ProcessEnded reports whether an upstream's process is known to have ended. It returns
	// false if that cannot be determined.
	ProcessEnded func(ctx context.Context, u *resource.Upstream) bool
	// Migrate copies the memory of the run of the request id from one engine to
	// another. If stop is set, it also stops the run at the source. It returns
	// fail.NotFound if there is no such run, fail.Conflict if another copy of it is
	// under way, and fail.Unavailable if the target has no room or cannot be reached.
	// If a copy is returned with an error, its memory is still at the source.
	Migrate func(ctx context.Context, from, to *resource.Upstream, id string, stop bool) (*Copy, error)
	// Release releases a copy that the engine from has made.
	Release func(ctx context.Context, from *resource.Upstream, handle string) error
	// Send sends a request and returns the answer once its header has arrived. A
	// fail.NotRun error means that nothing was sent.
	Send func(ctx context.Context, u *resource.Upstream, q *Request, o *SendOptions) (*Answer, error)
}
