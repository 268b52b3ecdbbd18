package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fastjson"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/httpclient"
	"github.com/linetiller/linetiller/internal/sse"
)

// Client calls model engines and plain services. It is safe for concurrent use.
type Client struct {
	anyPath *http.Client // for upstreams to which the connections of http fail; nil if there is no other path
	http    *http.Client
	timeout time.Duration
}

// Stream is the open event stream of one generation.
type Stream struct {
	body       io.ReadCloser
	generation string // id
	next       int    // index of the next token
	parser     fastjson.Parser
	peer       string // for errors
	reader     *sse.Reader
}

// Option configures a Client.
type Option func(*Client)

// Reasons of errors.
const (
	ReasonGarbled     = "upstream_garbled"     // the upstream sent something that is no valid response
	ReasonLeaving     = "upstream_leaving"     // an engine answers that it accepts no new work
	ReasonLost        = "upstream_lost"        // the connection ended without a response
	ReasonSilent      = "upstream_silent"      // the upstream accepted the connection, but sent no response in time
	ReasonUnreachable = "upstream_unreachable" // no connection to the upstream could be made, so that it received nothing
)

// MaxHeaderBytes bounds the header of a response: an upstream in trouble may send bytes without end.
const MaxHeaderBytes = 64 << 10

const (
	maxResponseBytes          = 1 << 20
	maxIdleConnectionsPerHost = 256
)

// LossReason returns the reason of an error of a request that was sent, but got no response.
func LossReason(err error) string {
	var x *httpclient.InvalidResponseError
	if errors.As(err, &x) {
		return ReasonGarbled
	}
	return ReasonLost
}

// NewClient returns a client. The timeout applies to connecting, to waiting for response headers, and
// to calls of engines as a whole, other than streams.
func NewClient(timeout time.Duration, options ...Option) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConnectionsPerHost
	t.ResponseHeaderTimeout = timeout
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	t.DialContext = httpclient.Dial(&net.Dialer{Timeout: timeout})
	c := &Client{http: &http.Client{Transport: &httpclient.Transport{Transport: t}}, timeout: timeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithDialers sets how connections are opened: direct ones, and ones over any path, which are used where
// direct ones fail and for one request each.
func WithDialers(direct, anyPath func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) {
		t := c.http.Transport.(*httpclient.Transport).Transport
		t.DialContext = direct
		t = t.Clone()
		t.DialContext, t.DisableKeepAlives = anyPath, true
		c.anyPath = &http.Client{Transport: &httpclient.Transport{Transport: t}}
	}
}

// WithTransport sets the HTTP transport, for tests. A nil transport keeps the default one.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) {
		if t != nil {
			c.http.Transport, c.anyPath = t, nil
		}
	}
}

// CacheEvents returns the prefix cache events of an engine whose numbers are greater than after. gap
// reports whether events are missing after it. Events are reported with a delay and may be lost, so
// callers must treat them as hints.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (l []CacheEvent, gap bool, err error) {
	path := "/v1/cache/events?after=" + strconv.FormatInt(after, 10)
	if err := c.call(ctx, "read cache events", http.MethodGet, address, path, nil, &l); err != nil {
		return nil, false, err
	}
	for _, v := range l {
		gap = gap || v.Number != after+1
		after = v.Number
	}
	return l, gap, nil
}

// Cancel cancels a generation. It returns nil if the generation does not exist.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	err := c.call(ctx, "cancel", http.MethodDelete, address, generationPath(id), nil, nil)
	if errorx.IsOfType(err, fail.NotFound) {
		return nil
	}
	return err
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Load returns the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	v := new(Load)
	if err := c.call(ctx, "read load", http.MethodGet, address, "/v1/load", nil, v); err != nil {
		return nil, err
	}
	return v, nil
}

// Order sends a fenced order to an engine.
func (c *Client) Order(ctx context.Context, address string, o *Order) error {
	return c.call(ctx, "order", http.MethodPost, address, "/v1/orders", o, nil)
}

// Position returns the progress of a generation. An error of type fail.NotFound means that the engine
// has not started it since the engine itself last restarted.
func (c *Client) Position(ctx context.Context, address, id string) (*Position, error) {
	v := new(Position)
	if err := c.call(ctx, "read position", http.MethodGet, address, generationPath(id), nil, v); err != nil {
		return nil, err
	}
	return v, nil
}

// Resume opens the stream of a running or finished generation at the token with index from.
func (c *Client) Resume(ctx context.Context, address, id string, from int) (*Stream, error) {
	return c.openStream(ctx, "resume", http.MethodGet, address, generationPath(id)+"/events?from="+strconv.Itoa(from), nil, id, from)
}

// Start starts a generation and opens its stream.
//
// An error of type fail.NotRun means that the generation was not started: the engine refused it or could
// not be connected to. After any other error it may be running.
func (c *Client) Start(ctx context.Context, address string, s *Start) (*Stream, error) {
	return c.openStream(ctx, "start", http.MethodPost, address, "/v1/generations", s, s.ID, 0)
}

// Close ends the stream without cancelling the generation.
func (s *Stream) Close() error {
	return s.body.Close()
}

