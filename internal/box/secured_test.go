package box

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/linetiller/linetiller/internal/certificate"
)

// newMutualTLS returns TLS configurations with a certificate of a new authority.
func newMutualTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	b, err := certificate.NewBox(a, "box", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	d := t.TempDir()
	for n, v := range map[string][]byte{"authority": a.Certificate, "certificate": b.Certificate, "key": b.Key} {
		if err := os.WriteFile(filepath.Join(d, n), v, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	server, client, err = certificate.Load(filepath.Join(d, "authority"), filepath.Join(d, "certificate"), filepath.Join(d, "key"), Protocol)
	if err != nil {
		t.Fatal(err)
	}
	return server, client
}
