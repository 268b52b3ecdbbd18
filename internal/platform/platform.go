// Package platform speaks to the platform's services: the transactional table,
// the object store and the list of boxes.
//
// Shapes on the wire are JSON over HTTP. A call whose answer was lost returns
// an error of type fail.Unknown: the write may have taken effect.
package platform

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

	"github.com/linetiller/linetiller/internal/fail"
)

// Row is one row of the table.
type Row struct {
	Deleted  bool            `json:"deleted,omitempty"` // only in changes
	Key      string          `json:"key"`
	Revision int64           `json:"revision"` // of the transaction that wrote it
	Value    json.RawMessage `json:"value,omitempty"`
}

// Condition must hold for a transaction to commit.
type Condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"` // of the row; 0 means that the row must not exist
}

// Write sets or removes a row.
type Write struct {
	Delete bool            `json:"delete,omitempty"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// Transaction is applied whole, or not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Result tells what became of a transaction.
type Result struct {
	Committed bool  `json:"committed"`
	Revision  int64 `json:"revision"`          // the table's, after it
	Current   []Row `json:"current,omitempty"` // rows named by conditions, where it did not commit
}

// Changes is a part of the table's change log.
type Changes struct {
	Revision int64 `json:"revision"` // up to which Rows is complete
	Rows     []Row `json:"rows"`     // newest row of each key changed since
}

// BoxState is what the platform believes of a box.
type BoxState string

// The states of a box.
const (
	BoxLeaving BoxState = "leaving"
	BoxLive    BoxState = "live"
)

// Box is one entry of the platform's list, which lags behind reality.
type Box struct {
	Address string   `json:"address"` // IP:port for other boxes
	Hall    string   `json:"hall"`
	Name    string   `json:"name"`
	State   BoxState `json:"state"`
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	now     func() time.Time
	timeout func() time.Time // the deadline of a call that starts now
}

// Option sets one thing of a Client.
type Option func(*Client)

const maxAnswerBytes = 64 << 20

// NewClient returns a client of the platform at address.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address: address,
		http:    &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()},
		now:     time.Now,
	}
	c.timeout = func() time.Time { return c.now().Add(2 * time.Second) }
	for _, o := range options {
		o(c)
	}
	return c
}

// WithTimeout bounds every call by d.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = func() time.Time { return c.now().Add(d) } }
}

// WithTransport sets the transport, for tests; nil leaves it as it is.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) {
		if t != nil {
			c.http.Transport = t
		}
	}
}

// Boxes returns the platform's list of boxes.
func (c *Client) Boxes(ctx context.Context) ([]Box, error) {
	var l []Box
	err := c.call(ctx, "list boxes", http.MethodGet, "/v1/boxes", nil, &l)
	return l, err
}

// Changes returns what changed under prefix after revision r.
func (c *Client) Changes(ctx context.Context, prefix string, r int64) (*Changes, error) {
	v := new(Changes)
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatInt(r, 10)}}
	if err := c.call(ctx, "read changes", http.MethodGet, "/v1/table/changes?"+q.Encode(), nil, v); err != nil {
		return nil, err
	}
	return v, nil
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Commit applies t. A fail.Unknown error means that it may have been applied.
func (c *Client) Commit(ctx context.Context, t *Transaction) (*Result, error) {
	v := new(Result)
	if err := c.call(ctx, "commit", http.MethodPost, "/v1/table/transactions", t, v); err != nil {
		return nil, err
	}
	return v, nil
}

// Get returns a row, or nil where none exists.
func (c *Client) Get(ctx context.Context, key string) (*Row, error) {
	v := new(Row)
	err := c.call(ctx, "read row", http.MethodGet, "/v1/table/row?"+url.Values{"key": {key}}.Encode(), nil, v)
	if errorx.IsOfType(err, fail.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return v, nil
}

// Object returns an object of the store, or nil where none exists.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var v []byte
	err := c.call(ctx, "read object", http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, &v)
	if errorx.IsOfType(err, fail.NotFound) {
		return nil, nil
	}
	return v, err
}

// PutObject writes an object of the store.
func (c *Client) PutObject(ctx context.Context, name string, b []byte) error {
	return c.call(ctx, "write object", http.MethodPut, "/v1/objects/"+url.PathEscape(name), b, nil)
}

func (c *Client) call(ctx context.Context, step, method, path string, in, out any) error {
	p := fail.Place{Peer: "platform", Step: step}
	ctx, cancel := context.WithDeadline(ctx, c.timeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(encode(in)))
	if err != nil {
		return fail.Wrap(fail.BadInput, p, "bad_platform_request", err)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return lost(p, method, err)
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return lost(p, method, err)
	}
	return decode(p, w.StatusCode, b, out)
}

func decode(p fail.Place, status int, b []byte, out any) error {
	switch {
	case status == http.StatusNotFound:
		return fail.New(fail.NotFound, p, "platform_not_found", "not found")
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fail.New(fail.Unavailable, p, "platform_down", "status %d", status)
	case status != http.StatusOK:
		return fail.New(fail.Unknown, p, "platform_lost", "status %d", status)
	}
	switch o := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*o = b
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fail.Wrap(fail.Unknown, p, "platform_garbled", err)
	}
	return nil
}

func encode(in any) []byte {
	switch v := in.(type) {
	case nil:
		return nil
	case []byte:
		return v
	}
	b, err := json.Marshal(in)
	if err != nil {
		panic(fmt.Sprintf("platform: %T cannot be encoded: %v", in, err))
	}
	return b
}

// lost tells a read that failed from a write that may have taken effect.
func lost(p fail.Place, method string, err error) error {
	if method == http.MethodGet || isDial(err) {
		return fail.Wrap(fail.Unavailable, p, "platform_down", err)
	}
	return fail.Wrap(fail.Unknown, p, "platform_lost", err)
}

// isDial reports whether err arose before anything was sent.
func isDial(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
