package entry

import (
	"io"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// startingCaller has not sent its startup yet.
type startingCaller struct {
	coltsfootloft.Caller
	ended chan struct{}
}

func (c startingCaller) ReadStartup() (coltsfootloft.Startup, error) {
	<-c.ended
	return coltsfootloft.Startup{}, io.EOF
}

// TestStartingSessionIsNotIdle guards against a session that is closed as idle, without an answer to
// its caller, after the connection was accepted and before its goroutine runs.
func TestStartingSessionIsNotIdle(t *testing.T) {
	ended := make(chan struct{})
	s := &Server{
		Codec: func(net.Conn) coltsfootloft.Caller { return startingCaller{ended: ended} },
		Log:   logr.Discard(),
	}
	s.prepare()
	closed := 0
	for range 100 {
		conn, peer := net.Pipe()
		defer peer.Close()
		s.open(conn)
		closed += s.CloseIdle()
	}
	close(ended)
	s.wg.Wait()
	assert.Equal(t, closed, 0)
}
