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

// TestAtMostOnce repeats payments with request ids at any host, and transactions
// without, while hosts and primaries are killed and callers' links cut and held.
// The tables at the end are compared with what the callers were told.
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
		fleet:   f,
		paid:    make(map[string]promise),
		pairs:   make(map[string]promise),
		repeats: 1,
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
	f.killTimes(400 * time.Millisecond)
	cancel()
	callers.Wait()
	p.check(t)
}

// killTimes lets one fault follow another, each for a while.
func (f *fleet) killTimes(each time.Duration) {
	time.Sleep(each)
	f.hosts[0].process.kill()
	time.Sleep(each)
	f.runHost(f.hosts[0])
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
	f.runHost(f.hosts[2])
	time.Sleep(2 * each)
}

// promise is what a caller was told about a request in the end.
type promise uint8

const (
	promisedNothing promise = iota
	promisedDone
	promisedNotRun
)

// payments are requests and what their callers were told.
type payments struct {
	fleet *fleet

	mu      sync.Mutex
	paid    map[string]promise
	pairs   map[string]promise
	repeats int
}

// pay sends a payment; it repeats it at other hosts until it is done, if that is
// asked for.
func (p *payments) pay(random *rand.Rand, id string, repeat bool) {
	told := promisedNotRun
	for range 20 {
		err := p.attempt(random, id)
		if err == nil {
			told = promisedDone
			break
		}
		if detail(err) != "not run" && !errors.Is(err, errNoSession) {
			told = promisedNothing
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
	p.paid[id] = told
	p.mu.Unlock()
}

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

// errNoSession: the request was never sent.
var errNoSession = errors.New("no session")

// transact writes two halves in one transaction.
func (p *payments) transact(random *rand.Rand, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	c, err := p.connect(ctx, random)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.PgConn().Conn().Close()
	told := promisedNothing
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
		told = promisedDone
	case detail(err) == "not run":
		told = promisedNotRun
	}
	p.mu.Lock()
	p.pairs[id] = told
	p.mu.Unlock()
}

// check compares the tables with the promises.
func (p *payments) check(t testing.TB) {
	t.Helper()
	paid, done, notRun := p.compare(t, "payment", "SELECT id, count(*) FROM paid GROUP BY id", p.paid, 1)
	t.Logf("seed %d: %d payments, %d done, %d not run, %d attempts repeated", onceSeed, paid, done, notRun, p.repeats)
	assert.Check(t, done > 100)
	pairs, done, notRun := p.compare(t, "transaction", "SELECT id, count(*) FROM halves GROUP BY id", p.pairs, 2)
	t.Logf("%d transactions, %d done, %d not run", pairs, done, notRun)
	assert.Check(t, done > 20)
}

func (p *payments) compare(t testing.TB, what, sql string, told map[string]promise, whole int64) (total, done, notRun int) {
	t.Helper()
	held := make(map[string]int64)
	c := p.fleet.connect(p.fleet.hosts[1])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	rows, err := c.Query(ctx, sql)
	assert.NilError(t, err)
	var id string
	var n int64
	_, err = pgx.ForEachRow(rows, []any{&id, &n}, func() error {
		held[id] = n
		return nil
	})
	assert.NilError(t, err)
	var broken, lost, ran int
	for id, n := range held {
		if n != whole {
			broken++
		}
		if told[id] == promisedNotRun {
			ran++
		}
	}
	for id, o := range told {
		switch o {
		case promisedDone:
			done++
			if held[id] == 0 {
				lost++
			}
		case promisedNotRun:
			notRun++
		case promisedNothing:
		}
	}
	t.Logf("%s: %d run twice or in part, %d told done and lost, %d told not run and run", what, broken, lost, ran)
	assert.Check(t, broken == 0 && lost == 0 && ran == 0)
	return len(told), done, notRun
}

// TestLostAnswerIsNotCalledNotRun commits a payment whose answer is lost on the
// way to the host, which then reaches no database any more.
func TestLostAnswerIsNotCalledNotRun(t *testing.T) {
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
		assert.Equal(t, count(t, c, "SELECT 1"), 1, "fills the retry budget")
	}
	mustExec(t, c, "SET coltsfootloft.request_id = 'p1'")
	f.network.each(func(r *relay.Relay) {
		if r.Target == f.databases["g1-1"].listen {
			r.SetDelay(relay.ToCaller, answerDelay)
		}
	})
	outcome := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.Exec(ctx, "INSERT INTO paid VALUES ('p1')")
		outcome <- err
	}()
	time.Sleep(answerDelay * 3 / 2)
	for place := 1; place <= 3; place++ {
		f.network.cutFrom(1, place, true)
	}
	err := <-outcome
	f.network.each(func(r *relay.Relay) { r.SetDelay(relay.Both, 0) })
	for place := 1; place <= 3; place++ {
		f.network.cutFrom(1, place, false)
	}
	n := -1
	assert.Assert(t, holdsWithin(5*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c := tryConnect(ctx, f, f.hosts[0])
		if c == nil {
			return false
		}
		defer c.Close(ctx)
		return c.QueryRow(ctx, "SELECT count(*) FROM paid").Scan(&n) == nil
	}))
	t.Logf("told %v (%s), ran %d times", err, detail(err), n)
	assert.Equal(t, n, 1, "the fault came too early or too late")
	assert.Assert(t, detail(err) != "not run", "the payment ran")
	assert.Equal(t, code(err), "08007")
}
