package test

import (
	"bytes"
	"context"
	"net"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

// spied is a connection that shows what is written before it goes out.
type spied struct {
	net.Conn
	writes int
	show   func(number int, b []byte)
}

func (c *spied) Write(b []byte) (int, error) {
	c.writes++
	c.show(c.writes, b)
	return c.Conn.Write(b)
}

// dialWith dials connections that show their writes, counted from 1.
func dialWith(show func(number int, b []byte)) pgconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &spied{
			Conn: c,
			show: show,
		}, nil
	}
}

var (
	clientNonce = regexp.MustCompile(`r=([^,]+)`)
	clientProof = regexp.MustCompile(`p=([A-Za-z0-9+/=]{20,})`)
)

// TestSecretsStayInside captures what the databases receive and send while callers
// log in, write, read and roam, and looks for callers' secrets, proofs, nonces,
// verifiers and names of keys.
func TestSecretsStayInside(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		network: true,
	})
	f.network.mu.Lock()
	f.network.capture = true
	f.network.mu.Unlock()
	f.network.each(func(r *relay.Relay) { r.Capture(true) })
	var mu sync.Mutex
	var sent [][]byte
	words := map[string]string{
		"secret":      f.secrets["alpha.app"],
		"key":         "alpha.app",
		"application": "spied on",
	}
	for i, e := range f.hosts {
		config, err := pgx.ParseConfig(f.dsn(e, "alpha.app", "g1"))
		assert.NilError(t, err)
		config.RuntimeParams["application_name"] = "spied on"
		config.DialFunc = dialWith(func(_ int, b []byte) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, slices.Clone(b))
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c, err := pgx.ConnectConfig(ctx, config)
		assert.NilError(t, err)
		if i == 0 {
			mustExec(t, c, "CREATE TABLE seen (id int4)")
		}
		mustExec(t, c, "INSERT INTO seen VALUES (4242)")
		assert.Equal(t, count(t, c, "SELECT count(*) FROM seen"), i+1)
		c.Close(ctx)
	}
	for _, b := range sent {
		if m := clientNonce.FindSubmatch(b); m != nil {
			words["nonce "+string(m[1])] = string(m[1])
		}
		if m := clientProof.FindSubmatch(b); m != nil {
			words["proof "+string(m[1])] = string(m[1])
		}
	}
	assert.Assert(t, len(words) >= 9, "three proofs and nonces: %v", words)
	var captured []byte
	f.network.each(func(r *relay.Relay) {
		for _, d := range f.databases {
			if r.Target == d.listen {
				captured = append(captured, r.Captured(relay.Both)...)
			}
		}
	})
	assert.Assert(t, bytes.Contains(captured, []byte("4242")), "nothing was captured")
	found := 0
	for name, word := range words {
		if bytes.Contains(captured, []byte(word)) {
			found++
			t.Errorf("databases saw the %s", name)
		}
	}
	t.Logf("%d bytes captured at the databases, %d of %d words found", len(captured), found, len(words))
}
