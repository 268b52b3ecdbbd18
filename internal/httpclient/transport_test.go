package httpclient

import (
	"bytes"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestResponseOverHTTP2 guards against valid responses over HTTP/2 that are rejected for their version, or because their
// request was not sent to its end: their bodies need neither a length nor chunks.
func TestResponseOverHTTP2(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("answer"))
		_ = http.NewResponseController(w).Flush() // before the request has been read
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	h := s.Client().Transport.(*http.Transport).Clone()
	h.TLSClientConfig.MinVersion = tls.VersionTLS12
	c := &http.Client{Transport: &Transport{Transport: h}}
	defer c.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, bytes.NewReader(make([]byte, 8<<20)))
	if err != nil {
		t.Fatal(err)
	}
	w, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Body.Close() }()
	got, err := io.ReadAll(w.Body)
	if want := "answer"; string(got) != want || err != nil || w.ProtoMajor != 2 {
		t.Errorf("got %q, %v over %s; want %q over HTTP/2", got, err, w.Proto, want)
	}
}
