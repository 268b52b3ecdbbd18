package box

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/linetiller/linetiller/internal/httpclient"
)

// httpResult is the outcome of one attempt to send a request: a response, with its body unread, or
// an error.
type httpResult struct {
	err      error
	response *http.Response
	attempt  int // index of the attempt
}

// resendAfter is how long after the requested wait a response counts as late. Boxes normally reply
// within milliseconds.
const resendAfter = 200 * time.Millisecond

// clientOf returns the HTTP client for the box at an address.
func (p *HTTPTransport) clientOf(address string) *http.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{
			DialContext:         httpclient.Dial(&net.Dialer{Timeout: httpDialTimeout}),
			IdleConnTimeout:     httpIdleTimeout,
			MaxIdleConnsPerHost: maxIdlePerBox,
		}}}
		p.clients[address] = c
	}
	return c
}

// dropIdleConnections makes later calls to the box at an address use new connections. The kept
// ones may have stopped carrying data without having been closed.
func (p *HTTPTransport) dropIdleConnections(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c := p.clients[address]; c != nil {
		c.CloseIdleConnections()
	}
}

// post sends a request once and returns the response with its body unread.
func (p *HTTPTransport) post(ctx context.Context, address string, q *Request) (*http.Response, error) {
	b, err := Encoding.Marshal(q)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+callPath, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return p.clientOf(address).Do(r)
}

// send sends a request and returns the response with its body unread. If the response is late and
// the request is repeatable, it sends the request again over a new connection, and the first
// response wins.
func (p *HTTPTransport) send(ctx context.Context, address string, q *Request) (*http.Response, error) {
	var cancels []context.CancelFunc
	answers := make(chan httpResult, 2)
	post := func(q *Request) {
		ctx, cancel := context.WithCancel(ctx)
		n := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			w, err := p.post(ctx, address, q) //nolint:bodyclose // The call closes it, or the end of its context.
			answers <- httpResult{err: err, response: w, attempt: n}
		}()
	}
	lateTimer := time.NewTimer(q.Wait + resendAfter)
	defer lateTimer.Stop()
	post(q)
	for failures := 0; ; {
		select {
		case a := <-answers:
			if a.err != nil {
				failures++
				if failures < len(cancels) {
					continue
				}
			}
			for n, cancel := range cancels {
				if n != a.attempt || a.err != nil {
					cancel()
				}
			}
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				p.dropIdleConnections(address)
			}
			return a.response, a.err
		case <-lateTimer.C:
			if repeatable(q.Kind) {
				p.dropIdleConnections(address)
				second := *q
				second.SentAt, second.Wait = time.Now(), 0
				post(&second)
			}
		}
	}
}

// repeatable reports whether requests of a kind are idempotent.
func repeatable(k Kind) bool {
	switch k {
	case KindPlacement, KindPermit, KindMoveSlot, KindProgress:
		return false
	default:
		return true
	}
}
