package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that returns every byte, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// open starts a relay before an echo server.
func open(t *testing.T) *relay.Relay {
	t.Helper()
	r := &relay.Relay{
		Target: echo(t),
		Seed:   1,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	<-r.Ready()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends text and returns the part of its echo that arrives within the time.
func roundTrip(c net.Conn, text string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, len(text))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func TestForwardsAndCaptures(t *testing.T) {
	r := open(t)
	r.Capture(true)
	c := dial(t, r)
	got, err := roundTrip(c, "condolence", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got, "condolence")
	assert.Equal(t, string(r.Captured(relay.ToTarget)), "condolence")
	assert.Equal(t, string(r.Captured(relay.ToCaller)), "condolence")
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	_, err = c.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

func TestDelayAndJitterKeepOrder(t *testing.T) {
	r := open(t)
	r.SetDelay(relay.Both, 30*time.Millisecond)
	r.SetJitter(relay.ToCaller, 20*time.Millisecond)
	c := dial(t, r)
	start := time.Now()
	got, err := roundTrip(c, "x", time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got, "x")
	assert.Assert(t, time.Since(start) >= 60*time.Millisecond)
	want := ""
	for i := range 20 {
		s := string(rune('a' + i))
		want += s
		_, err := io.WriteString(c, s)
		assert.NilError(t, err)
		time.Sleep(time.Millisecond)
	}
	b := make([]byte, len(want))
	_, err = io.ReadFull(c, b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), want)
}

func TestHoldKeepsTheConnection(t *testing.T) {
	for _, d := range []relay.Direction{relay.ToTarget, relay.ToCaller} {
		r := open(t)
		c := dial(t, r)
		r.Hold(d, true)
		_, err := roundTrip(c, "held", 50*time.Millisecond)
		assert.ErrorContains(t, err, "timeout")
		r.Hold(d, false)
		c.SetReadDeadline(time.Now().Add(time.Second))
		b := make([]byte, 4)
		_, err = io.ReadFull(c, b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "held")
	}
}

// refused reports whether a new connection fails when it is opened or used.
func refused(r *relay.Relay) bool {
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		return true
	}
	defer c.Close()
	_, err = roundTrip(c, "x", time.Second)
	return err != nil
}

func TestCutResetsAndRefuses(t *testing.T) {
	r := open(t)
	c := dial(t, r)
	_, err := roundTrip(c, "x", time.Second)
	assert.NilError(t, err)
	r.Hold(relay.ToTarget, true)
	_, err = roundTrip(c, "x", 20*time.Millisecond)
	assert.Assert(t, err != nil)
	r.Cut(true)
	c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	assert.Assert(t, refused(r))
	r.Cut(false)
	r.Hold(relay.Both, false)
	_, err = roundTrip(dial(t, r), "x", time.Second)
	assert.NilError(t, err)
}

func TestDropResetsOnce(t *testing.T) {
	r := open(t)
	c := dial(t, r)
	r.DropAfter(relay.ToTarget, 4)
	_, err := roundTrip(c, "abcdefgh", time.Second)
	assert.Assert(t, err != nil)
	assert.Equal(t, r.Status().ToCaller <= 4, true)
	_, err = roundTrip(dial(t, r), "abcdefgh", time.Second)
	assert.NilError(t, err)
}

func TestControlPort(t *testing.T) {
	r := open(t)
	h := r.Handler()
	for _, c := range []struct {
		path string
		want int
	}{
		{path: "/delay?for=1ms", want: http.StatusOK},
		{path: "/delay?for=soon", want: http.StatusBadRequest},
		{path: "/jitter?direction=to-caller&for=1ms", want: http.StatusOK},
		{path: "/hold?direction=sideways&on=true", want: http.StatusBadRequest},
		{path: "/hold?direction=to-target&on=true", want: http.StatusOK},
		{path: "/hold?on=false", want: http.StatusOK},
		{path: "/drop?direction=to-caller&bytes=1000000", want: http.StatusOK},
		{path: "/drop", want: http.StatusBadRequest},
		{path: "/cut?on=false", want: http.StatusOK},
		{path: "/capture?on=true", want: http.StatusOK},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, c.path, nil))
		assert.Equal(t, w.Code, c.want, c.path)
	}
	_, err := roundTrip(dial(t, r), "key", time.Second)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/captured?direction=to-target", nil))
	assert.Equal(t, w.Body.String(), "key")
}

// TestHeldBytesOfAClosedConnection checks that bytes arrive after the connection was
// closed, in order, and that none do after it was reset.
func TestHeldBytesOfAClosedConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		r := &relay.Relay{Target: l.Addr().String()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		<-r.Ready()
		r.Hold(relay.ToTarget, true)
		c := dial(t, r)
		far, err := l.Accept()
		assert.NilError(t, err)
		for _, s := range []string{"one", "two"} {
			_, err = io.WriteString(c, s)
			assert.NilError(t, err)
		}
		for r.Status().ToTarget < 6 {
			time.Sleep(time.Millisecond)
		}
		if reset {
			assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, c.Close())
		time.Sleep(20 * time.Millisecond)
		r.Hold(relay.ToTarget, false)
		b, err := io.ReadAll(far)
		if reset {
			assert.Equal(t, string(b), "")
			assert.Assert(t, err != nil, "the far end must see the reset")
		} else {
			assert.NilError(t, err)
			assert.Equal(t, string(b), "onetwo")
		}
		far.Close()
		cancel()
		assert.NilError(t, <-done)
		l.Close()
	}
}

// TestSwitchKeepsTheSource guards against a target that can't tell callers apart behind a switch.
func TestSwitchKeepsTheSource(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &relay.Switch{
		Listener:   l,
		Target:     target.Addr().String(),
		KeepSource: true,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, 7)}}
	c, err := d.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	accepted, err := target.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	host, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	assert.NilError(t, err)
	assert.Equal(t, host, "127.0.3.7")
	cancel()
	assert.NilError(t, <-done)
}
