package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/resource"
)

// Client calls the operator interface of a box. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	key     string
}

// Error returns the code and the message of the problem.
func (p *Problem) Error() string {
	return p.Code + ": " + p.Message
}

// NewClient returns a client of the box at address, which is a URL without a path. A key that is
// not empty is sent as bearer token with each request.
func NewClient(address, key string, h *http.Client) *Client {
	return &Client{address: address, http: h, key: key}
}

// Apply creates or replaces a resource and returns it as stored. If r carries a version, the
// resource is replaced only if that is still its current version; otherwise the error is a
// *Problem of code "stale_version" or "raced". The version goes into the If-Match header, not into
// the body, and the status is not sent.
func (c *Client) Apply(ctx context.Context, r *resource.Resource) (*resource.Resource, error) {
	h := make(http.Header)
	x := *r
	if v := x.Metadata.ResourceVersion; v != "" {
		h.Set("If-Match", v)
	}
	x.Metadata.ResourceVersion, x.Status = "", nil
	v := new(resource.Resource)
	return v, c.call(ctx, http.MethodPut, resourcePath(r.Kind, r.Metadata.Name), h, &x, v)
}

// Delete removes a resource, whatever its version is.
func (c *Client) Delete(ctx context.Context, k resource.Kind, name string) error {
	return c.call(ctx, http.MethodDelete, resourcePath(k, name), nil, nil, new(resource.Resource))
}

// Get returns a resource with its status.
func (c *Client) Get(ctx context.Context, k resource.Kind, name string) (*resource.Resource, error) {
	v := new(resource.Resource)
	return v, c.call(ctx, http.MethodGet, resourcePath(k, name), nil, nil, v)
}

// List returns the resources of a kind.
func (c *Client) List(ctx context.Context, k resource.Kind) (*List, error) {
	v := new(List)
	return v, c.call(ctx, http.MethodGet, "/v1/resources/"+url.PathEscape(string(k)), nil, nil, v)
}

// Watch calls handle with each change after a version and with each bookmark. It returns only with
// an error: that of the request, that of handle, or one of reason "watch_cut" if the stream ends,
// also because ctx is done. An empty kind watches all kinds.
func (c *Client) Watch(ctx context.Context, k resource.Kind, after string, handle func(*WatchEvent) error) error {
	q := url.Values{"after": {after}, "kind": {string(k)}}
	w, err := c.send(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	d := json.NewDecoder(w.Body)
	for {
		e := new(WatchEvent)
		if err := d.Decode(e); err != nil {
			return fail.Wrap(fail.Unavailable, c.origin("watch"), "watch_cut", err)
		}
		if err := handle(e); err != nil {
			return err
		}
	}
}

func (c *Client) call(ctx context.Context, method, path string, h http.Header, in, out any) error {
	w, err := c.send(ctx, method, path, h, in)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	if err := json.NewDecoder(w.Body).Decode(out); err != nil {
		return fail.Wrap(fail.Unavailable, c.origin(method), "box_garbled", err)
	}
	return nil
}

func (c *Client) origin(step string) fail.Origin {
	return fail.Origin{Peer: "box " + c.address, Step: step}
}

func (c *Client) send(ctx context.Context, method, path string, h http.Header, in any) (*http.Response, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	if h != nil {
		r.Header = h
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, c.origin(method), "box_unreachable", err)
	}
	if w.StatusCode == http.StatusOK {
		return w, nil
	}
	defer func() { _ = w.Body.Close() }()
	p := new(Problem)
	if err := json.NewDecoder(io.LimitReader(w.Body, maxBodyBytes)).Decode(p); err != nil {
		p.Code, p.Message = "status", w.Status
	}
	return nil, p
}

func resourcePath(k resource.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(k)) + "/" + url.PathEscape(name)
}
