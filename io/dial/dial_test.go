package dial

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFromUsesLocalAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	for local, want := range map[string]string{
		"127.0.3.7:5432": "127.0.3.7",
		"0.0.0.0:5432":   "127.0.0.1",
		"":               "127.0.0.1",
	} {
		c, err := From(local, time.Second)(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		host, _, err := net.SplitHostPort(c.LocalAddr().String())
		assert.NilError(t, err)
		assert.Equal(t, host, want)
		c.Close()
	}
}

// TestIsQuiet guards against a connection that is used for a request while something that it has not
// read would be taken for the answer, or after its other end has closed it.
func TestIsQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	other, err := l.Accept()
	assert.NilError(t, err)
	assert.Assert(t, IsQuiet(conn))
	_, err = other.Write([]byte("x"))
	assert.NilError(t, err)
	awaitNoise(t, conn)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, IsQuiet(conn))
	assert.NilError(t, other.Close())
	awaitNoise(t, conn)
	assert.NilError(t, conn.Close())
	assert.Assert(t, !IsQuiet(conn))
}

// TestIsQuietBesideARead guards against a pool that stands still: the protocol library may read from the
// connection in the background, and its read lasts until something comes.
func TestIsQuietBesideARead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	go func() { _, _ = conn.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond) // until the read waits
	result := make(chan bool, 1)
	go func() { result <- IsQuiet(conn) }()
	select {
	case isQuiet := <-result:
		assert.Assert(t, isQuiet)
	case <-time.After(5 * time.Second):
		t.Fatal("IsQuiet waits for the read")
	}
}

func awaitNoise(t *testing.T, conn net.Conn) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); IsQuiet(conn); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection stays quiet")
	}
}
