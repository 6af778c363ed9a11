package probe

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/dbpool"
)

// listen accepts connections and calls do with each.
func listen(t *testing.T, do func(net.Conn)) dbpool.Target {
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
			do(c)
		}
	}()
	return dbpool.Target{
		ID:      "db-1",
		Address: l.Addr().String(),
	}
}

func TestReaches(t *testing.T) {
	p := &Prober{Dial: (&net.Dialer{}).DialContext}
	reaches := func(to dbpool.Target) bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return p.CanConnect(ctx, to)
	}
	silent := listen(t, func(net.Conn) {})
	assert.Assert(t, reaches(silent), "a slow or stopped database is reachable; whether it is usable is decided elsewhere")
	full := listen(t, func(c net.Conn) {
		_, _ = c.Write([]byte("ERR MAXCONN db-1\r\n"))
		c.Close()
	})
	assert.Assert(t, reaches(full), "a database that answers that it has no capacity is reachable")
	dropped := listen(t, func(c net.Conn) { c.Close() })
	assert.Assert(t, !reaches(dropped))
	gone := listen(t, func(net.Conn) {})
	gone.Address = "127.0.0.1:1"
	assert.Assert(t, !reaches(gone))
}
