package entry

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/prep"
)

// maxSessionValues bounds the values and prepared statements of one session.
const maxSessionValues = 512

// session is one caller's connection. The fields under mu are shared; all others
// belong to the session's goroutine.
type session struct {
	server  *Server
	conn    net.Conn
	caller  coltsfootloft.Caller
	startup coltsfootloft.Startup
	account string
	// expected holds the session's values and prepared statements, which every
	// connection that it borrows must have.
	expected prep.SessionState
	// lastWrites holds the position of the session's latest commit in each group. A route
	// may move to another group and back.
	lastWrites map[string]coltsfootloft.Position
	tx         *transaction
	// taken is the memory of the answers to the statement that is being served.
	taken int
	// valuesTaken is the memory of the session's values and prepared statements.
	valuesTaken int

	mu          sync.Mutex
	busy        bool // serving a statement, or starting
	inTx        bool
	interrupted bool // reads no further statement
	idleTimer   *time.Timer
}

func (n *session) run() {
	defer n.conn.Close()
	defer n.cleanUp()
	if n.handshake() {
		n.serveStatements()
	}
}

// serveStatements serves the caller's statements until the session ends. It refuses those that have
// been read by then.
func (n *session) serveStatements() {
	for n.enterIdle() {
		statement, err := n.caller.Next()
		n.enterBusy()
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoMemory) {
			n.handleReadError(err)
			return
		}
		var reply coltsfootloft.Reply
		last := false
		if err != nil {
			reply = n.refuseSkipped(statement, err)
		} else {
			reply, last = n.serve(statement)
		}
		if !n.answer(statement, reply) {
			return
		}
		if last {
			break
		}
	}
	n.refuseRest()
}

// answer sends the answer to a statement, and reports whether it was sent.
func (n *session) answer(st coltsfootloft.Statement, reply coltsfootloft.Reply) bool {
	err := n.caller.Answer(reply)
	n.giveBack()
	if err != nil {
		n.logUndelivered(st, err)
	}
	return err == nil
}

// refuseRest answers the statements that have been read and will not be served. None of them has run.
func (n *session) refuseRest() {
	for n.caller.HasNext() {
		n.mu.Lock()
		if n.tx != nil && !n.tx.failed {
			n.abortTransaction(sessionEnds)
		}
		n.mu.Unlock()
		st, err := n.caller.Next()
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoMemory) {
			n.handleReadError(err)
			return
		}
		if !n.answer(st, n.refuseUnserved(st)) {
			return
		}
	}
}

// sessionEnds is the reason for which statements are refused that were sent ahead.
const sessionEnds = "the session ends"

// refuseUnserved returns the answer to a statement that is not served because the session ends.
func (n *session) refuseUnserved(st coltsfootloft.Statement) coltsfootloft.Reply {
	switch {
	case n.tx == nil:
		const text = sessionEnds + "; come back at once"
		n.server.recordRefusal(st.Verb().String(), st.ID(), n, coltsfootloft.ReasonBusy, text)
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonBusy, text)
	case st.Verb() == coltsfootloft.VerbCommit:
		return n.commit(st)
	case st.Verb() == coltsfootloft.VerbRollback:
		return n.rollback()
	}
	return n.refuseFailed()
}

// logUndelivered logs an answer that the caller did not get. That a caller left is usual.
func (n *session) logUndelivered(st coltsfootloft.Statement, err error) {
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		n.server.Log.Info("answer dropped", "id", st.ID(), "database", n.startup.Database(), "account", n.account, "reason", err.Error())
		return
	}
	n.server.Log.V(1).Info("reply not delivered to caller", "id", st.ID(), "reason", err.Error())
}

// handleReadError handles a caller's input that has ended or can't be parsed.
func (n *session) handleReadError(err error) {
	var refusal *coltsfootloft.RefusalError
	if errors.As(err, &refusal) {
		n.server.Log.Info("malformed statement", "database", n.startup.Database(), "reason", refusal.Message())
		_ = n.caller.Refuse(coltsfootloft.ReasonMalformed, refusal.Message())
		return
	}
	if !errors.Is(err, io.EOF) {
		n.server.Log.V(1).Info("lost connection to caller", "database", n.startup.Database(), "reason", err.Error())
	}
}

// enterIdle marks the session as waiting for the caller. It reports false if the session
// must end.
func (n *session) enterIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.server
	if s.closing.Load() || n.tx == nil && (n.interrupted || s.draining.Load()) {
		return false
	}
	if n.interrupted { // a transaction has begun since
		n.interrupted = false
		_ = n.conn.SetReadDeadline(time.Time{})
	}
	if n.tx != nil && !n.tx.failed && s.aborting.Load() {
		n.abortTransaction(hostLeaving)
	}
	n.busy = false
	n.inTx = n.tx != nil
	if n.inTx {
		n.startIdleTimer()
	}
	return true
}

// restedTooLong is the reason for which idle transactions are aborted.
const restedTooLong = "transaction rested too long"

