package relay

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// chargeShare is the part of the time until the caller's deadline that a statement which no other
// database can serve may wait until a cold one may be sent it.
const chargeShare = 0.3

// patient returns the request with how long it may wait at a cold database: only a statement that
// no other database can serve waits, and the primary is checked again after the wait.
func (n *Conn) patient(q dbpool.Request, keep bool) dbpool.Request {
	if n.primary != nil || isInTransaction(q.Statement, keep) {
		q.ChargeWait = min(n.wait, time.Duration(chargeShare*float64(time.Until(q.Deadline))))
	}
	if n.primary != nil {
		q.MaySend = func() bool { return n.relay.Groups.MaySend(n.target.Group, *n.primary) }
	}
	return q
}

// patientFor is like patient for the statement of another host.
func (r *Relay) patientFor(q dbpool.Request, x *relaypb.Exchange, t dbpool.Target) dbpool.Request {
	if x.GetEpoch() != 0 || x.GetHandle() != 0 {
		q.ChargeWait = span(x.GetWaitMs()) / 2
	}
	if x.GetEpoch() != 0 {
		q.MaySend = func() bool { return r.isPrimary(t, x.GetEpoch()) }
	}
	return q
}

// isInTransaction reports whether a statement on a connection that is kept goes on with an open
// transaction, so that the connection can't be used by others if the statement is not sent.
func isInTransaction(s coltsfootloft.Statement, keep bool) bool {
	return keep && s.Verb() != coltsfootloft.VerbBegin && s.Verb() != coltsfootloft.VerbBeginRead
}
