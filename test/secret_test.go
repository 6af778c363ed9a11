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

// observedConn is a connection that passes each write to onWrite before it sends it.
type observedConn struct {
	net.Conn
	writes  int
	onWrite func(number int, b []byte)
}

func (c *observedConn) Write(b []byte) (int, error) {
	c.writes++
	c.onWrite(c.writes, b)
	return c.Conn.Write(b)
}

// dialObserved dials connections that pass their writes to onWrite, numbered from 1.
func dialObserved(onWrite func(number int, b []byte)) pgconn.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{
			Conn:    c,
			onWrite: onWrite,
		}, nil
	}
}

var (
	clientNonce = regexp.MustCompile(`r=([^,]+)`)
	clientProof = regexp.MustCompile(`p=([A-Za-z0-9+/=]{20,})`)
)

// TestSecretsNotSentToDatabases captures what the databases receive and send while
// callers log in, write, read and roam, and searches it for callers' secrets, proofs,
// nonces, key names and application names.
func TestSecretsNotSentToDatabases(t *testing.T) {
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
	f.network.eachRelay(func(r *relay.Relay) { r.Capture(true) })
	var mu sync.Mutex
	var sent [][]byte
	secrets := map[string]string{
		"secret":      f.secrets["alpha.app"],
		"key":         "alpha.app",
		"application": "spied on",
	}
	for i, e := range f.hosts {
		config, err := pgx.ParseConfig(f.dsn(e, "alpha.app", "g1"))
		assert.NilError(t, err)
		config.RuntimeParams["application_name"] = "spied on"
		config.DialFunc = dialObserved(func(_ int, b []byte) {
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
			secrets["nonce "+string(m[1])] = string(m[1])
		}
		if m := clientProof.FindSubmatch(b); m != nil {
			secrets["proof "+string(m[1])] = string(m[1])
		}
	}
	assert.Assert(t, len(secrets) >= 9, "three proofs and nonces: %v", secrets)
	var captured []byte
	f.network.eachRelay(func(r *relay.Relay) {
		for _, d := range f.databases {
			if r.Target == d.listen {
				captured = append(captured, r.Captured(relay.Both)...)
			}
		}
	})
	assert.Assert(t, bytes.Contains(captured, []byte("4242")), "nothing was captured")
	found := 0
	for name, secret := range secrets {
		if bytes.Contains(captured, []byte(secret)) {
			found++
			t.Errorf("databases received or sent the %s", name)
		}
	}
	t.Logf("%d bytes captured at the databases, %d of %d secrets found", len(captured), found, len(secrets))
}
