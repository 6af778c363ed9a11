package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

// withdrawalLimit is how long a withdrawn key may continue to work.
const withdrawalLimit = 3 * time.Second

// keySettings returns settings of a second key, which is not withdrawn, a second team,
// an open route, and a route for another account only.
func keySettings(f *fleet) map[string]string {
	return map[string]string{
		"teams/alpha/keys/stay":      f.newKey("alpha.stay", "main"),
		"fleet/teams/beta":           `{"groups": ["g1"]}`,
		"teams/beta/accounts/main":   `{"rate": "1000/s", "burst": 1000}`,
		"teams/beta/keys/app":        f.newKey("beta.app", "main"),
		"teams/beta/routes/b1":       `{"group": "g1"}`,
		"teams/alpha/routes/board":   `{"group": "g1", "open": true, "account": "main", "read_only": true}`,
		"teams/alpha/accounts/small": `{"rate": "100/s"}`,
		"teams/alpha/routes/few":     `{"group": "g1", "accounts": ["small"]}`,
	}
}

// TestWithdrawnKey withdraws a key while sessions are idle, have a transaction open or
// run a request on every host. All end within the limit, new sessions are refused,
// and sessions of another key continue.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet){
		"store up": func(f *fleet) {
			f.remove("teams/alpha/keys/app")
		},
		"store down once one host has the news": func(f *fleet) {
			f.network.cutOneWay(2, outside, true)
			f.network.cutOneWay(3, outside, true)
			f.remove("teams/alpha/keys/app")
			eventually(withdrawalLimit, func() bool {
				c, err := f.dial(f.hosts[0], "alpha.app", "g1")
				if err == nil {
					c.Close(context.Background())
				}
				return err != nil
			})
			f.platform.kill()
		},
		"a failure domain cut off from the store": func(f *fleet) {
			f.network.cutOneWay(3, outside, true)
			time.Sleep(500 * time.Millisecond)
			f.remove("teams/alpha/keys/app")
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, layout{
				domains: 3,
				hosts:   3,
				groups:  1,
				network: true,
			})
			revision := f.apply(keySettings(f))
			for _, e := range f.hosts {
				assert.Assert(t, f.awaitRevision(e, revision, 5*time.Second))
			}
			w := &withdrawal{fleet: f}
			for _, e := range f.hosts {
				w.openSessions(e)
			}
			otherSessions := make([]*pgx.Conn, len(f.hosts))
			for i, e := range f.hosts {
				otherSessions[i] = f.mustDial(e, "alpha.stay", "g1")
			}
			time.Sleep(200 * time.Millisecond)
			w.withdrawn = time.Now()
			fault(f)
			w.sessions.Wait()
			for i, c := range otherSessions {
				assert.Equal(t, count(t, c, "SELECT 7"), 7, "the other key on %s", f.hosts[i].name)
			}
			t.Logf("%d sessions, %d of them late; the last one ended after %v", w.total, len(w.late), w.longest)
			assert.Equal(t, len(w.late), 0, "%v", w.late)
		})
	}
}

// withdrawal records when the sessions of a withdrawn key end.
type withdrawal struct {
	fleet     *fleet
	withdrawn time.Time
	sessions  sync.WaitGroup

	mu      sync.Mutex
	total   int
	longest time.Duration
	late    []string
}

