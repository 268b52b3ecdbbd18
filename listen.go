package linetiller

import (
	"crypto/tls"
	"errors"
	"log"
	"log/slog"
	"net"
	"os"

	"github.com/linetiller/linetiller/internal/box"
	"github.com/linetiller/linetiller/internal/certificate"
	"github.com/linetiller/linetiller/internal/fail"
	"github.com/linetiller/linetiller/internal/settings"
)

// hasEntry reports whether requests of declared routes come in from the platform's
// balancer.
func (b *Box) hasEntry() bool {
	return b.settings.Entry != (settings.Entry{})
}

// listen opens the box's addresses.
func (b *Box) listen() error {
	s := b.settings
	var err error
	if b.links, err = b.listenBoxes(); err != nil {
		return err
	}
	b.members.SetAddress(b.links.Address())
	b.clientListener, err = b.listenHTTP(s.ClientAddress)
	if err != nil {
		return errors.Join(err, b.links.Close())
	}
	b.operatorListener, err = b.listenHTTP(s.OperatorAddress)
	if err != nil {
		return errors.Join(err, b.links.Close(), b.clientListener.Close())
	}
	return b.listenEntry()
}

// listenBoxes opens the address for other boxes.
func (b *Box) listenBoxes() (*box.Endpoint, error) {
	s := b.settings
	if s.Links == settings.LinksPlain {
		p, err := box.ListenHTTP(s.BoxAddress, b.handleRequest)
		if err != nil {
			return nil, err
		}
		return p.Endpoint(), nil
	}
	server, dial, err := b.linkTLS()
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, fail.Origin{Peer: "boxes", Step: "load certificates"}, "bad_certificate", err)
	}
	t, err := box.ListenQUIC(s.BoxAddress, server, dial, b.handleRequest)
	if err != nil {
		return nil, err
	}
	return t.Endpoint(), nil
}

// listenEntry opens the addresses of the entry: for requests, for the balancer's
// questions and for metrics.
func (b *Box) listenEntry() error {
	if !b.hasEntry() {
		return nil
	}
	n := b.settings.Entry
	for _, a := range []string{n.Address, n.Readiness, n.Metrics} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return fail.Wrap(fail.Unavailable, fail.Origin{Peer: "balancer", Step: "listen"}, "listen", err)
		}
		b.entry = append(b.entry, endpoint{listener: l})
	}
	return nil
}

func (b *Box) listenHTTP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fail.Wrap(fail.Unavailable, fail.Origin{Peer: "callers", Step: "listen"}, "listen", err)
	}
	return certificate.Wrap(l, b.settings.TLS.Clients, b.settings.TLS.Certificate, b.settings.TLS.Key)
}

// linkTLS returns how the links between boxes are secured. Without
// certificates, only boxes on one machine can be linked.
func (b *Box) linkTLS() (server, dial *tls.Config, err error) {
	t := b.settings.TLS
	if t.Certificate != "" {
		return certificate.Load(t.Authority, t.Certificate, t.Key, box.Protocol)
	}
	if h, _, _ := net.SplitHostPort(b.settings.BoxAddress); !net.ParseIP(h).IsLoopback() {
		return nil, nil, errors.New("box_address is not a loopback address, so the tls settings must be given")
	}
	return certificate.Ephemeral(box.Protocol)
}

func init() {
	// The library's advice on the size of the socket's buffer goes to standard
	// error unasked; docs/operator-guide.md gives it instead.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}

// serverErrorLog returns where a server of the standard library logs.
func serverErrorLog(l *slog.Logger) *log.Logger {
	return slog.NewLogLogger(l.Handler(), slog.LevelDebug)
}
