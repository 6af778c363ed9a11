package hostlink_test

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/hostlink"
	"coltsfootloft/stand/relay"
)

// testHost is a host that listens for links.
type testHost struct {
	name, ip string
	net.Listener
	registered string // the address in its registration
}

func start(t *testing.T, k *hostlink.Links, name, ip string) *testHost {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	way, err := net.Listen("tcp", "127.0.63.9:0")
	assert.NilError(t, err)
	k.Add(t.Context(), name, l.Addr().String(), way)
	value, err := json.Marshal(map[string]any{"address": l.Addr().String(), "lease": "1.7", "size": 0.25})
	assert.NilError(t, err)
	var r struct {
		Address, Lease string
		Size           float64
	}
	assert.NilError(t, json.Unmarshal(k.Rewrite("coltsfootloft/host/"+name, value), &r))
	assert.Equal(t, r.Address, way.Addr().String())
	assert.Equal(t, r.Lease, "1.7")
	assert.Equal(t, r.Size, 0.25)
	return &testHost{
		name:       name,
		ip:         ip,
		Listener:   l,
		registered: r.Address,
	}
}

// link opens a link from one host to another and returns both ends.
func link(t *testing.T, from, to *testHost) (dialed, accepted net.Conn) {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.ip)}}
	dialed, err := d.Dial("tcp", to.registered)
	assert.NilError(t, err)
	t.Cleanup(func() { dialed.Close() })
	accepted, err = to.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}

// arrives reports whether text arrives in time.
func arrives(t *testing.T, from, to net.Conn, text string) bool {
	t.Helper()
	_, err := io.WriteString(from, text)
	assert.NilError(t, err)
	return receives(t, to, text)
}

func receives(t *testing.T, c net.Conn, text string) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	b := make([]byte, len(text))
	n, err := io.ReadFull(c, b)
	assert.Assert(t, err == nil || n == 0, "%d bytes, %v", n, err)
	return err == nil && string(b) == text
}

// TestOneDirectionOfAPairIsHeld guards against a hold that misses the links which the other host has
// opened, stops the other direction too, or concerns other hosts.
func TestOneDirectionOfAPairIsHeld(t *testing.T) {
	var k hostlink.Links
	a, b, c := start(t, &k, "a", "127.0.63.1"), start(t, &k, "b", "127.0.63.2"), start(t, &k, "c", "127.0.63.3")
	abA, abB := link(t, a, b)
	baB, baA := link(t, b, a)
	cbC, cbB := link(t, c, b)
	pair := k.Between("a", "b")
	pair.Hold(relay.ToTarget, true)
	assert.Assert(t, !arrives(t, abA, abB, "one") && !arrives(t, baA, baB, "two"), "from a to b")
	assert.Assert(t, arrives(t, abB, abA, "three") && arrives(t, baB, baA, "four"), "from b to a")
	assert.Assert(t, arrives(t, cbC, cbB, "five") && arrives(t, cbB, cbC, "six"), "between others")
	abA.Close()
	pair.Hold(relay.ToTarget, false)
	assert.Assert(t, receives(t, abB, "one") && receives(t, baB, "two"), "after the hold, the sender closed")
	assert.Equal(t, k.Bytes(), int64(len("onetwothreefourfivesix")))
	pair.Cut(true)
	_, err := baA.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	pair.Cut(false)
	x, y := link(t, a, b)
	assert.Assert(t, arrives(t, x, y, "seven"))
}

// TestOtherValuesAreKept guards against changes of entries that are no registration of a host with a switch.
func TestOtherValuesAreKept(t *testing.T) {
	var k hostlink.Links
	start(t, &k, "a", "127.0.63.1")
	for key, value := range map[string]string{
		"coltsfootloft/host/b": `{"address": "127.0.63.1:1"}`,
		"coltsfootloft/duty/a": `{"address": "127.0.63.1:1"}`,
		"servers/a":            `{"address": "127.0.63.1:1"}`,
		"coltsfootloft/host/a": `{"lease": `,
		"coltsfootloft/host/":  `{}`,
	} {
		assert.Equal(t, string(k.Rewrite(key, []byte(value))), value, key)
	}
	assert.Equal(t, string(k.Rewrite("coltsfootloft/host/a", []byte("null"))), "null")
}
