package admin_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/admin"
)

// TestLargeHeadersAreRefused guards against headers of up to 1 MB on each connection, which the
// host would hold until they are complete.
func TestLargeHeadersAreRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&admin.Server{Listener: listener}).Run(ctx) }()
	r, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/live", nil)
	assert.NilError(t, err)
	r.Header.Set("X-Pad", strings.Repeat("x", 64<<10))
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	assert.NilError(t, err)
	answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	cancel()
	assert.NilError(t, <-ended)
}
