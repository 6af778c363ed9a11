package entry

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft/io/relay"
)

// overRate is the text of refusals because of an account's rate.
const overRate = "account over its rate; come back in 1000 ms"

// errOverRate is returned for an operation whose admission has expired, if its account's rate has
// no other one.
var errOverRate = errors.New(overRate)

// borrowAdmitted takes a connection to a database for an operation that is to be sent on it at once. An
// operation that has waited for longer than its admission is valid needs another one. It fails with errOverRate
// if there is none, and returns nil like borrow if the operation had to wait for it.
func (n *session) borrowAdmitted(o *operation, d destination, tried map[string]bool) (*relay.Conn, error) {
	conn, err := n.borrow(o, d)
	if err != nil || conn == nil || n.mayStillSend(o) {
		return conn, err
	}
	conn.Release(true)
	delete(tried, d.reader.Target.ID)
	if !n.admitAgain(o) {
		return nil, errOverRate
	}
	return nil, nil
}

// mayStillSend reports whether an operation is within its account's rate now that there is a
// connection for it.
func (n *session) mayStillSend(o *operation) bool {
	if n.account == "" {
		return true
	}
	until, ok := n.server.Quota.Send(n.account, o.admittedUntil)
	o.admittedUntil = until
	o.isHeld = false
	return ok
}

// admitAgain waits until the account's rate has an operation for one whose admission has expired,
// for as long as it may wait for a database.
func (n *session) admitAgain(o *operation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), o.waitLeft(n.server.Clock.Elapsed()))
	defer cancel()
	until, ok := n.server.Quota.Admit(ctx, n.account)
	o.admittedUntil = until
	o.isHeld = ok
	return ok
}

// hold keeps the operation admitted if it turned out that it was not sent.
func (n *session) hold(o *operation) {
	if !o.sent && !o.isHeld && n.account != "" {
		n.server.Quota.Hold(n.account, o.admittedUntil)
		o.isHeld = true
	}
}

// refund returns the operation to its account's rate if it was not sent to any
// database.
func (n *session) refund(o *operation) {
	n.hold(o)
	if o.isHeld {
		n.server.Quota.Return(n.account, o.admittedUntil)
		o.isHeld = false
	}
}
