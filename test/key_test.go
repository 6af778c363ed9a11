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

// withdrawalLimit is how long a withdrawn key may go on working.
const withdrawalLimit = 3 * time.Second

// keySettings add a second key, which stays, and a second team.
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

// TestWithdrawnKey withdraws a key while sessions wait, hold a transaction open or
// run a request on every host. All end within the limit, new sessions are refused,
// and those of another key go on.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet){
		"store up": func(f *fleet) {
			f.remove("teams/alpha/keys/app")
		},
		"store down once one host has the news": func(f *fleet) {
			f.network.cutFrom(2, outside, true)
			f.network.cutFrom(3, outside, true)
			f.remove("teams/alpha/keys/app")
			holdsWithin(withdrawalLimit, func() bool {
				c, err := f.dial(f.hosts[0], "alpha.app", "g1")
				if err == nil {
					c.Close(context.Background())
				}
				return err != nil
			})
			f.platform.kill()
		},
		"a failure domain cut off from the store": func(f *fleet) {
			f.network.cutFrom(3, outside, true)
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
				w.occupy(e)
			}
			staying := make([]*pgx.Conn, len(f.hosts))
			for i, e := range f.hosts {
				staying[i] = f.open(e, "alpha.stay", "g1")
			}
			time.Sleep(200 * time.Millisecond)
			w.withdrawn = time.Now()
			fault(f)
			w.sessions.Wait()
			for i, c := range staying {
				assert.Equal(t, count(t, c, "SELECT 7"), 7, "the other key on %s", f.hosts[i].name)
			}
			t.Logf("%d sessions, %d of them late; the last one ended after %v", w.total, len(w.late), w.longest)
			assert.Equal(t, len(w.late), 0, "%v", w.late)
		})
	}
}

// withdrawal watches sessions of a key until they end.
type withdrawal struct {
	fleet     *fleet
	withdrawn time.Time
	sessions  sync.WaitGroup

	mu      sync.Mutex
	total   int
	longest time.Duration
	late    []string
}

// occupy opens a session of each kind on a host, and goes on opening new ones.
func (w *withdrawal) occupy(e *entry) {
	f := w.fleet
	idle := f.open(e, "alpha.app", "g1")
	w.watch(e.name+" idle", func(ctx context.Context) { receive(ctx, idle) })
	open := f.open(e, "alpha.app", "g1")
	mustExec(f.t, open, "BEGIN")
	assert.Equal(f.t, count(f.t, open, "SELECT 1"), 1)
	w.watch(e.name+" in a transaction", func(ctx context.Context) { receive(ctx, open) })
	running := f.open(e, "alpha.app", "g1")
	w.watch(e.name+" running", func(ctx context.Context) { _, _ = running.Exec(ctx, "SELECT pg_sleep(30)") })
	w.watch(e.name+" new", func(ctx context.Context) {
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

// watch notes when wait is over.
func (w *withdrawal) watch(name string, wait func(ctx context.Context)) {
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

// TestOnlyTheKeysAccount tries keys where they are not granted.
func TestOnlyTheKeysAccount(t *testing.T) {
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
		c := f.open(e, "anyone", "alpha.board")
		assert.Equal(t, count(t, c, "SELECT 5"), 5)
		_, err := c.Exec(context.Background(), "CREATE TABLE forbidden (id int4)")
		assert.Equal(t, detail(err), "not run")
	}
}

// TestProofThatComesLate begins to log in with a key and ends that after the key
// was withdrawn.
func TestProofThatComesLate(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   1,
		groups:  1,
	})
	e := f.hosts[0]
	proof, sent := make(chan struct{}), make(chan struct{})
	config, err := pgx.ParseConfig(f.dsn(e, "alpha.app", "g1"))
	assert.NilError(t, err)
	config.DialFunc = lateWrites(3, sent, proof)
	outcome := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		c, err := pgx.ConnectConfig(ctx, config)
		if err == nil {
			_, err = c.Exec(ctx, "SELECT 1")
			c.Close(ctx)
		}
		outcome <- err
	}()
	<-sent
	f.remove("teams/alpha/keys/app")
	refused := holdsWithin(withdrawalLimit, func() bool {
		c, err := f.dial(e, "alpha.app", "g1")
		if err == nil {
			c.Close(context.Background())
		}
		return err != nil
	})
	assert.Assert(t, refused)
	close(proof)
	assert.Equal(t, code(<-outcome), "28P01", "a request ran after the key was withdrawn")
}

// TestWaitingRequestOfWithdrawnKey lets a write wait for a connection until its
// key is withdrawn and the limit is over. It must not run after that.
func TestWaitingRequestOfWithdrawnKey(t *testing.T) {
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
	stay := f.open(e, "alpha.stay", "g1")
	mustExec(t, stay, "CREATE TABLE late (id int4)")
	withdrawn := f.open(e, "alpha.app", "g1")
	var busy sync.WaitGroup
	for range 2 {
		c := f.open(e, "alpha.stay", "g1")
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
	var told error
	busy.Go(func() { _, told = withdrawn.Exec(context.Background(), "INSERT INTO late VALUES (1)") })
	time.Sleep(100 * time.Millisecond)
	f.remove("teams/alpha/keys/app")
	at := time.Now()
	busy.Wait()
	t.Logf("the caller was told %v; busy until %v after the withdrawal", told, time.Since(at))
	assert.Assert(t, time.Since(at) > withdrawalLimit)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, count(t, stay, "SELECT count(*) FROM late"), 0, "a request of a withdrawn key ran after the limit")
}

// lateWrites dials connections whose n-th write waits for release, and closes
// reached there.
func lateWrites(n int, reached chan<- struct{}, release <-chan struct{}) pgconn.DialFunc {
	return dialWith(func(number int, _ []byte) {
		if number == n {
			close(reached)
			<-release
		}
	})
}
