package dbpool

import (
	"context"
	"testing"
	"time"

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
