package dbpool

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/prep"
)

// unsentSession is a session whose requests can't be encoded.
type unsentSession struct{ *session }

func (unsentSession) Flush(time.Time) error { return errors.Wrap(coltsfootloft.ErrNotSent, "field 2") }

// unsentDatabase opens sessions whose requests can't be encoded.
type unsentDatabase struct{ *database }

func (d unsentDatabase) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	d.opened++
	return unsentSession{&session{database: d.database}}, coltsfootloft.Position{}, nil
}

// TestConnectionWithUnsentRequestsIsClosed guards against a connection that is lent again although the
// database never received the commands that its state records: sessions then ran with values of others.
func TestConnectionWithUnsentRequestsIsClosed(t *testing.T) {
	l, d := newTestPools()
	l.Opener = unsentDatabase{d}
	c := acquire(t, l, 0)
	r := readRequest(time.Second)
	r.Expected = &prep.SessionState{}
	r.Expected.Set("v", "x")
	_, err := c.Exchange(r)
	assert.Assert(t, errors.Is(err, coltsfootloft.ErrNotSent), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrBusy), "%v", err)
	assert.Equal(t, c.Outstanding(), 0)
	l.Release(c, true)
	assert.Equal(t, d.open(), 0)
}

// namedDatabase opens no session for an account whose name can't be encoded, and the others after delay.
type namedDatabase struct{ *database }

func (d namedDatabase) Open(ctx context.Context, address, group, account, id string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	if account == "Ana Maria" {
		return nil, coltsfootloft.Position{}, errors.Wrap(coltsfootloft.ErrNotSent, "field 2 of START holds a blank")
	}
	time.Sleep(20 * time.Millisecond)
	return d.database.Open(ctx, address, group, account, id)
}

// TestAccountThatCannotBeNamedIsAlone guards against a database that is out of use for all accounts because
// the name of one can't be sent.
func TestAccountThatCannotBeNamedIsAlone(t *testing.T) {
	l, d := newTestPools()
	l.Opener = namedDatabase{d}
	l.Outstanding = func(Target) int { return 2 }
	lines := 0
	l.Log = funcr.New(func(_, args string) {
		lines++
		assert.Check(t, strings.Contains(args, "Ana Maria") && strings.Contains(args, "holds a blank"), args)
	}, funcr.Options{})
	served := make(chan error, 1)
	go func() {
		_, err := l.Acquire(timeoutContext(t, time.Second), target, "arima", 0)
		served <- err
	}()
	time.Sleep(10 * time.Millisecond) // lets the other account wait for its connection
	_, err := l.Acquire(timeoutContext(t, time.Second), target, "Ana Maria", 0)
	assert.Check(t, errors.Is(err, coltsfootloft.ErrNotSent), "%v", err)
	assert.NilError(t, <-served)
	_, ok := l.Cost(target.ID, true, true)
	assert.Assert(t, ok, "the database counts as down")
	assert.Equal(t, lines, 1)
}
