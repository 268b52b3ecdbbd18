package box

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// httpResult is the head of the answer to a request that was sent, or an error.
type httpResult struct {
	err      error
	response *http.Response
	attempt  int // which of the sends it answers
}

// resendAfter is how long after the end of its wait a request counts as late: boxes answer
// within some milliseconds.
const resendAfter = 200 * time.Millisecond

// clientOf returns what makes calls to the box at an address.
func (p *HTTPTransport) clientOf(address string) *http.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: httpDialTimeout}).DialContext,
			IdleConnTimeout:     httpIdleTimeout,
			MaxIdleConnsPerHost: maxIdlePerBox,
		}}
		p.clients[address] = c
	}
	return c
}

// post sends a request once.
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

// dropIdleConnections has later calls to the box at an address go over new connections: the kept ones may have
// gone silent without being closed.
func (p *HTTPTransport) dropIdleConnections(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c := p.clients[address]; c != nil {
		c.CloseIdleConnections()
	}
}

// send sends a request and returns the head of its answer. Where that is late, the request is
// sent once more over a new connection if it may be, and the first answer counts.
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
	late := time.NewTimer(q.Wait + resendAfter)
	defer late.Stop()
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
		case <-late.C:
			if repeatable(q.Kind) {
				p.dropIdleConnections(address)
				again := *q
				again.SentAt, again.Wait = time.Now(), 0
				post(&again)
			}
		}
	}
}

// repeatable reports whether handling a request of a kind twice does the same as handling it once.
func repeatable(k Kind) bool {
	switch k {
	case KindPlacement, KindPermit, KindMoveSlot, KindProgress:
		return false
	default:
		return true
	}
}