// openSessions opens an idle session, one in a transaction and one that runs a request
// on a host, and keeps opening new ones until they are refused.
func (w *withdrawal) openSessions(e *entry) {
	f := w.fleet
	idle := f.mustDial(e, "alpha.app", "g1")
	w.recordEnd(e.name+" idle", func(ctx context.Context) { receive(ctx, idle) })
	open := f.mustDial(e, "alpha.app", "g1")
	mustExec(f.t, open, "BEGIN")
	assert.Equal(f.t, count(f.t, open, "SELECT 1"), 1)
	w.recordEnd(e.name+" in a transaction", func(ctx context.Context) { receive(ctx, open) })
	running := f.mustDial(e, "alpha.app", "g1")
	w.recordEnd(e.name+" running", func(ctx context.Context) { _, _ = running.Exec(ctx, "SELECT pg_sleep(30)") })
	w.recordEnd(e.name+" new", func(ctx context.Context) {
		for ctx.Err() == nil {
			c, err := f.dial(e, "alpha.app", "g1")
			if code(err) == "28P01" {
				return
			}
			if err == nil {
				c.Close(ctx)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// recordEnd records when wait returns.
func (w *withdrawal) recordEnd(name string, wait func(ctx context.Context)) {
	w.sessions.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		wait(ctx)
		w.mu.Lock()
		defer w.mu.Unlock()
		took := time.Since(w.withdrawn)
		w.total++
		w.longest = max(w.longest, took)
		if w.withdrawn.IsZero() || took > withdrawalLimit {
			w.late = append(w.late, fmt.Sprint(name, " after ", took))
		}
	})
}

// receive returns when the session has ended.
func receive(ctx context.Context, c *pgx.Conn) {
	for {
		m, err := c.PgConn().ReceiveMessage(ctx)
		if err != nil || m == nil {
			return
		}
	}
}

// TestKeyGrantsOnlyItsAccount uses wrong secrets, unknown keys, and keys on routes that
// do not admit their account.
func TestKeyGrantsOnlyItsAccount(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   2,
		groups:  1,
	})
	revision := f.apply(keySettings(f))
	for _, e := range f.hosts {
		assert.Assert(t, f.awaitRevision(e, revision, 5*time.Second))
	}
	for _, e := range f.hosts {
		mustRefuse := func(key, secret, route, want string) {
			t.Helper()
			good := f.secrets[key]
			f.secrets[key] = secret
			_, err := f.dial(e, key, route)
			f.secrets[key] = good
			assert.Equal(t, code(err), want, "%s on %s: %v", key, route, err)
			assert.Equal(t, detail(err), "not run")
		}
		good := f.secrets["alpha.app"]
		mustRefuse("alpha.app", "guess", "g1", "28P01")
		mustRefuse("alpha.app", f.secrets["beta.app"], "g1", "28P01")
		mustRefuse("alpha.none", good, "g1", "28P01")
		mustRefuse("beta.app", f.secrets["beta.app"], "alpha.g1", "3D000")
		mustRefuse("alpha.app", good, "beta.b1", "3D000")
		mustRefuse("alpha.app", good, "few", "3D000")
		mustRefuse("alpha.app", good, "nowhere", "3D000")
		mustRefuse("alpha.app", "guess", "nowhere", "28P01")
		c := f.mustDial(e, "anyone", "alpha.board")
		assert.Equal(t, count(t, c, "SELECT 5"), 5)
		_, err := c.Exec(context.Background(), "CREATE TABLE forbidden (id int4)")
		assert.Equal(t, detail(err), "not run")
	}
}

// TestLoginDuringKeyWithdrawal starts a SCRAM exchange and sends the client's proof
// only after the key was withdrawn.
func TestLoginDuringKeyWithdrawal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   1,
		groups:  1,
	})
	e := f.hosts[0]
	sendProof, proofReady := make(chan struct{}), make(chan struct{})
	config, err := pgx.ParseConfig(f.dsn(e, "alpha.app", "g1"))
	assert.NilError(t, err)
	config.DialFunc = delayNthWrite(3, proofReady, sendProof)
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		c, err := pgx.ConnectConfig(ctx, config)
		if err == nil {
			_, err = c.Exec(ctx, "SELECT 1")
			c.Close(ctx)
		}
		result <- err
	}()
	<-proofReady
	f.remove("teams/alpha/keys/app")
	refused := eventually(withdrawalLimit, func() bool {
		c, err := f.dial(e, "alpha.app", "g1")
		if err == nil {
			c.Close(context.Background())
		}
		return err != nil
	})
	assert.Assert(t, refused)
	close(sendProof)
	assert.Equal(t, code(<-result), "28P01", "a request ran after the key was withdrawn")
}

// TestQueuedRequestOfWithdrawnKey queues a write for a connection until its key has
// been withdrawn for longer than the limit. The write must not run after that.
func TestQueuedRequestOfWithdrawnKey(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   1,
		groups:  1,
		conns:   2,
	})
	e := f.hosts[0]
	revision := f.apply(keySettings(f))
	assert.Assert(t, f.awaitRevision(e, revision, 5*time.Second))
	stay := f.mustDial(e, "alpha.stay", "g1")
	mustExec(t, stay, "CREATE TABLE late (id int4)")
	withdrawn := f.mustDial(e, "alpha.app", "g1")
	var busy sync.WaitGroup
	for range 2 {
		c := f.mustDial(e, "alpha.stay", "g1")
		busy.Go(func() {
			ctx := context.Background()
			if _, err := c.Exec(ctx, "BEGIN"); err != nil {
				return
			}
			_, _ = c.Exec(ctx, "SELECT pg_sleep(4)")
			_, _ = c.Exec(ctx, "ROLLBACK")
		})
	}
	time.Sleep(300 * time.Millisecond)
	var requestErr error
	busy.Go(func() { _, requestErr = withdrawn.Exec(context.Background(), "INSERT INTO late VALUES (1)") })
	time.Sleep(100 * time.Millisecond)
	f.remove("teams/alpha/keys/app")
	withdrawnAt := time.Now()
	busy.Wait()
	t.Logf("the request ended with %v; connections busy until %v after the withdrawal", requestErr, time.Since(withdrawnAt))
	assert.Assert(t, time.Since(withdrawnAt) > withdrawalLimit)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, count(t, stay, "SELECT count(*) FROM late"), 0, "a request of a withdrawn key ran after the limit")
}

// delayNthWrite dials connections whose n-th write closes reached and waits for
// release.
func delayNthWrite(n int, reached chan<- struct{}, release <-chan struct{}) pgconn.DialFunc {
	return dialObserved(func(number int, _ []byte) {
		if number == n {
			close(reached)
			<-release
		}
	})
}
