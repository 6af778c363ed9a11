package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/prep"
)

const (
	// admitShare bounds the wait for an account's rate, as a share of the route's
	// target latency. An operation that would wait longer is better tried at another
	// host.
	admitShare = 0.24
	// firstAdmitShare applies instead while the host has no rate of the account yet,
	// because the first one has to be fetched from another host.
	firstAdmitShare = 0.6
)

// logEvery is the sampling interval for log lines of successful operations: one in
// logEvery is logged.
const logEvery = 128

// serve runs one statement. If last is true, the session ends after the reply.
func (n *session) serve(st coltsfootloft.Statement) (reply coltsfootloft.Reply, last bool) {
	if n.tx != nil && n.tx.failed && st.Verb() != coltsfootloft.VerbRollback && st.Verb() != coltsfootloft.VerbCommit {
		return n.refuseFailed(), false
	}
	switch st.Verb() {
	case coltsfootloft.VerbSet, coltsfootloft.VerbPrepareRead, coltsfootloft.VerbPrepareWrite, coltsfootloft.VerbDeallocate:
		return n.withState(n.updateValues(st)), false
	case coltsfootloft.VerbBegin, coltsfootloft.VerbBeginRead:
		return n.begin(st)
	case coltsfootloft.VerbRollback:
		return n.rollback(), false
	case coltsfootloft.VerbCommit:
		if n.tx == nil {
			return coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "no transaction"), false
		}
		return n.commit(st), false
	case coltsfootloft.VerbRead, coltsfootloft.VerbWrite, coltsfootloft.VerbExecute:
		return n.serveData(st)
	case coltsfootloft.VerbUnknown:
	}
	return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "unknown statement")), false
}

// refuseFailed answers a statement of a transaction that has failed.
func (n *session) refuseFailed() coltsfootloft.Reply {
	if !n.tx.reported {
		n.tx.reported = true
		return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, "transaction aborted"))
	}
	return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "transaction failed"))
}

// withState sets the session's transaction state in a reply that the host makes itself.
func (n *session) withState(r coltsfootloft.Reply) coltsfootloft.Reply {
	switch {
	case n.tx == nil:
		r.State = coltsfootloft.TxIdle
	case n.tx.failed:
		r.State = coltsfootloft.TxFailed
	default:
		r.State = coltsfootloft.TxOpen
	}
	return r
}

// updateValues runs statements that only change the session's values and prepared
// statements; no database is involved.
func (n *session) updateValues(st coltsfootloft.Statement) coltsfootloft.Reply {
	if n.expected.Len() >= maxSessionValues && st.Verb() != coltsfootloft.VerbDeallocate {
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonTooLarge, "too many session values")
	}
	if !n.takeValue(st) {
		text := fmt.Sprintf("no memory for %d bytes of session values; come back in 1000 ms", len(st.Name())+len(st.Detail()))
		return n.refuseForMemory(st, text)
	}
	defer n.fitValues()
	// The session keeps copies, because the statement's strings are parts of its line.
	name, detail := strings.Clone(st.Name()), strings.Clone(st.Detail())
	switch st.Verb() {
	case coltsfootloft.VerbSet:
		n.expected.Set(name, detail)
	case coltsfootloft.VerbPrepareRead, coltsfootloft.VerbPrepareWrite:
		n.expected.Prepare(name, prep.Shape{
			Writes: st.Verb() == coltsfootloft.VerbPrepareWrite,
			Text:   detail,
		})
	case coltsfootloft.VerbDeallocate:
		if !n.expected.Deallocate(st.Name()) {
			return coltsfootloft.RefusedReply(coltsfootloft.ReasonNoStatement, "no such statement")
		}
	default:
	}
	if n.tx != nil {
		n.tx.synced = false
	}
	return coltsfootloft.Reply{}
}

