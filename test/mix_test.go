package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const mixSeed = 20261204

// TestAnswersNeverMix runs many sessions over few upstream connections. Some abandon and
// cancel a request before its answer, others disconnect with a transaction open. Every
// answer must belong to the session that asked for it, and no abandoned transaction may
// leave rows.
func TestAnswersNeverMix(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   2,
		groups:  1,
		conns:   6,
	})
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE mix (session int4, step int4)")
	var answers, abandoned, wrong atomic.Int64
	var sessions sync.WaitGroup
	for i := range 24 {
		sessions.Go(func() {
			r := rand.New(rand.NewPCG(mixSeed, uint64(i)))
			m := &mixCaller{
				fleet:     f,
				entry:     f.hosts[i%len(f.hosts)],
				random:    r,
				id:        i,
				answers:   &answers,
				abandoned: &abandoned,
				wrong:     &wrong,
			}
			m.run(40)
		})
	}
	sessions.Wait()
	t.Logf("seed %d: %d complete answers, %d abandoned, %d wrong", mixSeed, answers.Load(), abandoned.Load(), wrong.Load())
	assert.Equal(t, wrong.Load(), int64(0))
	assert.Assert(t, answers.Load() > 300)
	assert.Assert(t, abandoned.Load() > 50)
	c := f.connect(f.hosts[1])
	assert.Equal(t, count(t, c, "SELECT count(*) FROM mix WHERE step < 0"), 0, "an abandoned transaction has left rows")
}

// mixCaller is one session of TestAnswersNeverMix.
type mixCaller struct {
	fleet     *fleet
	entry     *entry
	random    *rand.Rand
	id        int
	conn      *pgx.Conn
	answers   *atomic.Int64
	abandoned *atomic.Int64
	wrong     *atomic.Int64
}

func (m *mixCaller) run(steps int) {
	for n := range steps {
		if m.conn == nil || m.conn.IsClosed() {
			m.conn = tryConnect(context.Background(), m.fleet, m.entry)
			if m.conn == nil {
				continue
			}
		}
		switch m.random.IntN(5) {
		case 0:
			m.abandon(n)
		case 1:
			m.leaveOpen(n)
		case 2:
			m.transaction(n)
		default:
			m.query(n)
		}
	}
	if m.conn != nil {
		m.conn.Close(context.Background())
	}
}

// query runs queries whose answers identify the session and the step.
func (m *mixCaller) query(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	want := fmt.Sprint(m.id, "/", n)
	var got string
	if err := m.conn.QueryRow(ctx, "SELECT '"+want+"'").Scan(&got); err != nil {
		return
	}
	m.countAnswer(got == want)
	if err := m.conn.QueryRow(ctx, "SELECT $1::text", want).Scan(&got); err != nil {
		return
	}
	m.countAnswer(got == want)
}

// countAnswer counts an answer, and whether it was the expected one.
func (m *mixCaller) countAnswer(ok bool) {
	m.answers.Add(1)
	if !ok {
		m.wrong.Add(1)
	}
}

// abandon times out during a slow request; pgx then sends a cancel request and closes
// the connection.
func (m *mixCaller) abandon(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+m.random.IntN(10))*time.Millisecond)
	defer cancel()
	var got string
	err := m.conn.QueryRow(ctx, fmt.Sprintf("SELECT pg_sleep(0.02), 'late %d/%d'", m.id, n)).Scan(nil, &got)
	if err != nil {
		m.abandoned.Add(1)
	}
}

// leaveOpen disconnects in the middle of a transaction.
func (m *mixCaller) leaveOpen(int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := m.conn.Exec(ctx, "BEGIN"); err != nil {
		return
	}
	if _, err := m.conn.Exec(ctx, fmt.Sprintf("INSERT INTO mix VALUES (%d, -1)", m.id)); err != nil {
		return
	}
	m.conn.PgConn().Conn().Close()
	m.conn = nil
	m.abandoned.Add(1)
}

// transaction checks that it reads its own write and no row of other sessions' open
// transactions.
func (m *mixCaller) transaction(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	tx, err := m.conn.Begin(ctx)
	if err != nil {
		return
	}
	if _, err := tx.Exec(ctx, "INSERT INTO mix VALUES ($1, $2)", m.id, n); err != nil {
		_ = tx.Rollback(ctx)
		return
	}
	var own, open int
	err = tx.QueryRow(ctx, "SELECT count(*), sum(CASE WHEN step < 0 THEN 1 ELSE 0 END) FROM mix WHERE (session = $1 AND step = $2) OR step < 0", m.id, n).Scan(&own, &open)
	if err == nil {
		m.countAnswer(own == 1 && open == 0)
	}
	_ = tx.Commit(ctx)
}
