package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/certs"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	c := a.template("authority")
	c.IsCA = true
	c.KeyUsage = x509.KeyUsageCertSign
	c.BasicConstraintsValid = true
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	assert.NilError(t, err)
	a.key = key
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue writes a certificate for an IP address, its key and the authority's certificate
// into dir.
func (a *authority) issue(t *testing.T, dir, name, ip string) conf.TLSFiles {
	t.Helper()
	c := a.template(name)
	c.IPAddresses = []net.IP{net.ParseIP(ip)}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	k, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	f := conf.NewTLSFiles(filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca"))
	write(t, f.Certificate(), "CERTIFICATE", der)
	write(t, f.Key(), "PRIVATE KEY", k)
	write(t, f.Authorities(), "CERTIFICATE", a.certificate.Raw)
	return f
}

func write(t *testing.T, name, kind string, der []byte) {
	t.Helper()
	b := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	assert.NilError(t, os.WriteFile(name, b, 0o600))
}

// handshakeTimeout bounds a handshake, as a failed one might block one side forever.
const handshakeTimeout = 2 * time.Second

// handshake runs one handshake. It returns the common name of the server's certificate,
// as the client sees it, and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (name string, clientErr, serverErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer raw.Close()
		raw.SetDeadline(time.Now().Add(handshakeTimeout))
		done <- tls.Server(raw, server).Handshake()
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	raw.SetDeadline(time.Now().Add(handshakeTimeout))
	c := tls.Client(raw, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		name = c.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	return name, clientErr, <-done
}

func client(t *testing.T, r *certs.Reloader, address string) *tls.Config {
	t.Helper()
	c, err := r.Client(address)
	assert.NilError(t, err)
	return c
}

func TestMutualTLSBetweenHosts(t *testing.T) {
	a := newAuthority(t)
	one := &certs.Reloader{
		Files:         a.issue(t, t.TempDir(), "one", "10.0.0.1"),
		AnyServerName: true,
	}
	two := &certs.Reloader{
		Files:         a.issue(t, t.TempDir(), "two", "10.0.0.2"),
		AnyServerName: true,
	}
	assert.NilError(t, one.Check())
	name, err, serverErr := handshake(t, one.Server(), client(t, two, "127.0.0.1:1"))
	assert.NilError(t, err)
	assert.NilError(t, serverErr)
	assert.Equal(t, name, "one")
	untrusted := &certs.Reloader{
		Files:         newAuthority(t).issue(t, t.TempDir(), "stranger", "10.0.0.3"),
		AnyServerName: true,
	}
	_, err, _ = handshake(t, untrusted.Server(), client(t, two, "127.0.0.1:1"))
	assert.ErrorContains(t, err, "unknown authority")
	_, _, serverErr = handshake(t, one.Server(), client(t, untrusted, "127.0.0.1:1"))
	assert.Assert(t, serverErr != nil)
	noCertificate := client(t, two, "127.0.0.1:1")
	noCertificate.GetClientCertificate = nil
	_, _, serverErr = handshake(t, one.Server(), noCertificate)
	assert.ErrorContains(t, serverErr, "certificate")
}

// One configuration serves both directions of a link, and connections opened after a
// replacement of the files use the new ones without a new configuration.
func TestLinkUsesCurrentFilesInBothDirections(t *testing.T) {
	a := newAuthority(t)
	clock := clockwork.NewFakeClock()
	dir := t.TempDir()
	one := &certs.Reloader{
		Files: a.issue(t, dir, "one", "10.0.0.1"),
		Clock: clock,
	}
	two := &certs.Reloader{Files: a.issue(t, t.TempDir(), "two", "10.0.0.2")}
	first, second := one.Link(), two.Link()
	name, err, serverErr := handshake(t, first, second)
	assert.NilError(t, err)
	assert.NilError(t, serverErr)
	assert.Equal(t, name, "one")
	untrusted := newAuthority(t)
	untrusted.issue(t, dir, "moved", "10.0.0.1")
	clock.Advance(certs.DefaultInterval)
	_, err, _ = handshake(t, first, second)
	assert.ErrorContains(t, err, "unknown authority")
	_, _, serverErr = handshake(t, second, first)
	assert.Assert(t, serverErr != nil)
	a.issue(t, dir, "renewed", "10.0.0.1")
	clock.Advance(certs.DefaultInterval)
	name, err, serverErr = handshake(t, first, second)
	assert.NilError(t, err)
	assert.NilError(t, serverErr)
	assert.Equal(t, name, "renewed")
}

func TestAddressMustBeInTheCertificate(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	files := a.issue(t, dir, "db", "10.0.0.1")
	server := &certs.Reloader{Files: conf.NewTLSFiles(files.Certificate(), files.Key(), "")}
	strict := &certs.Reloader{Files: conf.NewTLSFiles("", "", files.Authorities())}
	_, err, _ := handshake(t, server.Server(), client(t, strict, "10.0.0.1:5432"))
	assert.NilError(t, err)
	_, err, _ = handshake(t, server.Server(), client(t, strict, "10.0.0.2:5432"))
	assert.ErrorContains(t, err, "10.0.0.2")
}

func TestFilesAreReloadedAndInvalidOnesIgnored(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	clock := clockwork.NewFakeClock()
	r := &certs.Reloader{
		Files:         a.issue(t, dir, "old", "10.0.0.1"),
		AnyServerName: true,
		Clock:         clock,
	}
	server := r.Server()
	serverName := func() string {
		name, err, _ := handshake(t, server, client(t, r, "10.0.0.1:1"))
		assert.NilError(t, err)
		return name
	}
	assert.Equal(t, serverName(), "old")
	a.issue(t, dir, "new", "10.0.0.1")
	assert.Equal(t, serverName(), "old")
	clock.Advance(certs.DefaultInterval)
	assert.Equal(t, serverName(), "new")
	assert.NilError(t, os.WriteFile(r.Files.Key(), []byte("not yet written"), 0o600))
	clock.Advance(certs.DefaultInterval)
	assert.Equal(t, serverName(), "new")
	a.issue(t, dir, "newest", "10.0.0.1")
	clock.Advance(certs.DefaultInterval)
	assert.Equal(t, serverName(), "newest")
}

func TestCheckFailsEarly(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t)
	files := a.issue(t, dir, "x", "10.0.0.1")
	missing := &certs.Reloader{Files: conf.NewTLSFiles(files.Certificate(), filepath.Join(dir, "none"), "")}
	assert.ErrorContains(t, missing.Check(), "no such file")
	invalid := &certs.Reloader{Files: conf.NewTLSFiles(files.Certificate(), files.Key(), files.Key())}
	assert.ErrorContains(t, invalid.Check(), "no certificate in PEM")
	_, err := missing.Client("10.0.0.1:1")
	assert.ErrorContains(t, err, "no such file")
}

