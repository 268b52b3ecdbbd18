package box

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"github.com/linetiller/linetiller/internal/certificate"
	"github.com/linetiller/linetiller/internal/policy"
	"github.com/linetiller/linetiller/internal/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newQUICTransport(t *testing.T, h Handler, n Connector) *QUICTransport {
	t.Helper()
	server, client, err := certificate.Ephemeral(Protocol)
	if err != nil {
		t.Fatal(err)
	}
	v, err := ListenQUIC("127.0.0.1:0", server, client, h, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := v.Close(); err != nil {
			t.Error(err)
		}
	})
	return v
}

func newHTTPTransport(t *testing.T, h Handler, n Connector) *HTTPTransport {
	t.Helper()
	v, err := ListenHTTP("127.0.0.1:0", h, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := v.Close(); err != nil {
			t.Error(err)
		}
	})
	return v
}

// eachTransport runs f as a subtest over each transport.
func eachTransport(t *testing.T, f func(t *testing.T, newEndpoint func(Handler) *Endpoint)) {
	t.Helper()
	t.Run("quic", func(t *testing.T) {
		f(t, func(h Handler) *Endpoint { return newQUICTransport(t, h, nil).Endpoint() })
	})
	t.Run("plain", func(t *testing.T) {
		f(t, func(h Handler) *Endpoint { return newHTTPTransport(t, h, nil).Endpoint() })
	})
}

func TestCallsAndReplies(t *testing.T) {
	eachTransport(t, func(t *testing.T, newEndpoint func(Handler) *Endpoint) {
		a := newEndpoint(func(_ context.Context, q *Request, answer func(*Reply) error) {
			for i := range q.Revisions[resource.SourceBoxes] {
				_ = answer(&Reply{Revisions: resource.Revisions{resource.SourceBoxes: i}})
			}
		})
		b := newEndpoint(nil)
		c, err := b.Call(t.Context(), a.Address(), &Request{Kind: KindChanges, Revisions: resource.Revisions{resource.SourceBoxes: 3}})
		if err != nil {
			t.Fatal(err)
		}
		for want := range int64(3) {
			r, err := c.Next()
			if err != nil || r.Revisions[resource.SourceBoxes] != want {
				t.Errorf("got %+v %v, want revision %d", r, err, want)
			}
		}
		if _, err := c.Next(); err == nil {
			t.Error("after the last reply: got no error")
		}
		_ = c.Close()
	})
}

// TestHangingUpEndsTheHandler checks that ending a call cancels its handler's context, so that an
// owner notices when a box no longer waits for a slot.
func TestHangingUpEndsTheHandler(t *testing.T) {
	eachTransport(t, func(t *testing.T, newEndpoint func(Handler) *Endpoint) {
		handlerDone := make(chan struct{})
		a := newEndpoint(func(ctx context.Context, _ *Request, answer func(*Reply) error) {
			_ = answer(&Reply{})
			<-ctx.Done()
			close(handlerDone)
		})
		b := newEndpoint(nil)
		c, err := b.Call(t.Context(), a.Address(), &Request{Kind: KindHeartbeat})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Next(); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		<-handlerDone
	})
}

func TestUnreachableBox(t *testing.T) {
	a := newQUICTransport(t, nil, nil)
	address := a.Address()
	_ = a.Close()
	b := newQUICTransport(t, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := b.Endpoint().CallOnce(ctx, address, &Request{Kind: KindHeartbeat}); err == nil {
		t.Error("got no error")
	}
}

// TestStrangersAreRefused checks that a box with a certificate of another authority cannot call.
func TestStrangersAreRefused(t *testing.T) {
	reached := false
	server, client := newMutualTLS(t)
	a, err := ListenQUIC("127.0.0.1:0", server, client, func(_ context.Context, _ *Request, answer func(*Reply) error) {
		reached = true
		_ = answer(&Reply{})
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	trusted, err := ListenQUIC("127.0.0.1:0", server, client, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = trusted.Close() }()
	_, untrustedClient := newMutualTLS(t)
	untrusted, err := ListenQUIC("127.0.0.1:0", server, untrustedClient, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = untrusted.Close() }()
	if _, err := untrusted.Endpoint().CallOnce(t.Context(), a.Address(), &Request{Kind: KindHeartbeat}); err == nil || reached {
		t.Errorf("untrusted box: got %v, handler reached %v, want an error and false", err, reached)
	}
	if _, err := trusted.Endpoint().CallOnce(t.Context(), a.Address(), &Request{Kind: KindHeartbeat}); err != nil {
		t.Errorf("trusted box: got %v, want no error", err)
	}
}

// FuzzDecodeRequest checks that DecodeRequest does not panic on any input.
func FuzzDecodeRequest(f *testing.F) {
	for _, q := range []Request{
		{Kind: KindHeartbeat, From: Member{Name: "a"}},
		{Kind: KindPlacement, Placement: &PlacementRequest{Upstream: "u", Work: policy.Work{ID: "w"}}},
		{Kind: KindConnect, Connect: &ConnectRequest{Address: "10.0.0.1:1"}},
		{Kind: KindProgress, Progress: &ProgressReport{Items: []GenerationProgress{{ID: "x", Released: true}}}},
	} {
		b, _ := cbor.Marshal(q)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := DecodeRequest(bytes.NewReader(b))
		if err == nil && (q.Kind == KindPlacement) != (q.Placement != nil) && q.Placement == nil {
			t.Errorf("got %+v without its work", q)
		}
	})
}
