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

// hasEntry reports whether the box accepts requests for declared routes from the platform's load
// balancer.
func (b *Box) hasEntry() bool {
	return b.settings.Entry != (settings.Entry{})
}

// listen opens the addresses of the box. It returns an error if one of them cannot be opened.
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
		p, err := box.ListenHTTP(s.BoxAddress, b.handleRequest, b.connectForPeer)
		if err != nil {
			return nil, err
		}
		return p.Endpoint(), nil
	}
	server, dial, err := b.linkTLS()
	if err != nil {
		return nil, fail.Wrap(fail.BadInput, fail.Origin{Peer: "boxes", Step: "load certificates"}, "bad_certificate", err)
	}
	t, err := box.ListenQUIC(s.BoxAddress, server, dial, b.handleRequest, b.connectForPeer)
	if err != nil {
		return nil, err
	}
	return t.Endpoint(), nil
}

// listenEntry opens the addresses for the load balancer: requests, readiness checks and metrics, in
// this order.
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
	return certificate.NewListener(l, b.settings.TLS.Clients, b.settings.TLS.Certificate, b.settings.TLS.Key)
}

// linkTLS returns the TLS configurations of the links between boxes, for the accepting and the
// dialling side. Without certificates in the settings, only boxes on the same machine can be
// linked.
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
	// quic-go prints a warning about the size of the socket's receive buffer to standard error. It
	// is disabled because docs/operator-guide.md gives the advice instead.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
}

// serverErrorLog returns a logger for servers of the standard library that logs at debug level.
func serverErrorLog(l *slog.Logger) *log.Logger {
	return slog.NewLogLogger(l.Handler(), slog.LevelDebug)
}
