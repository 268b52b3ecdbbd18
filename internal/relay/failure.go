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
	// reasonCallerDisconnected is the failure reason when the caller has disconnected.
	reasonCallerDisconnected = "caller_gone"
	// stepCheck is the error step of checkBeforeSend.
	stepCheck = "check before the send"
)

// errDeadline is the type of errors for a deadline that passed while an upstream may have
// been running the request.
var errDeadline = fail.Unknown.NewSubtype("deadline")

// writeFailure writes the answer to a request that failed with err. If the caller has already
// received part of an answer, it aborts the connection instead.
func (e *exchange) writeFailure(err error) {
	if e.callerCtx.Err() != nil || e.status != 0 {
		// The caller has disconnected, or has received part of an answer, which must not look complete.
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

// retryAfter formats a duration for the Retry-After header, in seconds, rounded up to hundredths.
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
