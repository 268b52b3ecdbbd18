package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/memory"
)

// bufferedAnswer is an answer whose whole body has been read.
type bufferedAnswer struct {
	Answer
	body []byte
}

// maxBufferedBytes is the size up to which an answer is read completely before it is
// forwarded; a larger one is forwarded as it arrives.
const maxBufferedBytes = 1 << 20

// errTooLarge is returned for an answer that is too large to be buffered.
var errTooLarge = errors.New("the answer body exceeds the buffer limit")

// copyAnswer writes the part of an answer's body that was already read, and then the
// rest as it arrives.
func (e *exchange) copyAnswer(a *Answer, read []byte) error {
	if impliesNotRun(a.Status) {
		return e.writeAnswer(&bufferedAnswer{Answer: *a})
	}
	copyHeader(e.writer.Header(), a.Header)
	if a.Length >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
	_, err := e.writer.Write(read)
	if err == nil {
		_, err = io.Copy(e.writer, a.Body)
	}
	if err != nil {
		return fail.Wrap(fail.Interrupted, clientOrigin("deliver"), "answer_cut", err)
	}
	return nil
}

// deliver forwards an answer that is not a stream. retry reports whether another
// upstream may be tried.
func (e *exchange) deliver(ctx context.Context, a *Answer) (retry bool, err error) {
	p := fail.Origin{Peer: "upstream " + e.upstreamName(), Step: "read answer"}
	b, err := readBody(ctx, a, e.request.Memory)
	if errors.Is(err, errTooLarge) {
		return false, e.copyAnswer(a, b)
	}
	if err != nil {
		e.relay.health.RecordAnswer(e.upstreamName(), true, nil, time.Now())
		if ctx.Err() == nil {
			e.checkCrash(&e.sent, 0)
		}
		e.checkCrashAfterDisconnect(&e.sent)
		return true, fail.Wrap(fail.Unknown, p, "answer_cut", err)
	}
	if a.Status < http.StatusMultipleChoices {
		e.recordCompleted()
	}
	w := &bufferedAnswer{*a, b}
	if a.Status >= http.StatusInternalServerError {
		e.fallback = w
		return true, fail.New(fail.Unknown, p, "upstream_failed", "status %d", a.Status)
	}
	return false, e.writeAnswer(w)
}

// writeAnswer writes a buffered answer to the caller. If the answer's status implies that the request
// was not run, it returns an error instead: such a status is only forwarded if the upstream has
// stated explicitly that the request was not run.
func (e *exchange) writeAnswer(a *bufferedAnswer) error {
	if impliesNotRun(a.Status) {
		p := fail.Origin{Peer: "upstream " + e.upstreamName(), Step: "read answer"}
		return fail.New(fail.Unknown, p, "upstream_failed", "status %d, but the upstream did not say that the request was not run", a.Status)
	}
	copyHeader(e.writer.Header(), a.Header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
	if _, err := e.writer.Write(a.body); err != nil {
		return fail.Wrap(fail.Interrupted, clientOrigin("deliver"), "caller_gone", err)
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}

// impliesNotRun reports whether callers may conclude from a status that the request was not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readBody reads an answer's body, up to maxBufferedBytes. With errTooLarge, which it also returns if there is no
// memory for the body, it returns the part read so far.
func readBody(ctx context.Context, a *Answer, m *memory.Reservation) ([]byte, error) {
	defer context.AfterFunc(ctx, func() { _ = a.Body.Close() })()
	const limit = maxBufferedBytes + 1
	b, err := memory.ReadBody(io.LimitReader(a.Body, limit), min(a.Length, limit), limit, m)
	switch {
	case errors.Is(err, memory.ErrShort):
		return b, errTooLarge
	case err != nil:
		return nil, err
	case len(b) > maxBufferedBytes:
		return b, errTooLarge
	}
	return b, nil
}
