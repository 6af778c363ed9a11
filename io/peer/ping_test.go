package peer

import (
	"bytes"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// TestPingsWithoutReadingAreCutOff guards against a link on which the other side sends pings and
// reads no answers: each answer waits in a goroutine of its own.
func TestPingsWithoutReadingAreCutOff(t *testing.T) {
	l := startFlooded(t)
	conn, err := net.Dial("tcp", l.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	b, err := encodeFrame(&peerpb.Hello{
		From: "a",
		To:   l.Self,
	}, nil)
	assert.NilError(t, err)
	_, err = conn.Write(b)
	assert.NilError(t, err)
	ping := []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1} // yamux: version 0, ping, SYN, stream 0
	flood := bytes.Repeat(ping, 4096)
	most := 0
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		if _, err = conn.Write(flood); err != nil {
			break
		}
		most = max(most, runtime.NumGoroutine())
	}
	t.Logf("%d goroutines at most", most)
	assert.Assert(t, err != nil, "link still open")
	assert.Assert(t, most < 1000, "%d goroutines", most)
}
