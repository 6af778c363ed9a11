package consul

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStopAfterRefusal guards against an error at the end of Run because the listener that a fault has
// closed is still known to the HTTP server and closed again.
func TestStopAfterRefusal(t *testing.T) {
	for range 100 {
		s := &Server{Listen: "127.0.0.1:0"}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		s.Addr()
		s.SetFaults(Faults{Down: Refuse})
		stop()
		assert.NilError(t, <-done)
	}
}
