package dbops_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/relay"
)

// TestAbandonedCallOpensOneConnection checks that calls to a database behind a
// network partition open one connection each and leave none open.
func TestAbandonedCallOpensOneConnection(t *testing.T) {
	s, _ := open(t)
	r := &relay.Relay{
		Target: s.Addr().String(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	<-r.Ready()
	d := &dbops.Database{
		Address:  r.Addr().String(),
		Password: "secret",
		// The test is not about the time that it takes to connect.
		ConnectTimeout: 30 * time.Second,
	}
	const calls = 5
	for range calls {
		r.Hold(relay.Both, false)
		_, err := d.Status(t.Context())
		assert.NilError(t, err)
		r.Hold(relay.Both, true)
		short, end := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err = d.Status(short)
		end()
		assert.Assert(t, err != nil)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, r.Status().Accepted, calls)
	d.Close()
	cancel()
	assert.NilError(t, <-done)
}
