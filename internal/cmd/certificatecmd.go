package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/linetiller/linetiller/internal/certificate"
)

const (
	modeCertificate = 0o644
	modeKey         = 0o600
)

func newCertificateCmd(e *ioStreams) *cli.Command {
	files := []cli.Flag{
		&cli.StringFlag{Name: "certificate", Usage: "`FILE` to write the certificate to", Required: true},
		&cli.StringFlag{Name: "key", Usage: "`FILE` to write the key to", Required: true},
	}
	return &cli.Command{
		Name:  "certificate",
		Usage: "create the certificates with which boxes authenticate each other",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "create the certificate authority that signs the boxes' certificates", Flags: files,
				Action: func(_ context.Context, c *cli.Command) error {
					p, err := certificate.NewAuthority(time.Now())
					return writePair(e, c, p, err)
				},
			},
			{
				Name: "box", Usage: "create the certificate of a box", ArgsUsage: "NAME IP...",
				Flags: append(files,
					&cli.StringFlag{Name: "authority", Usage: "`FILE` of the authority's certificate", Required: true},
					&cli.StringFlag{Name: "authority-key", Usage: "`FILE` of the authority's key", Required: true},
				),
				Action: func(_ context.Context, c *cli.Command) error { return runCertificateBoxCmd(e, c) },
			},
		},
	}
}

func runCertificateBoxCmd(e *ioStreams, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.Join(errBadInput, errors.New("certificate box takes NAME and at least one IP address"))
	}
	a := new(certificate.Pair)
	var err error
	if a.Certificate, err = os.ReadFile(c.String("authority")); err != nil {
		return errors.Join(errBadInput, err)
	}
	if a.Key, err = os.ReadFile(c.String("authority-key")); err != nil {
		return errors.Join(errBadInput, err)
	}
	var l []net.IP
	for _, s := range c.Args().Slice()[1:] {
		i := net.ParseIP(s)
		if i == nil {
			return errors.Join(errBadInput, fmt.Errorf("%q is not an IP address", s))
		}
		l = append(l, i)
	}
	p, err := certificate.NewBox(a, c.Args().First(), l, time.Now())
	return writePair(e, c, p, err)
}

// writePair writes the certificate and the key to the files that the flags name, unless err is set.
func writePair(e *ioStreams, c *cli.Command, p *certificate.Pair, err error) error {
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.String("certificate"), p.Certificate, modeCertificate); err != nil {
		return err
	}
	if err := os.WriteFile(c.String("key"), p.Key, modeKey); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.output, "wrote %s and %s\n", c.String("certificate"), c.String("key"))
	return err
}
