package peer

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// closingEnv marks the process in which links are lost.
const closingEnv = "COLTSFOOTLOFT_TEST_LOSE_LINKS"

// TestLostLinkHandsBackTheProcessor guards against calls that wait in a busy loop while their link is
// closed. A host has a seventh of a core and must renew its lease within 2 s, so a lost link may
// take at most 0.27 s of processor time.
func TestLostLinkHandsBackTheProcessor(t *testing.T) {
	const losses, limit = 3, 270 * time.Millisecond
	if os.Getenv(closingEnv) != "" {
		loseLinks(t, losses)
		return
	}
	c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestLostLinkHandsBackTheProcessor$")
	c.Env = append(os.Environ(), closingEnv+"=1", "GOMAXPROCS=1")
	out, err := c.CombinedOutput()
	assert.NilError(t, err, string(out))
	used := time.Duration(c.ProcessState.SysUsage().(*syscall.Rusage).Utime.Nano())
	assert.Assert(t, used < losses*limit, "%d lost links took %s of processor time", losses, used)
}

// loseLinks loses links to a host that stopped reading, while calls wait for answers and others for
// their requests to be sent.
func loseLinks(t *testing.T, losses int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go acceptAndStop(listener)
	f := &fleet{addresses: map[string]string{"b": listener.Addr().String()}}
	a := &Links{Self: "a"}
	f.start(t, a)
	for range losses {
		var waiting sync.WaitGroup
		call := func(request []byte) {
			for range 30 {
				waiting.Go(func() {
					_, err := a.Call(t.Context(), "b", "hang", request)
					assert.Check(t, err != nil)
				})
			}
		}
		call(nil)
		time.Sleep(50 * time.Millisecond) // until these wait for answers
		call(make([]byte, 1<<20))         // more than the system takes from the link
		waiting.Wait()
	}
}

// acceptAndStop accepts links and then reads nothing more.
func acceptAndStop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close() // at the end; a connection that is garbage is closed
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, _, err := readHeader(conn, &peerpb.Hello{}, maxRequestHeader, 0); err != nil {
			return
		}
		hello, _ := encodeFrame(&peerpb.Hello{
			From: "b",
			To:   "a",
		}, nil)
		_, _ = conn.Write(hello)
	}
}
