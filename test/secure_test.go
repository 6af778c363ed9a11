package test

import (
	"context"
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
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// certAuthority writes certificates to a directory.
type certAuthority struct {
	t           testing.TB
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t testing.TB) *certAuthority {
	t.Helper()
	a := &certAuthority{
		t:   t,
		dir: t.TempDir(),
	}
	a.key = a.newKey()
	c := a.template("authority")
	c.IsCA = true
	c.KeyUsage = x509.KeyUsageCertSign
	c.BasicConstraintsValid = true
	der, err := x509.CreateCertificate(rand.Reader, c, c, a.key.Public(), a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write(a.file("ca"), "CERTIFICATE", der)
	return a
}

func (a *certAuthority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	return key
}

func (a *certAuthority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *certAuthority) file(name string) string { return filepath.Join(a.dir, name) }

// issue writes NAME.cert and NAME.key for the loopback addresses in use, and replaces
// earlier ones.
func (a *certAuthority) issue(name, common string) {
	a.t.Helper()
	c := a.template(common)
	for i := range 3 {
		for _, last := range []int{10, 11, 12, 100, 101, 102} {
			c.IPAddresses = append(c.IPAddresses, net.ParseIP(placeIP(i+1, last)))
		}
	}
	key := a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, key.Public(), a.key)
	assert.NilError(a.t, err)
	k, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	a.write(a.file(name+".key"), "PRIVATE KEY", k)
	a.write(a.file(name+".cert"), "CERTIFICATE", der)
}

func (a *certAuthority) write(name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	assert.NilError(a.t, os.WriteFile(name, b, 0o600))
}

// TestSecurity runs a fleet with TLS for callers, databases and links between hosts. A
// certificate is replaced while its host runs, and a host without one is refused by the
// others.
func TestSecurity(t *testing.T) {
	a := newAuthority(t)
	for _, name := range []string{"callers", "db", "h1", "h2"} {
		a.issue(name, name)
	}
	f := newFleet(t, layout{
		domains: 2,
		hosts:   3,
		groups:  1,
		databaseArgs: func(string) []string {
			return []string{"-tls-cert", a.file("db.cert"), "-tls-key", a.file("db.key")}
		},
		hostArgs: func(name string) []string {
			args := []string{
				"-caller-cert", a.file("callers.cert"), "-caller-key", a.file("callers.key"),
				"-require-tls", "true", "-upstream-ca", a.file("ca"),
			}
			if name == "h3" {
				return args
			}
			return append(args, "-peer-ca", a.file("ca"), "-peer-cert", a.file(name+".cert"), "-peer-key", a.file(name+".key"))
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	t.Run("callers without TLS are refused", func(t *testing.T) {
		_, err := pgx.Connect(ctx, f.dsn(f.hosts[0], "alpha.app", "g1"))
		assert.Equal(t, code(err), "28000")
		assert.Equal(t, detail(err), "not run")
	})

	t.Run("callers with TLS write and read", func(t *testing.T) {
		one, two := f.connectTLS(a, f.hosts[0]), f.connectTLS(a, f.hosts[1])
		mustExec(t, one, "CREATE TABLE notices (id int4 PRIMARY KEY)")
		mustExec(t, one, "INSERT INTO notices VALUES (1)")
		mustExec(t, two, "SET coltsfootloft.token = '"+one.PgConn().ParameterStatus("coltsfootloft.token")+"'")
		var n int
		assert.NilError(t, two.QueryRow(ctx, "SELECT count(*) FROM notices").Scan(&n))
		assert.Equal(t, n, 1)
	})

	t.Run("a replaced certificate is shown without a restart", func(t *testing.T) {
		open := f.connectTLS(a, f.hosts[0])
		a.issue("callers", "renewed")
		f.await("the new certificate", func() bool { return serverCommonName(f.connectTLS(a, f.hosts[0])) == "renewed" })
		assert.Equal(t, serverCommonName(open), "callers")
		assert.NilError(t, open.Ping(ctx))
	})

	t.Run("a host without a certificate is refused", func(t *testing.T) {
		f.hosts[0].process.awaitLog(t, "not look like a TLS handshake")
		f.await("the link between the other two hosts, which either may open", func() bool {
			return strings.Contains(f.hosts[0].process.log.String()+f.hosts[1].process.log.String(), "peer link opened")
		})
		f.hosts[2].process.awaitLog(t, "peer link not opened")
		assert.Assert(t, !strings.Contains(f.hosts[2].process.log.String(), "peer link opened"))
	})
}

// connectTLS opens a session that verifies the host's certificate.
func (f *fleet) connectTLS(a *certAuthority, e *entry) *pgx.Conn {
	f.t.Helper()
	config, err := pgx.ParseConfig(f.dsn(e, "alpha.app", "g1"))
	assert.NilError(f.t, err)
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	config.TLSConfig = &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    roots,
		ServerName: config.Host,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.ConnectConfig(ctx, config)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// serverCommonName returns the common name in the certificate that the host presented.
func serverCommonName(c *pgx.Conn) string {
	s, ok := c.PgConn().Conn().(*tls.Conn)
	if !ok {
		return ""
	}
	return s.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// await polls until check is true, and fails the test after 20 s.
func (f *fleet) await(condition string, check func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !check(); {
		if time.Now().After(end) {
			f.t.Fatalf("still waiting for %s", condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
