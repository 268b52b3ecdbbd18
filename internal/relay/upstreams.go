package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/health"
	"github.com/linetiller/linetiller/internal/resource"
)

// Answer is an upstream's answer, as its header tells it.
type Answer struct {
	Body           io.ReadCloser
	SelfDelimiting bool          // its body tells its own end, so that one cut off is told from one that is whole
	Header         http.Header   // to be passed on
	Leaving        bool          // the upstream says that it is about to end and wants no new work
	Length         int64         // of the body, -1 where it is not told
	Limit          *float64      // requests a second that the upstream accepts from all boxes together; nil where it names no limit
	LimitError     error         // the limit that it names cannot be used
	Load           *health.Load  // nil where it is not told
	NotRun         bool          // the upstream says that it did not run the request
	EchoMismatch   bool          // it names another request than the one that was sent
	Backoff        time.Duration // of back-off that the upstream, which rejects the request, asks this box for; 0 for none
	Stamped        bool          // it carries the upstream's own mark
	Status         int
}

// Copy is a copy of a running generation's memory at another engine.
type Copy struct {
	Handle string // by which the generation can be resumed
	Events int    // events made so far
}

// SendOptions is how a request is sent to one upstream.
type SendOptions struct {
	Deadline    time.Time // at which the upstream stops working on it
	LastEventID string    // of the last event that the caller has, "" where it has none
	Priority    int       // higher goes first
	Resume      *Resume   // nil where no engine has begun it whose memory is to be used
	Workspace   string
}

// Resume tells from which memory a generation goes on that another engine has begun.
type Resume struct {
	Handle string // of the copy of its memory
	Source string // IP:port of the engine that made the copy
}

// UpstreamCalls are the calls to engines and services. Its fields are seams.
type UpstreamCalls struct {
	// ProcessEnded reports whether an upstream's process is known to have ended.
	ProcessEnded func(ctx context.Context, u *resource.Upstream) bool
	// Migrate copies the memory of the run of a request from one engine to
	// another, and stops it there where last is set. A fail.NotFound error means
	// that no such run exists, fail.Conflict that another copy of it is under way,
	// fail.Unavailable that there is no room or no way. A copy may be returned
	// with an error: its memory is then still at the source.
	Migrate func(ctx context.Context, from, to *resource.Upstream, id string, last bool) (*Copy, error)
	// Release gives up a copy.
	Release func(ctx context.Context, from *resource.Upstream, handle string) error
	// Send sends a request. A fail.NotRun error means that nothing was sent.
	Send func(ctx context.Context, u *resource.Upstream, q *Request, o *SendOptions) (*Answer, error)
}