// Next returns the next token of the stream. Its text is valid until the next call.
//
// Frames of tokens that were already returned are skipped. A broken stream, a frame of another
// generation and a skipped token are errors of type fail.Interrupted, after which the caller may
// resume the generation with a new stream.
func (s *Stream) Next() (Token, error) {
	p := fail.Origin{Peer: s.peer, Step: "read stream"}
	for {
		v, err := s.reader.Next()
		if err != nil {
			return Token{}, fail.Wrap(fail.Interrupted, p, "stream_cut", err)
		}
		f, err := s.parser.ParseBytes(v.Data)
		if err != nil {
			return Token{}, fail.Wrap(fail.Interrupted, p, "stream_garbled", err)
		}
		if g := f.GetStringBytes("generation"); string(g) != s.generation {
			return Token{}, fail.New(fail.Interrupted, p, "stream_crossed", "got a frame of generation %q in the stream of generation %q", g, s.generation)
		}
		t := Token{Finish: parseFinish(f.GetStringBytes("finish")), Index: f.GetInt("index"), Text: f.GetStringBytes("text")}
		switch {
		case t.Finish == "" && t.Index < s.next:
			continue
		case t.Index != s.next:
			return Token{}, fail.New(fail.Interrupted, p, "stream_gap", "got token index %d, want %d", t.Index, s.next)
		case t.Finish == "":
			s.next++
		}
		return t, nil
	}
}

// call sends in as JSON and decodes the JSON response into out, which may be nil.
func (c *Client) call(ctx context.Context, step, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	p := fail.Origin{Peer: "upstream " + address, Step: step}
	w, err := c.send(ctx, p, method, address+path, in)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxResponseBytes)).Decode(out); err != nil {
		return fail.Wrap(fail.Unavailable, p, ReasonGarbled, err)
	}
	return nil
}

// do sends a request, over another path if no direct connection can be opened.
func (c *Client) do(r *http.Request) (*http.Response, error) {
	w, err := c.http.Do(r)
	if c.anyPath == nil || !IsDialError(err) {
		return w, err
	}
	return c.anyPath.Do(r.Clone(r.Context())) // nothing has been read of its body
}

// openStream sends in as JSON and returns the event stream of the response. The stream starts at the
// token with index from.
func (c *Client) openStream(ctx context.Context, step, method, address, path string, in any, id string, from int) (*Stream, error) {
	p := fail.Origin{Peer: "upstream " + address, Step: step}
	w, err := c.send(ctx, p, method, address+path, in) //nolint:bodyclose // Stream.Close closes it.
	if err != nil {
		return nil, err
	}
	return &Stream{body: w.Body, generation: id, next: from, peer: p.Peer, reader: sse.NewReader(w.Body)}, nil
}

// send sends a request and returns the response if its status is 200, and a typed error otherwise.
func (c *Client) send(ctx context.Context, p fail.Origin, method, target string, in any) (*http.Response, error) {
	b, err := encodeBody(in)
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, p, "bad_upstream_request", err)
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(b))
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, p, "bad_upstream_request", err)
	}
	w, err := c.do(r)
	if err != nil {
		return nil, sendError(p, err)
	}
	if w.StatusCode == http.StatusOK {
		return w, nil
	}
	defer func() { _ = w.Body.Close() }()
	return nil, statusError(p, w)
}

func encodeBody(in any) ([]byte, error) {
	if in == nil {
		return nil, nil
	}
	return json.Marshal(in)
}

// parseFinish returns b as a string. It does not allocate for the finish reasons defined here.
func parseFinish(b []byte) string {
	for _, f := range []string{"", FinishStop, FinishLength, FinishCancelled} {
		if string(b) == f {
			return f
		}
	}
	return string(b)
}

func generationPath(id string) string {
	return "/v1/generations/" + url.PathEscape(id)
}

// sendError returns the error of a request without a response. It is of type fail.NotRun if nothing
// was sent, and fail.Unknown otherwise.
func sendError(p fail.Origin, err error) error {
	var n net.Error
	switch {
	case IsDialError(err):
		return fail.Wrap(fail.NotRun, p, ReasonUnreachable, err)
	case errors.As(err, &n) && n.Timeout():
		return fail.Wrap(fail.Unknown, p, ReasonSilent, err)
	}
	return fail.Wrap(fail.Unknown, p, LossReason(err), err)
}

// statusError returns the error for a response status other than 200. The statuses 400, 413 and 503
// mean that the engine ran nothing.
func statusError(p fail.Origin, w *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(w.Body, 512))
	m := fmt.Sprintf("status %d: %s", w.StatusCode, bytes.TrimSpace(b))
	switch w.StatusCode {
	case http.StatusNotFound:
		return fail.New(fail.NotFound, p, "upstream_not_found", "%s", m)
	case http.StatusConflict:
		return fail.New(fail.Conflict, p, "upstream_conflict", "%s", m)
	case http.StatusServiceUnavailable:
		err := fail.New(fail.NotRun, p, ReasonLeaving, "%s", m)
		if d := RetryAfter(w.StatusCode, w.Header); d > 0 {
			return fail.WithRetryAt(err, time.Now().Add(d))
		}
		return err
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fail.New(fail.NotRun, p, "upstream_refused", "%s", m)
	}
	return fail.New(fail.Unknown, p, "upstream_failed", "%s", m)
}
