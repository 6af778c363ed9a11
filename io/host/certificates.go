package host

import (
	"crypto/tls"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/certs"
)

// certificates holds the certificate files of each role: those for callers, for
// upstreams and for peers. A role without TLS is nil.
type certificates struct {
	callers   *certs.Reloader
	upstreams *certs.Reloader
	peers     *certs.Reloader
}

// provideCertificates reads every certificate once, so that a host with an invalid
// one does not start.
func provideCertificates(settings *conf.Host, clock clockwork.Clock, log logr.Logger) (certificates, error) {
	var s certificates
	for _, o := range []struct {
		role          string
		files         conf.TLSFiles
		anyServerName bool
		to            **certs.Reloader
	}{
		{
			role:  "callers",
			files: settings.CallerTLS(),
			to:    &s.callers,
		},
		{
			role:          "upstreams",
			files:         settings.UpstreamTLS(),
			anyServerName: settings.UpstreamAnyName(),
			to:            &s.upstreams,
		},
		{
			role:          "peers",
			files:         settings.PeerTLS(),
			anyServerName: true,
			to:            &s.peers,
		},
	} {
		if o.files.IsZero() {
			continue
		}
		r := &certs.Reloader{
			Files:         o.files,
			AnyServerName: o.anyServerName,
			Clock:         clock,
			Log:           log.WithName("certs").WithValues("role", o.role),
		}
		if err := r.Check(); err != nil {
			return s, errors.Wrap(err, o.role)
		}
		*o.to = r
	}
	return s, nil
}

// callerTLS returns the configuration for connections of callers, nil without TLS.
func (s certificates) callerTLS() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.Server()
}

// peerTLS returns the configuration for links between hosts, nil without TLS.
func (s certificates) peerTLS() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Link()
}

// upstreamTLS returns the configuration for connections to one database, nil without
// TLS. If the certificates can't be read, it returns one with which every handshake
// fails, so that a connection is never made in plain text.
func (s certificates) upstreamTLS(address string) *tls.Config {
	if s.upstreams == nil {
		return nil
	}
	c, err := s.upstreams.Client(address)
	if err != nil {
		return &tls.Config{
			MinVersion:       tls.VersionTLS12,
			ServerName:       address,
			VerifyConnection: func(tls.ConnectionState) error { return err },
		}
	}
	return c
}
