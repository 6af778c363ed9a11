// Package certs builds TLS configurations from files that may be replaced while the
// process runs.
//
// A [Reloader] serves one role: connections with callers, connections to databases, or
// links between hosts in both directions. At the start of a handshake, at most once
// per interval, it reads its files and reloads them if they have changed. If the new
// files don't form a valid set, it keeps using the last valid ones and logs the error,
// so certificate and key need not be replaced at the same instant. A file that ends within
// a PEM block is not valid; one that ends between two blocks can't be told from a whole one.
// Open connections keep the certificates with which they were established.
package certs

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
)

// DefaultInterval is the default of [Reloader.Interval].
const DefaultInterval = 2 * time.Second

// Reloader holds the certificates of one role. Its exported fields must be set before
// the first call and not changed afterwards.
type Reloader struct {
	// Files names the files of the role.
	Files conf.TLSFiles
	// AnyServerName makes [Reloader.Client] accept any server certificate that an
	// authority has signed, whatever address it was issued for.
	AnyServerName bool
	// Protocols are the protocols offered by ALPN; none if empty.
	Protocols []string
	// Interval is the minimum time between two reads of the files; DefaultInterval
	// if 0.
	Interval time.Duration
	// Clock is the time source; the system clock if nil.
	Clock clockwork.Clock
	// Log receives a line for each reload, successful or failed.
	Log logr.Logger

	mu        sync.Mutex
	lastCheck time.Time
	raw       contents
	active    material
}

// contents holds the bytes of the files; nil for a file that the role doesn't have.
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

// material is the parsed content of the files.
type material struct {
	loaded       bool
	certificates []tls.Certificate
	authorities  *x509.CertPool
}

// Check reads the files now and fails if they are invalid. A process calls it at its
// start, so as to fail early.
func (r *Reloader) Check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

// Server returns the configuration for accepting connections. If the role has
// authorities, the client must present a certificate signed by one of them.
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

// Client returns the configuration for connections to one IP:port. It need not be
// renewed when the files change: each handshake uses their current content.
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
	if r.AnyServerName {
		host = ""
	}
	r.useCurrentFiles(c, host)
	return c, nil
}

// linkServerName is sent as the server name in handshakes between hosts, instead of a
// host's name. Any certificate signed by the authorities is accepted as a host's.
const linkServerName = "coltsfootloft"

// Link returns the configuration for both directions of the links between hosts. Each
// handshake uses the current content of the files.
func (r *Reloader) Link() *tls.Config {
	c := r.Server()
	c.ServerName = linkServerName
	r.useCurrentFiles(c, "")
	return c
}

// useCurrentFiles makes the client side of c use the current content of the files in
// each handshake. The server's certificate must be valid for host, unless that is
// empty.
func (r *Reloader) useCurrentFiles(c *tls.Config, host string) {
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		m, err := r.current()
		if err != nil || len(m.certificates) == 0 {
			return &tls.Certificate{}, err
		}
		return &m.certificates[0], nil
	}
	// VerifyConnection verifies the chain instead, with the current authorities.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(s tls.ConnectionState) error {
		m, err := r.current()
		if err != nil {
			return err
		}
		return verifyChain(s, m.authorities, host)
	}
}

// verifyChain checks that the server's certificate was signed by one of the
// authorities and, unless host is empty, that it is valid for host.
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

// current returns the current content of the files, or the last valid content if the
// files are invalid now. It fails only if they have never been valid.
func (r *Reloader) current() (material, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active.loaded && r.now().Sub(r.lastCheck) < cmp.Or(r.Interval, DefaultInterval) {
		return r.active, nil
	}
	err := r.load()
	if err != nil && r.active.loaded {
		r.Log.Error(err, "could not reload certificates, keeping the previous ones")
		return r.active, nil
	}
	return r.active, err
}

// load reads the files and parses them if they have changed. The caller must hold
// r.mu.
func (r *Reloader) load() error {
	r.lastCheck = r.now()
	c, err := r.read()
	if err != nil {
		return err
	}
	if r.active.loaded && c.equal(r.raw) {
		return nil
	}
	m, err := c.parse()
	if err != nil {
		return err
	}
	if r.active.loaded {
		r.Log.Info("certificates reloaded", "certificate", r.Files.Certificate(), "authorities", r.Files.Authorities())
	}
	r.raw = c
	r.active = m
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
		if err := checkBlocks(c.certificate); err != nil {
			return m, errors.Wrap(err, "tls certificate")
		}
		p, err := tls.X509KeyPair(c.certificate, c.key)
		if err != nil {
			return m, errors.Wrap(err, "tls certificate and key")
		}
		m.certificates = []tls.Certificate{p}
	}
	if c.authorities != nil {
		if err := checkBlocks(c.authorities); err != nil {
			return m, errors.Wrap(err, "tls authorities")
		}
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(c.authorities) {
			return m, errors.New("tls authorities: no certificate in PEM")
		}
	}
	return m, nil
}

// blockStart begins the first line of a PEM block.
const blockStart = "-----BEGIN "

// checkBlocks fails if a PEM block is not whole. The parsers of the standard library skip such blocks.
func checkBlocks(data []byte) error {
	whole := 0
	for rest := data; ; whole++ {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			break
		}
	}
	begun := 0
	last := ""
	for l := range strings.Lines(string(data)) {
		if strings.HasPrefix(l, blockStart) {
			begun++
		}
		last = l
	}
	if begun != whole || last != "" && strings.HasPrefix(blockStart, last) {
		return errors.Errorf("%d of %d PEM blocks are whole", whole, max(begun, whole+1))
	}
	return nil
}

func (r *Reloader) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock.Now()
}
