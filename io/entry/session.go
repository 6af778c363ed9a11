package entry

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/prep"
)

// maxWishes bounds the values and prepared names of one session.
const maxWishes = 512

// session is one caller's connection. All but the fields under mu belong to its
// goroutine.
type session struct {
	server   *Server
	conn     net.Conn
	caller   coltsfootloft.Caller
	greeting coltsfootloft.Greeting
	account  string
	wishes   prep.Wishes
	// wrote is the session's newest commit, in group wroteIn.
	wrote   coltsfootloft.Position
	wroteIn string
	tx      *transaction

	mu     sync.Mutex
	busy   bool // a statement is being served, or the session is starting
	inTx   bool
	closed bool
	rest   *time.Timer
}

func (n *session) run() {
	defer n.conn.Close()
	defer n.leave()
	n.mu.Lock()
	n.busy = true
	n.mu.Unlock()
	if !n.greet() {
		return
	}
	for n.atRest() {
		statement, err := n.caller.Next()
		if !n.atWork() {
			return
		}
		if err != nil {
			n.ended(err)
			return
		}
		reply, last := n.serve(statement)
		if err := n.caller.Answer(reply); err != nil {
			n.server.Log.V(1).Info("answer not taken", "id", statement.ID(), "reason", err.Error())
			return
		}
		if last {
			return
		}
	}
}

// ended handles the end of a caller's input.
func (n *session) ended(err error) {
	var refusal *coltsfootloft.RefusalError
	if errors.As(err, &refusal) {
		n.server.Log.Info("statement not readable", "database", n.greeting.Database(), "reason", refusal.Message())
		_ = n.caller.Refuse(coltsfootloft.ReasonMalformed, refusal.Message())
		return
	}
	if !errors.Is(err, io.EOF) {
		n.server.Log.V(1).Info("caller lost", "database", n.greeting.Database(), "reason", err.Error())
	}
}

// atRest marks the session as waiting for the caller; false ends it.
func (n *session) atRest() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.tx == nil && n.server.closing.Load() {
		return false
	}
	n.busy = false
	n.inTx = n.tx != nil
	if n.inTx {
		n.watchRest()
	}
	return true
}

// watchRest ends a transaction that rests too long.
func (n *session) watchRest() {
	limit := time.Duration(0)
	if c := n.server.Mirror.View().Catalog; c != nil {
		limit = c.IdleTransaction
	}
	if limit > 0 && n.tx.line != nil {
		n.rest = time.AfterFunc(limit, func() { n.abortIdle("transaction rested too long") })
	}
}

// atWork marks the session as serving a statement; false ends it.
func (n *session) atWork() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rest != nil {
		n.rest.Stop()
		n.rest = nil
	}
	n.busy = true
	return !n.closed
}

// closeIdle ends the session if it rests outside a transaction.
func (n *session) closeIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || n.inTx || n.closed {
		return false
	}
	n.closed = true
	n.conn.Close()
	return true
}

// abortIdle drops the transaction of a session that rests in one. The caller is
// told at its next statement.
func (n *session) abortIdle(why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || n.tx == nil || n.closed {
		return
	}
	n.server.Log.Info("transaction aborted", "database", n.greeting.Database(), "account", n.account, "reason", why)
	n.tx.abandon()
	n.tx.failed = true
}

// greet starts the session.
func (n *session) greet() bool {
	s := n.server
	if err := n.conn.SetReadDeadline(time.Now().Add(greetTimeout)); err != nil {
		return false
	}
	g, err := n.caller.Greet()
	if err != nil {
		n.ended(err)
		return false
	}
	if err := n.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	n.greeting = g
	n.awaitSettings()
	_, refusal := n.permit()
	if refusal != nil {
		s.refused("start", "-", n, refusal.Reason, refusal.Text)
		_ = n.caller.Refuse(refusal.Reason, refusal.Text)
		return false
	}
	return n.caller.Welcome() == nil
}

func (n *session) awaitSettings() {
	deadline := time.After(settingsWait)
	for {
		changed := n.server.Mirror.Changed()
		if n.server.Mirror.View().Catalog != nil {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

// permit checks the session's key and finds its route, by what is known now. The
// horizon is read after the statement was taken, so that no pause lies between.
func (n *session) permit() (coltsfootloft.Route, *coltsfootloft.Reply) {
	s := n.server
	c := s.Mirror.View().Catalog
	if c == nil {
		return coltsfootloft.Route{}, refuse(coltsfootloft.ReasonBusy, "no settings yet; come back in 1000 ms")
	}
	young := s.Mirror.Horizon().Covers(s.Clock.Elapsed(), s.KeyLimit)
	route, ok := c.Routes[n.greeting.Database()]
	if !ok {
		if !young {
			return route, refuse(coltsfootloft.ReasonBusy, "settings too old; come back in 500 ms")
		}
		return route, refuse(coltsfootloft.ReasonNoRoute, "no such database")
	}
	account, known := c.Keys[n.greeting.Key()]
	n.account = account
	if route.Public {
		return route, nil
	}
	if !young {
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

// leave drops what the session holds.
func (n *session) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.rest != nil {
		n.rest.Stop()
	}
	if n.tx != nil {
		n.tx.abandon()
		n.tx = nil
	}
}
