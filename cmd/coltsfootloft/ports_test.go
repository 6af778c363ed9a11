package main

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/platform"
)

// listen takes an address until the end of the test or the call of the function.
func listen(t *testing.T, address string) func() {
	t.Helper()
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	return func() { l.Close() }
}

// awaitConnect waits until the address accepts connections.
func awaitConnect(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			return
		}
		assert.Assert(t, time.Now().Before(end), "%s: %v", address, err)
	}
}

// readyStatus returns the status of the readiness check.
func readyStatus(address string) (int, error) {
	c := &http.Client{
		Timeout:   2 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	res, err := c.Get("http://" + address + platform.ReadyPath)
	if err != nil {
		return 0, err
	}
	res.Body.Close()
	return res.StatusCode, nil
}

// TestTakenPortDoesNotEndHost guards against a host that ends at its start because one of its
// ports is still taken.
func TestTakenPortDoesNotEndHost(t *testing.T) {
	for _, port := range []string{"callers", "ready", "peer"} {
		t.Run(port, func(t *testing.T) {
			p := prepare(t)
			address := map[string]string{"callers": p.settings.Listen, "ready": p.settings.Ready, "peer": p.settings.Peer}[port]
			release := listen(t, address)
			p.start(t)
			p.awaitLine(t, "address not free; trying again")
			if port != "ready" {
				status, err := readyStatus(p.settings.Ready)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
			}
			assert.Assert(t, !p.ended())
			release()
			p.awaitLine(t, "address free")
			awaitConnect(t, p.settings.Listen)
			p.signal(syscall.SIGTERM)
			assert.Equal(t, p.await(t, 5*time.Second), 0)
		})
	}
}

// TestStopWhilePortIsAwaited guards against a host that has to be killed while it waits for
// its port.
func TestStopWhilePortIsAwaited(t *testing.T) {
	p := prepare(t)
	listen(t, p.settings.Peer)
	p.start(t)
	p.awaitLine(t, "address not free; trying again")
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 2*time.Second), 0)
}

// TestHostLivesWithoutDescriptors guards against a host that ends, or takes no callers any
// more, after it was out of file descriptors.
func TestHostLivesWithoutDescriptors(t *testing.T) {
	p := prepare(t)
	p.cmd.Path = "/bin/sh"
	p.cmd.Args = []string{"sh", "-c", `ulimit -n 40; exec "$0" entry`, *program}
	p.start(t)
	awaitConnect(t, p.settings.Listen)
	var conns []net.Conn
	for range 60 {
		c, err := net.Dial("tcp", p.settings.Listen)
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	p.awaitLine(t, "connection not accepted")
	_, err := readyStatus(p.settings.Ready)
	t.Logf("readiness check without descriptors: %v", err)
	for _, c := range conns {
		c.Close()
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		status, err := readyStatus(p.settings.Ready)
		if err == nil {
			assert.Equal(t, status, http.StatusServiceUnavailable)
			break
		}
		assert.Assert(t, time.Now().Before(end), err)
	}
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 5*time.Second), 0)
}
