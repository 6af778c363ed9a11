package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

// fleet runs Links that resolve each other by name.
type fleet struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (f *fleet) resolve(host string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.addresses[host]
	return a, ok
}

func (f *fleet) start(t testing.TB, l *Links) {
	t.Helper()
	l.Listen = "127.0.0.1:0"
	l.Resolve = f.resolve
	l.Register("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	l.Register("fail", func(context.Context, string, []byte) ([]byte, error) {
		return nil, errors.New("no")
	})
	l.Register("hang", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	f.mu.Lock()
	f.addresses[l.Self] = l.Addr()
	f.mu.Unlock()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
}

func pairOf(t *testing.T) (a, b *Links, f *fleet) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f = &fleet{addresses: make(map[string]string)}
	a = &Links{Self: "a"}
	b = &Links{Self: "b"}
	f.start(t, a)
	f.start(t, b)
	return a, b, f
}

func TestCallBothWaysOverOneLink(t *testing.T) {
	a, b, _ := pairOf(t)
	got, err := a.Call(t.Context(), "b", "echo", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "a:x")
	got, err = b.Call(t.Context(), "a", "echo", []byte("y"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "b:y")
	got, err = a.Call(t.Context(), "a", "echo", nil)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "a:")
	b.mu.Lock()
	assert.Equal(t, len(b.links)+len(b.retired), 1)
	b.mu.Unlock()
	n, bytes := a.Sent("echo")
	assert.Equal(t, n, uint64(2))
	assert.Assert(t, bytes > 0 && a.WireSent() > bytes)
}

func TestErrorsAreTyped(t *testing.T) {
	a, _, f := pairOf(t)
	a.MaxFrame = 100
	_, err := a.Call(t.Context(), "b", "fail", nil)
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote) && !NotHandled(err))
	assert.Equal(t, remote.Error(), "b: fail: no")
	for want, c := range map[error]struct {
		host string
		duty string
		size int
	}{
		ErrUnknownDuty: {"b", "none", 0},
		ErrTooLarge:    {"b", "echo", 101},
		ErrUnreachable: {"c", "echo", 0},
	} {
		_, err = a.Call(t.Context(), c.host, c.duty, make([]byte, c.size))
		assert.ErrorIs(t, err, want)
		assert.Assert(t, NotHandled(err))
	}
	f.mu.Lock()
	f.addresses["c"] = f.addresses["b"]
	f.mu.Unlock()
	_, err = a.Call(t.Context(), "c", "echo", nil)
	assert.ErrorIs(t, err, ErrUnreachable)
	assert.ErrorContains(t, err, "this host is b")
}

func TestFullLinkIsAnOutcome(t *testing.T) {
	a, _, _ := pairOf(t)
	a.MaxCalls = 2
	ctx, stop := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() { _, _ = a.Call(ctx, "b", "hang", nil) })
	}
	for inFlight := int64(0); inFlight < 2; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		if k := a.links["b"]; k != nil {
			inFlight = k.calls.Load()
		}
		a.mu.Unlock()
	}
	_, err := a.Call(t.Context(), "b", "echo", nil)
	assert.ErrorIs(t, err, ErrBusy)
	assert.Assert(t, NotHandled(err))
	stop()
	calls.Wait()
	_, err = a.Call(t.Context(), "b", "echo", nil)
	assert.NilError(t, err)
}

func TestCallerThatGivesUpEndsTheHandler(t *testing.T) {
	a, b, _ := pairOf(t)
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, err := a.Call(ctx, "b", "hang", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	b.mu.Lock()
	k := b.links["a"]
	b.mu.Unlock()
	for k.serving.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestBothDialAtOnce(t *testing.T) {
	for range 20 {
		f := &fleet{addresses: make(map[string]string)}
		a, b := &Links{Self: "a"}, &Links{Self: "b"}
		f.start(t, a)
		f.start(t, b)
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				_, err := a.Call(t.Context(), "b", "echo", nil)
				assert.Check(t, err)
			})
			calls.Go(func() {
				_, err := b.Call(t.Context(), "a", "echo", nil)
				assert.Check(t, err)
			})
		}
		calls.Wait()
		a.mu.Lock()
		assert.Check(t, a.links["b"] != nil)
		one := a.links["b"].dialer
		a.mu.Unlock()
		b.mu.Lock()
		assert.Check(t, b.links["a"] != nil)
		assert.Check(t, one == b.links["a"].dialer)
		b.mu.Unlock()
	}
}

