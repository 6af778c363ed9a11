package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

const onceSeed = 20261206

// TestAtMostOnce sends payments with request ids and repeats them at any host, and runs
// transactions without ids, while hosts and the primary are killed and network links
// are cut and held. At the end the tables must agree with the reported outcomes.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		network: true,
	})
	c := f.connect(f.hosts[0])
	mustExec(t, c, requestTable)
	mustExec(t, c, "CREATE TABLE paid (id text)")
	mustExec(t, c, "CREATE TABLE halves (id text, half int4)")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &payments{
		fleet:        f,
		paid:         make(map[string]outcome),
		transactions: make(map[string]outcome),
		repeats:      1,
	}
	var callers sync.WaitGroup
	for i := range 9 {
		random := rand.New(rand.NewPCG(onceSeed, uint64(i)))
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p.pay(random, fmt.Sprint("p", i, "-", n), n%3 != 0)
			}
		})
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p.transact(random, fmt.Sprint("t", i, "-", n))
			}
		})
	}
	f.killAndPartition(400 * time.Millisecond)
	cancel()
	callers.Wait()
	p.check(t)
}

// killAndPartition kills hosts and the primary and cuts links, one fault after another.
func (f *fleet) killAndPartition(each time.Duration) {
	time.Sleep(each)
	f.hosts[0].process.kill()
	time.Sleep(each)
	f.restartHost(f.hosts[0])
	f.network.cut(outside, 2, true)
	time.Sleep(each / 4)
	f.network.cut(outside, 2, false)
	time.Sleep(each)
	f.databases["g1-1"].process.kill()
	time.Sleep(3 * each)
	f.startDatabase(f.databases["g1-1"])
	f.network.hold(outside, 3, true)
	time.Sleep(each)
	f.network.cut(outside, 3, true)
	f.network.hold(outside, 3, false)
	f.network.cut(outside, 3, false)
	f.hosts[2].process.kill()
	time.Sleep(each)
	f.network.isolate(2, 3, true)
	time.Sleep(2 * each)
	f.network.isolate(2, 3, false)
	f.restartHost(f.hosts[2])
	time.Sleep(2 * each)
}

// outcome is the final outcome of a request as reported to the caller.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeDone
	outcomeNotRun
)

// payments runs requests and records their reported outcomes.
type payments struct {
	fleet *fleet

	mu           sync.Mutex
	paid         map[string]outcome
	transactions map[string]outcome
	repeats      int
}

