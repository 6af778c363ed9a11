package dbpool

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
)

// database is a fake database that returns the replies in answers, and answers marks by itself.
type database struct {
	mu        sync.Mutex
	opened    int
	closed    int
	exhausted bool
	answers   chan coltsfootloft.Reply
}

func (d *database) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	if d.exhausted {
		return nil, coltsfootloft.Position{}, errExhausted
	}
	return &session{database: d}, coltsfootloft.Position{}, nil
}

var errExhausted = errors.New("no connection left")

func (d *database) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened - d.closed
}

type session struct {
	database *database
	requests []bool // whether they are marks
	state    coltsfootloft.TxState
}

func (s *session) Queue(c coltsfootloft.Command) {
	s.requests = append(s.requests, c.Kind == coltsfootloft.CommandMark)
}

func (s *session) Forward(coltsfootloft.Statement, string, coltsfootloft.Position) {
	s.requests = append(s.requests, false)
}

func (s *session) Flush(time.Time) error { return nil }
func (s *session) Idle() bool            { return true }

func (s *session) Close() {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	s.database.closed++
}

func (s *session) Receive(deadline time.Time) (coltsfootloft.Reply, error) {
	if s.requests[0] {
		s.requests = s.requests[1:]
		return coltsfootloft.Reply{
			Digest: "-",
			State:  s.state,
		}, nil
	}
	select {
	case r := <-s.database.answers:
		s.requests = s.requests[1:]
		s.state = r.State
		return r, nil
	case <-time.After(time.Until(deadline)):
		return coltsfootloft.Reply{}, errors.New("no answer")
	}
}

// newTestPools returns pools with a limit of one outstanding statement and three
// connections to each database.
func newTestPools() (*Pools, *database) {
	d := &database{answers: make(chan coltsfootloft.Reply, 8)}
	return &Pools{
		Opener: d,
		RefusalReason: func(err error) (coltsfootloft.Reason, bool) {
			return coltsfootloft.ReasonConnections, errors.Is(err, errExhausted)
		},
		Clock:       boot.Clock{},
		Limit:       func(Target) int { return 3 },
		Outstanding: func(Target) int { return 1 },
		Log:         logr.Discard(),
		Metrics:     metrics.NewSet(),
	}, d
}

var target = Target{
	ID:      "db-1",
	Address: "127.0.0.1:1",
	Group:   "notices",
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// acquire borrows a connection and fails the test if it can't.
func acquire(t *testing.T, l *Pools, priority int) *Conn {
	t.Helper()
	c, err := l.Acquire(timeoutContext(t, time.Second), target, "arima", priority)
	assert.NilError(t, err)
	return c
}

func readRequest(deadline time.Duration) Request {
	return Request{
		Statement: coltsfootloft.NewStatement("a1", "READ x", coltsfootloft.VerbRead, "x", ""),
		Deadline:  time.Now().Add(deadline),
	}
}

// runs is the number of reads that have been answered.
var runs atomic.Int64

// readReply is the answer to a read outside transactions. Each has a digest of its own.
func readReply() coltsfootloft.Reply {
	return coltsfootloft.Reply{
		Digest: "7." + strconv.FormatInt(runs.Add(1), 10),
		State:  coltsfootloft.TxIdle,
	}
}

func TestStatementsWaitForPermits(t *testing.T) {
	l, d := newTestPools()
	first := acquire(t, l, 2)
	_, err := l.Acquire(timeoutContext(t, 20*time.Millisecond), target, "arima", 2)
	assert.Assert(t, errors.Is(err, ErrBusy))
	d.answers <- readReply()
	_, err = first.Exchange(readRequest(time.Second))
	assert.NilError(t, err)
	second := acquire(t, l, 2) // the first still has its connection, but no permit
	l.Release(first, true)
	l.Release(second, true)
	assert.Equal(t, d.open(), 2)
}

func TestUrgentIsServedFirst(t *testing.T) {
	l, _ := newTestPools()
	holder := acquire(t, l, 2)
	order := make(chan int, 2)
	var wait sync.WaitGroup
	for _, priority := range []int{2, 1} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := l.Acquire(timeoutContext(t, time.Second), target, "arima", priority)
			assert.Check(t, err)
			order <- priority
			l.Release(c, true)
		}()
		time.Sleep(20 * time.Millisecond) // lets the less urgent statement queue first
	}
	l.Release(holder, true)
	wait.Wait()
	assert.Equal(t, <-order, 1)
}

