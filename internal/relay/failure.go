package relay

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/linetiller/linetiller/internal/fail"
)

const (
	// reasonCallerGone is the reason of an answer that nobody takes.
	reasonCallerGone = "caller_gone"
	// reasonOutOfReach is the reason of a refusal where no upstream of a service answered a
	// connection a moment ago.
	reasonOutOfReach = "upstreams_out_of_reach"
	// reasonUnreachable is the reason of a send that never left this box.
	reasonUnreachable = "upstream_unreachable"
	// stepCheck is the step at which a place is looked at again, before anything is sent.
	stepCheck = "check before the send"
)

// errDeadline says that the deadline passed while an upstream may have been at work.
var errDeadline = fail.Unknown.NewSubtype("deadline")

// writeFailure writes the final answer of a request that failed.
func (e *exchange) writeFailure(err error) {
	if e.clientCtx.Err() != nil || e.status != 0 {
		// The caller has gone, or it has a part of an answer, which must not look whole.
		panic(http.ErrAbortHandler)
	}
	h := e.writer.Header()
	if t := fail.RetryAt(err); !t.IsZero() {
		h.Set("Retry-After", retryAfter(time.Until(t)))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(statusOf(err))
	_, _ = e.writer.Write([]byte(fail.Reason(err) + "\n"))
}

// reachedUpstream reports whether the upstream that err came from got the request.
func reachedUpstream(err error) bool {
	return fail.Reason(err) != reasonUnreachable && fail.Step(err) != stepCheck
}

// retryAfter returns a time to come back in, in seconds.
func retryAfter(d time.Duration) string {
	s := math.Max(0, math.Ceil(d.Seconds()*100)/100)
	return strconv.FormatFloat(s, 'f', -1, 64)
}

func statusOf(err error) int {
	switch {
	case errorx.IsOfType(err, fail.NotRun), errorx.IsOfType(err, fail.Unavailable):
		return http.StatusServiceUnavailable
	case errorx.IsOfType(err, fail.NotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, fail.Unauthorized):
		return http.StatusUnauthorized
	case errorx.IsOfType(err, fail.BadInput):
		return http.StatusBadRequest
	case errorx.IsOfType(err, errDeadline):
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