// pay sends a payment. If repeat is set, it repeats a failed one at any host until it
// is done, up to 20 attempts.
func (p *payments) pay(random *rand.Rand, id string, repeat bool) {
	reported := outcomeNotRun
	for range 20 {
		err := p.attempt(random, id)
		if err == nil {
			reported = outcomeDone
			break
		}
		if detail(err) != "not run" && !errors.Is(err, errNoSession) {
			reported = outcomeUnknown
		}
		if !repeat {
			break
		}
		p.mu.Lock()
		p.repeats++
		p.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
	p.mu.Lock()
	p.paid[id] = reported
	p.mu.Unlock()
}

// attempt sends a payment once, in a new session.
func (p *payments) attempt(random *rand.Rand, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	c, err := p.connect(ctx, random)
	if err != nil {
		return errNoSession
	}
	defer c.PgConn().Conn().Close()
	if _, err := c.Exec(ctx, "SET coltsfootloft.request_id = '"+id+"'"); err != nil {
		return errNoSession
	}
	_, err = c.Exec(ctx, "INSERT INTO paid VALUES ('"+id+"')")
	return err
}

func (p *payments) connect(ctx context.Context, random *rand.Rand) (*pgx.Conn, error) {
	e := p.fleet.hosts[random.IntN(len(p.fleet.hosts))]
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return pgx.Connect(ctx, p.fleet.dsn(e, "alpha.app", "g1"))
}

// errNoSession is returned if the request was never sent.
var errNoSession = errors.New("no session")

// transact inserts two rows in one transaction.
func (p *payments) transact(random *rand.Rand, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	c, err := p.connect(ctx, random)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.PgConn().Conn().Close()
	reported := outcomeUnknown
	for _, sql := range []string{
		"BEGIN",
		"INSERT INTO halves VALUES ('" + id + "', 1)",
		"SELECT pg_sleep(0.005)",
		"INSERT INTO halves VALUES ('" + id + "', 2)",
		"COMMIT",
	} {
		if _, err = c.Exec(ctx, sql); err != nil {
			break
		}
	}
	switch {
	case err == nil:
		reported = outcomeDone
	case detail(err) == "not run":
		reported = outcomeNotRun
	}
	p.mu.Lock()
	p.transactions[id] = reported
	p.mu.Unlock()
}

// check compares the tables with the reported outcomes.
func (p *payments) check(t testing.TB) {
	t.Helper()
	paid, done, notRun := p.compare(t, "payment", "SELECT id, count(*) FROM paid GROUP BY id", p.paid, 1)
	t.Logf("seed %d: %d payments, %d done, %d not run, %d attempts repeated", onceSeed, paid, done, notRun, p.repeats)
	assert.Check(t, done > 100)
	transactions, done, notRun := p.compare(t, "transaction", "SELECT id, count(*) FROM halves GROUP BY id", p.transactions, 2)
	t.Logf("%d transactions, %d done, %d not run", transactions, done, notRun)
	assert.Check(t, done > 20)
}

// compare checks that every stored id has wantRows rows, that requests reported as done
// are stored, and that those reported as not run are not.
func (p *payments) compare(t testing.TB, kind, sql string, reported map[string]outcome, wantRows int64) (total, done, notRun int) {
	t.Helper()
	stored := make(map[string]int64)
	c := p.fleet.connect(p.fleet.hosts[1])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	rows, err := c.Query(ctx, sql)
	assert.NilError(t, err)
	var id string
	var n int64
	_, err = pgx.ForEachRow(rows, []any{&id, &n}, func() error {
		stored[id] = n
		return nil
	})
	assert.NilError(t, err)
	var partial, lost, ran int
	for id, n := range stored {
		if n != wantRows {
			partial++
		}
		if reported[id] == outcomeNotRun {
			ran++
		}
	}
	for id, o := range reported {
		switch o {
		case outcomeDone:
			done++
			if stored[id] == 0 {
				lost++
			}
		case outcomeNotRun:
			notRun++
		case outcomeUnknown:
		}
	}
	t.Logf("%s: %d run twice or in part, %d reported done but lost, %d reported not run but run", kind, partial, lost, ran)
	assert.Check(t, partial == 0 && lost == 0 && ran == 0)
	return len(reported), done, notRun
}

// TestLostAnswerIsOutcomeUnknown commits a payment whose answer is lost on the way to
// the host, which is then cut off from all databases. The caller must get an unknown
// outcome and not "not run".
func TestLostAnswerIsOutcomeUnknown(t *testing.T) {
	t.Parallel()
	const answerDelay = 200 * time.Millisecond
	f := newFleet(t, layout{
		domains: 3,
		hosts:   1,
		groups:  1,
		network: true,
		settings: map[string]string{
			"fleet/defaults": `{"pool_wait": "1s"}`,
		},
	})
	c := f.connect(f.hosts[0])
	mustExec(t, c, requestTable)
	mustExec(t, c, "CREATE TABLE paid (id text)")
	for range 200 {
		assert.Equal(t, count(t, c, "SELECT 1"), 1, "while filling the retry budget")
	}
	mustExec(t, c, "SET coltsfootloft.request_id = 'p1'")
	f.network.eachRelay(func(r *relay.Relay) {
		if r.Target == f.databases["g1-1"].listen {
			r.SetDelay(relay.ToCaller, answerDelay)
		}
	})
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.Exec(ctx, "INSERT INTO paid VALUES ('p1')")
		result <- err
	}()
	time.Sleep(answerDelay * 3 / 2)
	for place := 1; place <= 3; place++ {
		f.network.cutOneWay(1, place, true)
	}
	err := <-result
	f.network.eachRelay(func(r *relay.Relay) { r.SetDelay(relay.Both, 0) })
	for place := 1; place <= 3; place++ {
		f.network.cutOneWay(1, place, false)
	}
	n := -1
	assert.Assert(t, eventually(5*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c := tryConnect(ctx, f, f.hosts[0])
		if c == nil {
			return false
		}
		defer c.Close(ctx)
		return c.QueryRow(ctx, "SELECT count(*) FROM paid").Scan(&n) == nil
	}))
	t.Logf("reported %v (%s), ran %d times", err, detail(err), n)
	assert.Equal(t, n, 1, "the payment did not run once: the links were cut too early or too late")
	assert.Assert(t, detail(err) != "not run", "reported as not run, but the payment ran")
	assert.Equal(t, code(err), "08007")
}