// startIdleTimer aborts the open transaction if it is idle for too long.
func (n *session) startIdleTimer() {
	limit := time.Duration(0)
	if c := n.server.Mirror.View().Settings; c != nil {
		limit = c.IdleTransaction
	}
	if limit > 0 && n.tx.conn != nil {
		n.idleTimer = time.AfterFunc(limit, func() { n.abortIdle(restedTooLong) })
	}
}

// enterBusy marks the session as serving a statement.
func (n *session) enterBusy() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idleTimer != nil {
		n.idleTimer.Stop()
		n.idleTimer = nil
	}
	n.busy = true
}

// interrupt ends the session's wait for a statement. One that has already been read is still
// served, which only the session's goroutine can tell. n.mu is held.
func (n *session) interrupt() {
	n.interrupted = true
	_ = n.conn.SetReadDeadline(time.Unix(1, 0))
}

// endWait ends the session if it waits for a statement, and reports whether it did. A session inside a
// transaction ends only if inTx is set.
func (n *session) endWait(inTx bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || n.inTx && !inTx || n.interrupted {
		return false
	}
	n.interrupt()
	return true
}

// hostLeaving is the reason for which transactions are aborted when the host shuts down.
const hostLeaving = "the host is leaving"

// abortIdle aborts the transaction of a session that is idle inside one, and reports whether
// it did.
func (n *session) abortIdle(reason string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || n.tx == nil || n.tx.failed {
		return false
	}
	n.abortTransaction(reason)
	return true
}

// abortTransaction aborts the open transaction between two statements. The caller gets the
// error as the answer to its next statement. n.mu is held.
func (n *session) abortTransaction(reason string) {
	n.server.Log.Info("transaction aborted", "database", n.startup.Database(), "account", n.account, "reason", reason)
	n.tx.closeConn()
	n.tx.failed = true
}

// handshake starts the session, and reports whether it may go on.
func (n *session) handshake() bool {
	s := n.server
	if err := n.conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false
	}
	g, err := n.caller.ReadStartup()
	if err != nil {
		n.handleReadError(err)
		return false
	}
	if err := n.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	n.startup = g
	n.awaitStart()
	_, refusal := n.authorize()
	if refusal != nil {
		s.recordRefusal("start", "-", n, refusal.Reason, refusal.Text)
		_ = n.caller.Refuse(refusal.Reason, refusal.Text)
		return false
	}
	return n.caller.Accept() == nil
}

// awaitStart waits, for settingsWait at most, until the host knows the operators' settings and,
// soon after its start, until it can learn the rate of the session's account. Operations that come
// earlier would be refused as over the rate.
func (n *session) awaitStart() {
	ctx, cancel := context.WithTimeout(context.Background(), settingsWait)
	defer cancel()
	n.awaitSettings(ctx)
	s := n.server
	if s.Clock.Elapsed()-s.started > startPeriod {
		return
	}
	if c := s.Mirror.View().Settings; c != nil && c.Keys[n.startup.Key()] != "" {
		s.Quota.AwaitKeeper(ctx, c.Keys[n.startup.Key()])
	}
}

func (n *session) awaitSettings(ctx context.Context) {
	for {
		changed := n.server.Mirror.Changed()
		if n.server.Mirror.View().Settings != nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// authorize checks the session's key and finds its route in the current settings. Their age
// is read after the statement was received, so that a suspension of the host between the two
// can't hide that the settings are too old.
func (n *session) authorize() (coltsfootloft.Route, *coltsfootloft.Reply) {
	s := n.server
	c := s.Mirror.View().Settings
	if c == nil {
		return coltsfootloft.Route{}, refuse(coltsfootloft.ReasonBusy, "no settings yet; come back in 1000 ms")
	}
	fresh := s.Mirror.IsConfirmed()
	route, ok := c.Routes[n.startup.Database()]
	if !ok {
		if !fresh {
			return route, refuse(coltsfootloft.ReasonBusy, "settings too old; come back in 500 ms")
		}
		return route, refuse(coltsfootloft.ReasonNoRoute, "no such database")
	}
	account, known := c.Keys[n.startup.Key()]
	n.account = account
	if route.Public {
		if s.Mirror.IsOutdated() {
			return route, refuse(coltsfootloft.ReasonBusy, "settings too old; come back in 500 ms")
		}
		return route, nil
	}
	if !fresh {
		return route, refuse(coltsfootloft.ReasonBusy, "settings too old; come back in 500 ms")
	}
	if !known {
		return route, refuse(coltsfootloft.ReasonNoKey, "key unknown or withdrawn")
	}
	return route, nil
}

func refuse(reason coltsfootloft.Reason, text string) *coltsfootloft.Reply {
	r := coltsfootloft.RefusedReply(reason, text)
	return &r
}

// noteWrite records the position of a commit in a group.
func (n *session) noteWrite(group string, p coltsfootloft.Position) {
	if n.lastWrites == nil {
		n.lastWrites = make(map[string]coltsfootloft.Position, 1)
	}
	n.lastWrites[group] = p
}

// cleanUp releases what the session holds.
func (n *session) cleanUp() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.idleTimer != nil {
		n.idleTimer.Stop()
	}
	if n.tx != nil {
		n.tx.closeConn()
		n.tx = nil
	}
	n.keepValues(0)
}
