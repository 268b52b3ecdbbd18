package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/linetiller/linetiller/internal/fail"
)

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	Answer
	body []byte
}

// maxBufferedBytes bounds an answer that is read to its end before it is passed on;
// a larger one is passed on as it comes.
const maxBufferedBytes = 1 << 20

// errTooLarge says that an answer is too large to be read to its end first.
var errTooLarge = errors.New("the answer is too large")

// deliver passes an answer on that is no stream. It reports whether another
// upstream may be tried.
func (e *exchange) deliver(ctx context.Context, a *Answer) (retry bool, err error) {
	p := fail.Place{Peer: "upstream " + e.upstream.Name, Step: "read answer"}
	b, err := readBody(ctx, a)
	if errors.Is(err, errTooLarge) {
		return false, e.copyAnswer(a, b)
	}
	if err != nil {
		e.relay.health.RecordAnswer(e.upstream.Name, true, nil, time.Now())
		if ctx.Err() == nil {
			e.checkCrash(e.upstream, 0)
		}
		e.checkCrashAfterCallerLeft(e.upstream)
		return true, fail.Wrap(fail.Unknown, p, "answer_cut", err)
	}
	if a.Status < http.StatusMultipleChoices {
		e.recordServed()
	}
	w := &bufferedAnswer{*a, b}
	if a.Status >= http.StatusInternalServerError {
		e.fallback = w
		return true, fail.New(fail.Unknown, p, "upstream_failed", "status %d", a.Status)
	}
	return false, e.writeAnswer(w)
}

// writeAnswer writes a whole answer. A status that promises that nothing ran, from an
// upstream that did not say so, is told as a failure.
func (e *exchange) writeAnswer(a *bufferedAnswer) error {
	if impliesNotRun(a.Status) {
		p := fail.Place{Peer: "upstream " + e.upstreamName(), Step: "read answer"}
		return fail.New(fail.Unknown, p, "upstream_failed", "status %d without a word on whether it ran", a.Status)
	}
	copyHeader(e.writer.Header(), a.Header)
	e.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	e.status = a.Status
	e.writer.WriteHeader(a.Status)
	if _, err := e.writer.Write(a.body); err != nil {
		return fail.Wrap(fail.Interrupted, clientPlace("deliver"), "caller_gone", err)
	}
	return nil
}

// copyAnswer writes an answer as it comes, after the part of it that was read.
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
		return fail.Wrap(fail.Interrupted, clientPlace("deliver"), "answer_cut", err)
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
}

// impliesNotRun reports whether a status promises that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// readBody reads an answer's body. With errTooLarge it returns the part read.
func readBody(ctx context.Context, a *Answer) ([]byte, error) {
	defer context.AfterFunc(ctx, func() { _ = a.Body.Close() })()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(b) > maxBufferedBytes:
		return b, errTooLarge
	case a.Length >= 0 && int64(len(b)) != a.Length:
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}