func TestIdleLinkIsClosed(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f := &fleet{addresses: make(map[string]string)}
	a := &Links{Self: "a", IdleTimeout: 40 * time.Millisecond}
	b := &Links{Self: "b"}
	f.start(t, a)
	f.start(t, b)
	for range 3 {
		_, err := a.Call(t.Context(), "b", "echo", nil)
		assert.NilError(t, err)
		for open := true; open; time.Sleep(5 * time.Millisecond) {
			b.mu.Lock()
			open = len(b.links)+len(b.retired) > 0
			b.mu.Unlock()
		}
	}
}

// freezer forwards TCP until frozen is set, and then drops all bytes.
type freezer struct {
	mu     sync.Mutex
	frozen bool
}

func (f *freezer) forward(t *testing.T, to string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go f.pump(in, out)
			go f.pump(out, in)
		}
	}()
	return l.Addr().String()
}

func (f *freezer) pump(from, to net.Conn) {
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f.mu.Lock()
		frozen := f.frozen
		f.mu.Unlock()
		if frozen {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func TestFrozenPeerIsNoticedWithinASecond(t *testing.T) {
	a, b, f := pairOf(t)
	z := &freezer{}
	through := z.forward(t, b.Addr())
	f.mu.Lock()
	f.addresses["b"] = through
	f.mu.Unlock()
	_, err := a.Call(t.Context(), "b", "echo", nil)
	assert.NilError(t, err)
	go func() {
		time.Sleep(50 * time.Millisecond)
		z.mu.Lock()
		z.frozen = true
		z.mu.Unlock()
	}()
	began := time.Now()
	_, err = a.Call(t.Context(), "b", "hang", nil)
	assert.ErrorIs(t, err, ErrNoAnswer)
	assert.Assert(t, !NotHandled(err))
	took := time.Since(began)
	t.Logf("frozen 50 ms into a call, noticed after %v", took)
	assert.Assert(t, took < 1250*time.Millisecond)
}

// TestCallOfALostLinkIsNotDelivered guards against a request that is handled after its caller was
// told that the link is lost, because a partition held it up.
func TestCallOfALostLinkIsNotDelivered(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f := &fleet{addresses: make(map[string]string)}
	a, b := &Links{Self: "a"}, &Links{Self: "b"}
	f.start(t, a)
	f.start(t, b)
	var handled atomic.Int32
	b.Register("note", func(context.Context, string, []byte) ([]byte, error) {
		handled.Add(1)
		return nil, nil
	})
	r := &relay.Relay{Target: f.addresses["b"]}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	<-r.Ready()
	f.mu.Lock()
	f.addresses["b"] = r.Addr().String()
	f.mu.Unlock()
	_, err := a.Call(t.Context(), "b", "note", nil)
	assert.NilError(t, err)
	r.Hold(relay.ToTarget, true)
	_, err = a.Call(t.Context(), "b", "note", nil)
	assert.Assert(t, err != nil && !NotHandled(err), "the link must be found lost")
	time.Sleep(20 * time.Millisecond)
	r.Hold(relay.ToTarget, false)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, handled.Load(), int32(1))
	cancel()
	assert.NilError(t, <-ended)
}

func TestMutualTLSPinsNames(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	issue := authority(t)
	f := &fleet{addresses: make(map[string]string)}
	a := &Links{Self: "a", TLS: issue("a")}
	b := &Links{Self: "b", TLS: issue("b")}
	c := &Links{Self: "c", TLS: issue("b")}
	plain := &Links{Self: "d"}
	for _, l := range []*Links{a, b, c, plain} {
		f.start(t, l)
	}
	_, err := a.Call(t.Context(), "b", "echo", nil)
	assert.NilError(t, err)
	_, err = a.Call(t.Context(), "c", "echo", nil)
	assert.ErrorIs(t, err, ErrUnreachable)
	_, err = c.Call(t.Context(), "a", "echo", nil)
	assert.ErrorContains(t, err, "certificate does not name the host")
	_, err = plain.Call(t.Context(), "a", "echo", nil)
	assert.ErrorIs(t, err, ErrUnreachable)
}

func authority(t *testing.T) func(name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	root := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "root"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, root, root, &key.PublicKey, key)
	assert.NilError(t, err)
	root, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(root)
	return func(name string) *tls.Config {
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(2),
			NotAfter:     time.Now().Add(time.Hour),
			DNSNames:     []string{name},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, root, &key.PublicKey, key)
		assert.NilError(t, err)
		return &tls.Config{
			MinVersion: tls.VersionTLS13,
			RootCAs:    pool,
			ClientCAs:  pool,
			Certificates: []tls.Certificate{{
				Certificate: [][]byte{der},
				PrivateKey:  key,
			}},
		}
	}
}
