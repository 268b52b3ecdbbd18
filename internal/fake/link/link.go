// Package link connects HTTP clients and handlers in memory, so that tests can run in virtual
// time. It records each call, and can lose answers and refuse connections.
package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
)

// Link is an http.RoundTripper that passes requests to handlers by host name.
type Link struct {
	mutex       sync.Mutex
	calls       []string
	dropAnswers map[string]bool
	down        map[string]bool
	hosts       map[string]http.Handler
}

// responseWriter is the writing end of one response.
type responseWriter struct {
	headerSent bool
	header     http.Header
	aborted    bool          // the handler panicked before it sent a header
	ready      chan struct{} // closed when the header was sent or the handler ended
	status     int
	startOnce  sync.Once
	writer     *io.PipeWriter
}

// responseBody is the reading end of one response. Closing it cancels the request.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// errAnswerDropped is returned for calls to a host whose answers are dropped.
var errAnswerDropped = errors.New("link: answer of the host dropped")

// New returns a link without hosts.
func New() *Link {
	return &Link{dropAnswers: make(map[string]bool), down: make(map[string]bool), hosts: make(map[string]http.Handler)}
}

// Calls returns the calls made so far, each as host, method and URI.
func (l *Link) Calls() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.calls...)
}

// DropAnswers sets whether calls to a host reach it but fail for the client.
func (l *Link) DropAnswers(host string, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropAnswers[host] = on
}

// Handle registers the handler for a host.
func (l *Link) Handle(host string, h http.Handler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hosts[host] = h
}

// RoundTrip passes a request to the handler of its host and returns once the header of the
// response is there.
func (l *Link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mutex.Lock()
	h, dropAnswer, down := l.hosts[r.URL.Host], l.dropAnswers[r.URL.Host], l.down[r.URL.Host]
	l.calls = append(l.calls, fmt.Sprintf("%s %s %s", r.URL.Host, r.Method, r.URL.RequestURI()))
	l.mutex.Unlock()
	if h == nil || down {
		return nil, &net.OpError{Op: "dial", Net: "link", Err: syscall.ECONNREFUSED}
	}
	pr, pw := io.Pipe()
	a := &responseWriter{header: make(http.Header), ready: make(chan struct{}), status: http.StatusOK, writer: pw}
	ctx, cancel := context.WithCancel(r.Context())
	served := r.Clone(ctx)
	served.RequestURI = r.URL.RequestURI()
	if u, err := url.ParseRequestURI(served.RequestURI); err == nil {
		served.URL = u
	}
	if served.Host == "" {
		served.Host = r.URL.Host
	}
	if served.Body == nil {
		served.Body = http.NoBody
	}
	go a.serve(h, served)
	if dropAnswer {
		go func() {
			_, _ = io.Copy(io.Discard, pr)
			cancel()
		}()
		return nil, errAnswerDropped
	}
	select {
	case <-a.ready:
		if a.aborted {
			cancel()
			return nil, io.ErrUnexpectedEOF
		}
		return &http.Response{
			Body: &responseBody{PipeReader: pr, cancel: cancel}, ContentLength: -1, TransferEncoding: []string{"chunked"}, Header: a.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
			Status: http.StatusText(a.status), StatusCode: a.status,
		}, nil
	case <-r.Context().Done():
		cancel()
		_ = pr.CloseWithError(r.Context().Err())
		return nil, r.Context().Err()
	}
}

// SetDown sets whether a host refuses connections.
func (l *Link) SetDown(host string, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down[host] = on
}

// Close cancels the request and closes the body.
func (b *responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// Flush sends the header.
func (a *responseWriter) Flush() { a.start() }

// Header returns the header.
func (a *responseWriter) Header() http.Header { return a.header }

// Write sends a part of the body.
func (a *responseWriter) Write(b []byte) (int, error) {
	a.start()
	return a.writer.Write(b)
}

// WriteHeader sets the status and sends the header.
func (a *responseWriter) WriteHeader(status int) {
	a.status = status
	a.start()
}

func (a *responseWriter) serve(h http.Handler, r *http.Request) {
	defer func() {
		if e := recover(); e != nil {
			if !a.headerSent {
				a.aborted = true
			}
			_ = a.writer.CloseWithError(io.ErrUnexpectedEOF)
		} else {
			_ = a.writer.Close()
		}
		a.start()
	}()
	h.ServeHTTP(a, r)
}

func (a *responseWriter) start() {
	a.startOnce.Do(func() {
		a.headerSent = true
		close(a.ready)
	})
}