// TestFilesWrittenInPartAreIgnored guards against a file that is read while it is being written: what it
// holds so far parses, so that a host took part of the authorities or of a chain for all of it.
func TestFilesWrittenInPartAreIgnored(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	clock := clockwork.NewFakeClock()
	r := &certs.Reloader{
		Files:         a.issue(t, dir, "one", "10.0.0.1"),
		AnyServerName: true,
		Clock:         clock,
	}
	other := b.issue(t, t.TempDir(), "two", "10.0.0.2")
	authorities := append(read(t, r.Files.Authorities()), read(t, other.Authorities())...)
	one := len(read(t, r.Files.Authorities()))
	assert.NilError(t, os.WriteFile(r.Files.Authorities(), authorities, 0o600))
	assert.NilError(t, r.Check())
	for n := one + 1; n < len(authorities)-1; n++ {
		assert.NilError(t, os.WriteFile(r.Files.Authorities(), authorities[:n], 0o600))
		assert.ErrorContains(t, r.Check(), "PEM block", "%d of %d bytes", n, len(authorities))
	}
	clock.Advance(certs.DefaultInterval)
	server := &certs.Reloader{Files: conf.NewTLSFiles(other.Certificate(), other.Key(), "")}
	_, err, serverErr := handshake(t, server.Server(), client(t, r, "10.0.0.2:1"))
	assert.NilError(t, err)
	assert.NilError(t, serverErr)

	assert.NilError(t, os.WriteFile(r.Files.Authorities(), authorities, 0o600))
	chain := append(read(t, r.Files.Certificate()), read(t, r.Files.Authorities())...)
	assert.NilError(t, os.WriteFile(r.Files.Certificate(), chain[:len(chain)-40], 0o600))
	assert.ErrorContains(t, r.Check(), "PEM block")
	assert.NilError(t, os.WriteFile(r.Files.Certificate(), chain, 0o600))
	assert.NilError(t, r.Check())
}

// TestTextAroundCertificatesIsAllowed guards against refusing the notes that bundles of authorities carry.
func TestTextAroundCertificatesIsAllowed(t *testing.T) {
	a := newAuthority(t)
	files := a.issue(t, t.TempDir(), "one", "10.0.0.1")
	bundle := "# authority\n- first\n" + string(read(t, files.Authorities())) + "\r\nend - of bundle"
	assert.NilError(t, os.WriteFile(files.Authorities(), []byte(bundle), 0o600))
	r := &certs.Reloader{Files: files}
	assert.NilError(t, r.Check())
}

func read(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	return b
}
