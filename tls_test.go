package linetiller_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/certificate"
	"github.com/linetiller/linetiller/internal/settings"
)

// TestTLSForCallersAndBoxes starts a box with a certificate beside one without: clients can call it
// if they trust the authority of its certificate, and only then.
func TestTLSForCallersAndBoxes(t *testing.T) {
	h := newHall(t, 1, 1)
	d := t.TempDir()
	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b, err := certificate.NewBox(a, "box", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for n, v := range map[string][]byte{"authority": a.Certificate, "certificate": b.Certificate, "key": b.Key} {
		if err := os.WriteFile(filepath.Join(d, n), v, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	h.changeSettings = func(s *settings.Settings) {
		s.TLS = settings.TLS{Authority: filepath.Join(d, "authority"), Certificate: filepath.Join(d, "certificate"), Clients: true, Key: filepath.Join(d, "key")}
	}
	h.startBox()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(a.Certificate)
	get := func(c *tls.Config) (string, error) {
		w, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: c}}).Get("https://" + h.boxes[1].ClientAddress() + "/healthz")
		if err != nil {
			return "", err
		}
		defer func() { _ = w.Body.Close() }()
		b, err := io.ReadAll(w.Body)
		return string(b), err
	}
	if got, err := get(&tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}); err != nil || got != "ok\n" {
		t.Errorf("under the authority: got %q %v, want ok", got, err)
	}
	if _, err := get(&tls.Config{MinVersion: tls.VersionTLS12}); err == nil {
		t.Error("without the authority: got no error")
	}
}
