package edge

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/bound"
)

// TestReadyAnswersBesideAFlood guards against a port for the load balancer on which anybody can
// have a host hold memory, by connections with unfinished headers, or keep the balancer out.
func TestReadyAnswersBesideAFlood(t *testing.T) {
	const flood = 4 * bound.MaxConns
	f := startFleet(t, 1, nil)
	h := f.hosts[0]
	address := h.edge.settings.Ready
	probe := func() {
		t.Helper()
		c := http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
			Timeout:   time.Second,
		}
		r, err := c.Get(fmt.Sprintf("http://%s/v1/ready", address))
		assert.NilError(t, err)
		r.Body.Close()
		assert.Equal(t, r.StatusCode, http.StatusOK)
	}
	probe()
	before := heapInUse()
	header := append([]byte("GET /v1/ready HTTP/1.1\r\nHost: x\r\nX-Pad: "), bytes.Repeat([]byte{'x'}, 600<<10)...)
	for i := range flood {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		_ = c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = c.Write(header) // refused in between
		if i%bound.MaxConns == 0 {
			probe()
		}
	}
	probe()
	held := heapInUse() - min(heapInUse(), before)
	assert.Assert(t, held < 16<<20, "%d bytes held", held)
}

// TestIdleConnectionsKeepNobodyOut guards against connections without a request, which are closed
// for newer ones.
func TestIdleConnectionsKeepNobodyOut(t *testing.T) {
	f := startFleet(t, 1, nil)
	address := f.hosts[0].edge.settings.Ready
	first, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer first.Close()
	for range 2 * bound.MaxConns {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
	}
	started := time.Now()
	assert.NilError(t, first.SetReadDeadline(started.Add(headerTimeout+time.Second)))
	_, err = first.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "")
	assert.Assert(t, time.Since(started) < headerTimeout/2, "closed after %s", time.Since(started))
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
