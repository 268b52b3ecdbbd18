// Package certificate creates and loads the certificates by which boxes authenticate each other, and
// optionally to callers.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"time"
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	boxValidity       = 90 * 24 * time.Hour
	clockSkew         = 5 * time.Minute // certificates are valid from this long before their creation
	serialBits        = 127             // of the random serial numbers
)

// NewAuthority returns a new self-signed certificate authority for the certificates of boxes.
func NewAuthority(now time.Time) (*Pair, error) {
	t := template("linetiller authority", now, authorityValidity)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	return sign(t, nil)
}

// NewBox returns a certificate for a box with the given name and IP addresses, signed by the authority
// a. It is valid for connections in both directions.
func NewBox(a *Pair, name string, addresses []net.IP, now time.Time) (*Pair, error) {
	t := template(name, now, boxValidity)
	t.IPAddresses = addresses
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(t, a)
}

// Ephemeral returns TLS configurations that encrypt connections without authenticating either end.
// They are only for boxes on one machine.
func Ephemeral(protocol string) (server, client *tls.Config, err error) {
	a, err := NewAuthority(time.Now())
	if err != nil {
		return nil, nil, err
	}
	p, err := NewBox(a, "box", nil, time.Now())
	if err != nil {
		return nil, nil, err
	}
	c, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}}
	client = &tls.Config{
		InsecureSkipVerify: true, //nolint:gosec // Only for boxes on one machine, see the comment above.
		MinVersion:         tls.VersionTLS13, NextProtos: []string{protocol},
	}
	return server, client, nil
}

// Load returns TLS configurations for the links between boxes: each end presents its certificate and
// accepts only certificates signed by the authority. The first three arguments are paths of PEM files,
// protocol is the ALPN protocol.
func Load(authority, certificate, key, protocol string) (server, client *tls.Config, err error) {
	c, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, nil, fmt.Errorf("certificate %s: %w", certificate, err)
	}
	b, err := os.ReadFile(authority)
	if err != nil {
		return nil, nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, nil, fmt.Errorf("authority %s: contains no PEM certificate", authority)
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{c}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, RootCAs: pool,
	}
	return server, client, nil
}

// NewListener returns a listener that accepts TLS connections on l if secure is set, and l itself otherwise.
// It closes l if it returns an error.
func NewListener(l net.Listener, secure bool, certificate, key string) (net.Listener, error) {
	if !secure {
		return l, nil
	}
	c, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("certificate %s: %w", certificate, err), l.Close())
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}), nil
}

// sign creates a key and a certificate from the template t, signed by a or, if a is nil, by itself.
func sign(t *x509.Certificate, a *Pair) (*Pair, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	parent, signer := t, any(k)
	if a != nil {
		parent, signer, err = parse(a)
		if err != nil {
			return nil, err
		}
	}
	c, err := x509.CreateCertificate(rand.Reader, t, parent, &k.PublicKey, signer)
	if err != nil {
		return nil, err
	}
	d, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, err
	}
	return &Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Bytes: c, Type: "CERTIFICATE"}),
		Key:         pem.EncodeToMemory(&pem.Block{Bytes: d, Type: "PRIVATE KEY"}),
	}, nil
}

// parse decodes the certificate and the private key of an authority.
func parse(a *Pair) (*x509.Certificate, any, error) {
	c, _ := pem.Decode(a.Certificate)
	k, _ := pem.Decode(a.Key)
	if c == nil || k == nil {
		return nil, nil, errors.New("the authority's certificate or key is not PEM-encoded")
	}
	x, err := x509.ParseCertificate(c.Bytes)
	if err != nil {
		return nil, nil, err
	}
	s, err := x509.ParsePKCS8PrivateKey(k.Bytes)
	return x, s, err
}

// template returns a certificate with a random serial number, to be completed and signed.
func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		NotAfter: now.Add(validity), NotBefore: now.Add(-clockSkew),
		SerialNumber: n, Subject: pkix.Name{CommonName: name},
	}
}