// TestPermitsAreReturned ends statements in every possible way. None may keep its permit.
func TestPermitsAreReturned(t *testing.T) {
	l, d := newTestPools()
	for name, end := range map[string]func(c *Conn){
		"not sent":        func(c *Conn) { l.Release(c, true) },
		"connection lost": func(c *Conn) { l.Release(c, false) },
		"no answer": func(c *Conn) {
			_, err := c.Exchange(readRequest(10 * time.Millisecond))
			assert.ErrorContains(t, err, "no answer")
			l.Release(c, false)
		},
		"late answer": func(c *Conn) {
			_, err := c.Exchange(readRequest(10 * time.Millisecond))
			assert.ErrorContains(t, err, "no answer")
			d.answers <- readReply()
			assert.NilError(t, c.DiscardReplies(time.Now().Add(time.Second)))
			l.Release(c, true)
		},
		"refused": func(c *Conn) {
			d.answers <- coltsfootloft.Reply{
				State:  coltsfootloft.TxIdle,
				Reason: coltsfootloft.ReasonBusy,
			}
			_, err := c.Exchange(readRequest(time.Second))
			assert.NilError(t, err)
			l.Release(c, true)
		},
	} {
		end(acquire(t, l, 2))
		c := acquire(t, l, 2)
		l.Release(c, true)
		assert.Equal(t, l.pool(target.ID).gate.Running(), 0, name)
	}
}

// TestLateStatementKeepsItsPermit checks that a statement which timed out still counts as
// outstanding, because the database may still be working on it.
func TestLateStatementKeepsItsPermit(t *testing.T) {
	l, _ := newTestPools()
	c := acquire(t, l, 2)
	_, err := c.Exchange(readRequest(10 * time.Millisecond))
	assert.ErrorContains(t, err, "no answer")
	_, err = l.Acquire(timeoutContext(t, 20*time.Millisecond), target, "arima", 2)
	assert.Assert(t, errors.Is(err, ErrBusy))
	l.Release(c, false)
	l.Release(acquire(t, l, 2), true)
}

// TestOpenTransactionDoesNotWait checks that a statement of an open transaction does not
// wait for another statement, which may itself be waiting for the transaction's locks.
func TestOpenTransactionDoesNotWait(t *testing.T) {
	l, d := newTestPools()
	tx := acquire(t, l, 2)
	d.answers <- coltsfootloft.Reply{
		Digest: "-",
		State:  coltsfootloft.TxOpen,
	}
	_, err := tx.Exchange(Request{
		Statement: coltsfootloft.NewStatement("a1", "BEGIN", coltsfootloft.VerbBegin, "", ""),
		Deadline:  time.Now().Add(time.Second),
	})
	assert.NilError(t, err)
	other := acquire(t, l, 2)
	d.answers <- readReply()
	_, err = tx.Exchange(Request{
		Statement: coltsfootloft.NewStatement("a1", "COMMIT", coltsfootloft.VerbCommit, "", ""),
		Deadline:  time.Now().Add(time.Second),
	})
	assert.NilError(t, err)
	l.Release(tx, true)
	l.Release(other, true)
	assert.Equal(t, l.pool(target.ID).gate.Running(), 0)
}

// TestExhaustedDatabaseIsRetriedSlowly checks the back-off when a database has no
// connection left. Each try costs the database as much as a short statement, and many
// hosts may be trying.
func TestExhaustedDatabaseIsRetriedSlowly(t *testing.T) {
	l, d := newTestPools()
	d.exhausted = true
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		_, err := l.Acquire(timeoutContext(t, 50*time.Millisecond), target, "arima", 2)
		assert.Assert(t, errors.Is(err, ErrBusy))
	}
	assert.Assert(t, d.open() <= 6, "%d tries in a second", d.open())
}
