package dbops_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/dbase"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(t *testing.T) (*dbase.Server, *dbops.Database) {
	t.Helper()
	s := &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
		Password:       "secret",
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	d := &dbops.Database{
		Address:  s.Addr().String(),
		Password: "secret",
	}
	t.Cleanup(func() {
		d.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return s, d
}

func TestOperations(t *testing.T) {
	_, d := open(t)
	r, err := d.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, r.Role(), coltsfootloft.Primary)
	assert.Equal(t, r.Received(), coltsfootloft.NewPosition(dbase.BootstrapTerm, 1))
	next := dbase.BootstrapTerm.Next("host's")
	r, err = d.Fence(t.Context(), next)
	assert.NilError(t, err)
	assert.Equal(t, r.Fence(), next)
	_, err = d.Promote(t.Context(), dbase.BootstrapTerm)
	assert.Assert(t, errors.Is(err, coltsfootloft.ErrFenced))
	r, err = d.Promote(t.Context(), next)
	assert.NilError(t, err)
	assert.Equal(t, r.Applied(), coltsfootloft.NewPosition(next, 2))
}

func TestTLS(t *testing.T) {
	web := httptest.NewTLSServer(nil)
	defer web.Close()
	s := &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
		TLS: &tls.Config{
			Certificates: web.TLS.Certificates,
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	roots := x509.NewCertPool()
	roots.AddCert(web.Certificate())
	for name, ok := range map[string]bool{"127.0.0.1": true, "another.example": false} {
		d := &dbops.Database{
			Address: s.Addr().String(),
			TLS: &tls.Config{
				RootCAs:    roots,
				ServerName: name,
			},
		}
		_, err := d.Status(t.Context())
		assert.Equal(t, err == nil, ok, "%s: %v", name, err)
		d.Close()
	}
	cancel()
	assert.NilError(t, <-done)
}

func TestAwaitWakesOnChange(t *testing.T) {
	_, d := open(t)
	r, err := d.Status(t.Context())
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	same, err := d.Await(short, r.Version())
	assert.NilError(t, err)
	assert.Equal(t, same.Version(), r.Version())
	woken := make(chan coltsfootloft.Reading, 1)
	go func() {
		a, _ := d.Await(context.Background(), r.Version())
		woken <- a
	}()
	next := dbase.BootstrapTerm.Next("host")
	_, err = d.Fence(t.Context(), next)
	assert.NilError(t, err)
	a := <-woken
	assert.Equal(t, a.Fence(), next)
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	_, d := open(t)
	r, err := d.Status(t.Context())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = d.Await(ctx, r.Version())
	assert.Assert(t, err != nil)
	next := dbase.BootstrapTerm.Next("host")
	_, err = d.Fence(t.Context(), next)
	assert.NilError(t, err)
	a, err := d.Await(t.Context(), r.Version())
	assert.NilError(t, err)
	assert.Equal(t, a.Fence(), next)
}
