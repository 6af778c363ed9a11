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
