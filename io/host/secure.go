package host

import (
	"crypto/tls"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/certs"
)

// security holds the certificates of each role; a role without TLS has none.
type security struct {
	callers   *certs.Reloader
	upstreams *certs.Reloader
	peers     *certs.Reloader
}

// provideSecurity reads the certificates once, so that a host with bad ones does
// not start.
func provideSecurity(settings *conf.Host, clock clockwork.Clock, log logr.Logger) (security, error) {
	var s security
	for _, o := range []struct {
		role    string
		files   conf.TLSFiles
		anyName bool
		to      **certs.Reloader
	}{
		{
			role:  "callers",
			files: settings.CallerTLS(),
			to:    &s.callers,
		},
		{
			role:    "upstreams",
			files:   settings.UpstreamTLS(),
			anyName: settings.UpstreamAnyName(),
			to:      &s.upstreams,
		},
		{
			role:    "peers",
			files:   settings.PeerTLS(),
			anyName: true,
			to:      &s.peers,
		},
	} {
		if o.files.IsZero() {
			continue
		}
		r := &certs.Reloader{
			Files:   o.files,
			AnyName: o.anyName,
			Clock:   clock,
			Log:     log.WithName("certs").WithValues("role", o.role),
		}
		if err := r.Check(); err != nil {
			return s, errors.Wrap(err, o.role)
		}
		*o.to = r
	}
	return s, nil
}

// caller is the configuration for callers, nil without TLS.
func (s security) caller() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.Server()
}

// peer is the configuration for links between hosts, nil without TLS.
func (s security) peer() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Link()
}

// upstream is the configuration for one database, nil without TLS. Where there is
// none to be had it is one that no handshake passes, never a connection in clear.
func (s security) upstream(address string) *tls.Config {
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
