// Package certs makes TLS configurations from files that may be replaced while
// the process runs.
//
// A [Reloader] stands for one role: towards callers, towards databases, or between
// hosts in both directions. It looks at its files when a handshake begins, at most
// once in its interval, and reads them again if they have changed. Should the new
// files not fit together, the last good ones stay in use and the error is logged,
// so that certificate and key need not be replaced at the same instant.
// Connections that are open already keep the certificates they began with.
package certs

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
)

// DefaultInterval is the least time between two looks at the files.
const DefaultInterval = 2 * time.Second

// Reloader holds the certificates of one role. Its fields are set before the
// first call.
type Reloader struct {
	// Files are the files of the role.
	Files conf.TLSFiles
	// AnyName accepts a server's certificate whatever address it is for, as long
	// as it comes from the authorities.
	AnyName bool
	// Protocols are offered by ALPN; none if empty.
	Protocols []string
	// Interval is the least time between two looks at the files;
	// DefaultInterval if 0.
	Interval time.Duration
	// Clock tells the time; the system's if nil.
	Clock clockwork.Clock
	// Log takes events.
	Log logr.Logger

	mu     sync.Mutex
	looked time.Time
	raw    contents
	good   material
}

// contents are the bytes of the files.
type contents struct {
	certificate []byte
	key         []byte
	authorities []byte
}

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.certificate, o.certificate) &&
		bytes.Equal(c.key, o.key) &&
		bytes.Equal(c.authorities, o.authorities)
}

// material is what the files hold.
type material struct {
	loaded       bool
	certificates []tls.Certificate
	authorities  *x509.CertPool
}

// Check reads the files now. A process calls it at its start, to fail early.
func (r *Reloader) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

// Server returns the configuration for accepting connections. Where the role has
// authorities, the other side must show a certificate from them.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: r.Protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := r.current()
			if err != nil {
				return nil, err
			}
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   r.Protocols,
				Certificates: m.certificates,
			}
			if m.authorities != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = m.authorities
			}
			return c, nil
		},
	}
}

// Client returns the configuration for connections to one IP:port. It follows the
// files too: each handshake uses what they hold by then.
func (r *Reloader) Client(address string) (*tls.Config, error) {
	if _, err := r.current(); err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: r.Protocols,
		ServerName: host,
	}
	if r.AnyName {
		host = ""
	}
	r.follow(c, host)
	return c, nil
}

// linkName stands in handshakes between hosts in place of a host's name: any
// certificate from the authorities is a host's.
const linkName = "coltsfootloft"

// Link returns the configuration for both directions of the links between hosts.
func (r *Reloader) Link() *tls.Config {
	c := r.Server()
	c.ServerName = linkName
	r.follow(c, "")
	return c
}

// follow has a client's handshakes use what the files hold by then. The server's
// certificate must be for host, unless that is empty.
func (r *Reloader) follow(c *tls.Config, host string) {
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		m, err := r.current()
		if err != nil || len(m.certificates) == 0 {
			return &tls.Certificate{}, err
		}
		return &m.certificates[0], nil
	}
	// VerifyConnection checks the chain instead, with the authorities of then.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(s tls.ConnectionState) error {
		m, err := r.current()
		if err != nil {
			return err
		}
		return verifyChain(s, m.authorities, host)
	}
}

// verifyChain checks that the certificate comes from the authorities, and is for
// host if that is not empty.
func verifyChain(s tls.ConnectionState, authorities *x509.CertPool, host string) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("tls: no certificate")
	}
	o := x509.VerifyOptions{
		DNSName:       host,
		Roots:         authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return errors.Wrap(err, "tls")
}

// current returns what the files hold now, or held when they were last good.
func (r *Reloader) current() (material, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.good.loaded && r.now().Sub(r.looked) < cmp.Or(r.Interval, DefaultInterval) {
		return r.good, nil
	}
	err := r.load()
	if err != nil && r.good.loaded {
		r.Log.Error(err, "certificates not reloaded, earlier ones stay in use")
		return r.good, nil
	}
	return r.good, err
}

func (r *Reloader) load() error {
	r.looked = r.now()
	c, err := r.read()
	if err != nil {
		return err
	}
	if r.good.loaded && c.equal(r.raw) {
		return nil
	}
	m, err := c.parse()
	if err != nil {
		return err
	}
	if r.good.loaded {
		r.Log.Info("certificates reloaded", "certificate", r.Files.Certificate(), "authorities", r.Files.Authorities())
	}
	r.raw = c
	r.good = m
	return nil
}

func (r *Reloader) read() (contents, error) {
	var c contents
	for _, f := range []struct {
		name string
		to   *[]byte
	}{
		{
			name: r.Files.Certificate(),
			to:   &c.certificate,
		},
		{
			name: r.Files.Key(),
			to:   &c.key,
		},
		{
			name: r.Files.Authorities(),
			to:   &c.authorities,
		},
	} {
		if f.name == "" {
			continue
		}
		b, err := os.ReadFile(f.name)
		if err != nil {
			return c, errors.Wrap(err, "tls")
		}
		*f.to = b
	}
	return c, nil
}

func (c contents) parse() (material, error) {
	m := material{loaded: true}
	if c.certificate != nil {
		p, err := tls.X509KeyPair(c.certificate, c.key)
		if err != nil {
			return m, errors.Wrap(err, "tls certificate and key")
		}
		m.certificates = []tls.Certificate{p}
	}
	if c.authorities != nil {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(c.authorities) {
			return m, errors.New("tls authorities: no certificate in PEM")
		}
	}
	return m, nil
}

func (r *Reloader) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock.Now()
}