// operation is a single statement or a transaction, from the time its first statement
// was received.
type operation struct {
	route   coltsfootloft.Route
	arrived time.Duration // on Server.Clock
	wall    time.Time     // when it, or the current statement of a transaction, arrived
	sent    bool          // whether a database may have received it
	tries   int
	// tooLate counts the databases, since the first was tried again, at which its turn would
	// come too late; retry is the least time after which one of them expects it again.
	tooLate int
	retry   time.Duration
	homes   homes.Homes // where it may run
	// admittedUntil is when its admission to the account's rate expires, and isHeld whether
	// that is held for it.
	admittedUntil time.Duration
	isHeld        bool
}

// admit checks the key, the route and the account's rate for a new operation. It
// returns the refusal if one of them fails.
func (n *session) admit(st coltsfootloft.Statement) (operation, *coltsfootloft.Reply) {
	o := operation{
		arrived: n.server.Clock.Elapsed(),
		wall:    time.Now(),
	}
	route, refusal := n.authorize()
	if refusal != nil {
		n.server.recordRefusal(st.Verb().String(), st.ID(), n, refusal.Reason, refusal.Text)
		return o, refusal
	}
	o.route = route
	o.homes = n.server.Groups.Homes(route, n.account)
	n.server.retries.AddRequest(n.account)
	if n.account == "" {
		return o, nil
	}
	share := admitShare
	if n.server.Quota.IsNew(n.account) {
		share = firstAdmitShare
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(route.TargetLatency)*share))
	defer cancel()
	until, ok := n.server.Quota.Admit(ctx, n.account)
	if !ok {
		r := refuse(coltsfootloft.ReasonBusy, overRate)
		n.server.recordRefusal(st.Verb().String(), st.ID(), n, r.Reason, r.Text)
		return o, r
	}
	o.admittedUntil = until
	o.isHeld = true
	return o, nil
}

// endsSession reports whether a refusal ends the session, so that its caller connects to
// another host or gives up.
func endsSession(r coltsfootloft.Reason) bool {
	return r == coltsfootloft.ReasonNoKey || r == coltsfootloft.ReasonNoRoute
}

// serveData runs a read, a write or a prepared statement.
func (n *session) serveData(st coltsfootloft.Statement) (coltsfootloft.Reply, bool) {
	var shape *prep.Shape
	if st.Verb() == coltsfootloft.VerbExecute {
		s, ok := n.expected.Shape(st.Name())
		if !ok {
			return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonNoStatement, "no such statement")), false
		}
		shape = &s
	}
	if n.tx != nil {
		return n.serveInTransaction(st, shape), false
	}
	o, refusal := n.admit(st)
	if refusal != nil {
		return *refusal, endsSession(refusal.Reason)
	}
	writes := st.Verb() == coltsfootloft.VerbWrite || shape != nil && shape.Writes
	return n.serveSingle(&o, st, shape, writes), false
}

// recordRefusal logs and counts a refusal.
func (s *Server) recordRefusal(verb, id string, n *session, reason coltsfootloft.Reason, text string) {
	s.count(verb, reason.String())
	age, known := s.Mirror.Horizon().Age(s.Clock.Elapsed())
	version := uint64(0)
	if c := s.Mirror.View().Settings; c != nil {
		version = c.Version
	}
	fields := []any{
		"id", id, "what", verb, "database", n.startup.Database(), "account", n.account, "reason", reason.String(),
		"text", text, "settings", version, "settings_age", age.String(), "settings_known", known, "lease_left", s.Groups.Lease.Left().String(),
	}
	if reason == coltsfootloft.ReasonNoKey {
		fields = append(fields, "key", fingerprint(n.startup.Key()))
	}
	s.Log.Info("refused", fields...)
}

// fingerprintLength is the length of a fingerprint in hexadecimal digits: enough to tell the keys of
// a deployment apart, and too few to find a key by trying.
const fingerprintLength = 8

// fingerprint returns the beginning of the SHA-256 of a key. It identifies the key in the log without
// revealing it.
func fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:fingerprintLength]
}

func (s *Server) count(verb, outcome string) {
	s.Metrics.GetOrCreateCounter(`coltsfootloft_statements_total{what="` + verb + `",outcome="` + outcome + `"}`).Inc()
}
