package lanes

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
)

// database is a stand-in that answers what it is told to.
type database struct {
	mu      sync.Mutex
	opened  int
	closed  int
	full    bool
	answers chan coltsfootloft.Reply
}

func (d *database) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened++
	if d.full {
		return nil, coltsfootloft.Position{}, errFull
	}
	return &session{database: d}, coltsfootloft.Position{}, nil
}

var errFull = errors.New("no connection left")

func (d *database) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened - d.closed
}

type session struct{ database *database }

func (s *session) Queue(coltsfootloft.Command)                                     {}
func (s *session) Forward(coltsfootloft.Statement, string, coltsfootloft.Position) {}
func (s *session) Flush(time.Time) error                                           { return nil }
func (s *session) Idle() bool                                                      { return true }

func (s *session) Close() {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	s.database.closed++
}

func (s *session) Receive(deadline time.Time) (coltsfootloft.Reply, error) {
	select {
	case r := <-s.database.answers:
		return r, nil
	case <-time.After(time.Until(deadline)):
		return coltsfootloft.Reply{}, errors.New("no answer")
	}
}

// one makes lanes that may have one statement outstanding and three connections.
func one() (*Lanes, *database) {
	d := &database{answers: make(chan coltsfootloft.Reply, 8)}
	return &Lanes{
		Opener: d,
		Refused: func(err error) (coltsfootloft.Reason, bool) {
			return coltsfootloft.ReasonConnections, errors.Is(err, errFull)
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

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// acquire must lend a connection.
func acquire(t *testing.T, l *Lanes, priority int) *Conn {
	t.Helper()
	c, err := l.Acquire(within(t, time.Second), target, "arima", priority)
	assert.NilError(t, err)
	return c
}

func read(deadline time.Duration) Request {
	return Request{
		Statement: coltsfootloft.NewStatement("a1", "READ x", coltsfootloft.VerbRead, "x", ""),
		Deadline:  time.Now().Add(deadline),
	}
}

func TestStatementsTakeTurns(t *testing.T) {
	l, d := one()
	first := acquire(t, l, 2)
	_, err := l.Acquire(within(t, 20*time.Millisecond), target, "arima", 2)
	assert.Assert(t, errors.Is(err, ErrBusy))
	d.answers <- coltsfootloft.Reply{State: coltsfootloft.TxIdle}
	_, err = first.Exchange(read(time.Second))
	assert.NilError(t, err)
	second := acquire(t, l, 2) // the first has its connection still, but not its turn
	l.Release(first, true)
	l.Release(second, true)
	assert.Equal(t, d.open(), 2)
}

func TestUrgentIsServedFirst(t *testing.T) {
	l, _ := one()
	holder := acquire(t, l, 2)
	order := make(chan int, 2)
	var wait sync.WaitGroup
	for _, priority := range []int{2, 1} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := l.Acquire(within(t, time.Second), target, "arima", priority)
			assert.Check(t, err)
			order <- priority
			l.Release(c, true)
		}()
		time.Sleep(20 * time.Millisecond) // the less urgent waits first
	}
	l.Release(holder, true)
	wait.Wait()
	assert.Equal(t, <-order, 1)
}

// TestTurnsComeBack ends statements in every way: none may keep its turn.
func TestTurnsComeBack(t *testing.T) {
	l, d := one()
	for name, end := range map[string]func(c *Conn){
		"not sent":        func(c *Conn) { l.Release(c, true) },
		"connection lost": func(c *Conn) { l.Release(c, false) },
		"no answer": func(c *Conn) {
			_, err := c.Exchange(read(10 * time.Millisecond))
			assert.ErrorContains(t, err, "no answer")
			l.Release(c, false)
		},
		"late answer": func(c *Conn) {
			_, err := c.Exchange(read(10 * time.Millisecond))
			assert.ErrorContains(t, err, "no answer")
			d.answers <- coltsfootloft.Reply{State: coltsfootloft.TxIdle}
			assert.NilError(t, c.Discard(time.Now().Add(time.Second)))
			l.Release(c, true)
		},
		"refused": func(c *Conn) {
			d.answers <- coltsfootloft.Reply{
				State:  coltsfootloft.TxIdle,
				Reason: coltsfootloft.ReasonBusy,
			}
			_, err := c.Exchange(read(time.Second))
			assert.NilError(t, err)
			l.Release(c, true)
		},
	} {
		end(acquire(t, l, 2))
		c := acquire(t, l, 2)
		l.Release(c, true)
		assert.Equal(t, l.lane(target.ID).gate.Running(), 0, name)
	}
}

// TestLateStatementKeepsItsTurn: what the database still works on counts.
func TestLateStatementKeepsItsTurn(t *testing.T) {
	l, _ := one()
	c := acquire(t, l, 2)
	_, err := c.Exchange(read(10 * time.Millisecond))
	assert.ErrorContains(t, err, "no answer")
	_, err = l.Acquire(within(t, 20*time.Millisecond), target, "arima", 2)
	assert.Assert(t, errors.Is(err, ErrBusy))
	l.Release(c, false)
	l.Release(acquire(t, l, 2), true)
}

// TestOpenTransactionGoesOn: a statement of an open transaction does not wait for one
// that may be waiting for its locks.
func TestOpenTransactionGoesOn(t *testing.T) {
	l, d := one()
	tx := acquire(t, l, 2)
	d.answers <- coltsfootloft.Reply{State: coltsfootloft.TxOpen}
	_, err := tx.Exchange(read(time.Second))
	assert.NilError(t, err)
	other := acquire(t, l, 2)
	d.answers <- coltsfootloft.Reply{State: coltsfootloft.TxIdle}
	_, err = tx.Exchange(read(time.Second))
	assert.NilError(t, err)
	l.Release(tx, true)
	l.Release(other, true)
	assert.Equal(t, l.lane(target.ID).gate.Running(), 0)
}

// TestFullDatabaseIsAskedSeldom: each try costs the database as much as a short
// statement, and there may be many hosts that try.
func TestFullDatabaseIsAskedSeldom(t *testing.T) {
	l, d := one()
	d.full = true
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		_, err := l.Acquire(within(t, 50*time.Millisecond), target, "arima", 2)
		assert.Assert(t, errors.Is(err, ErrBusy))
	}
	assert.Assert(t, d.open() <= 6, "%d tries in a second", d.open())
}
