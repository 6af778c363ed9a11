package dbase

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// maxMessage is the maximum size of a client's message in bytes.
const maxMessage = 64 << 20

// session is a client's connection.
type session struct {
	server   *Server
	conn     *peekConn
	backend  *pgproto3.Backend
	platform bool
	user     string
	database string
	pid      uint32
	secret   []byte
	types    *pgtype.Map

	// mu is held while a message is handled. It guards the fields below, up to
	// cancelMu.
	mu           sync.Mutex
	path         *string
	settings     map[string]string
	startup      map[string]string
	prepared     map[string]*prepared
	portals      map[string]*portal
	descriptions map[string]*description
	tables       *tables
	// tablesVersion is the schema version that tables was read at.
	tablesVersion uint64
	skipToSync    bool
	// bypassFreeze lets one answer be sent while the database is frozen, so that
	// the client that called standin_freeze gets its result.
	bypassFreeze bool
	closing      bool
	tx           transaction
	lastCommit   coltsfootloft.Position

	// cancelMu guards what other goroutines need to interrupt a running statement:
	// handle and cancel.
	cancelMu sync.Mutex
	handle   *handle
	cancel   context.CancelFunc
	// termEnding is set while a change of term ends the transaction.
	termEnding atomic.Bool
}

// serve handles one client connection.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	if s.sleep(ctx, s.ConnectDelay) != nil || s.awaitUnfrozen(ctx) != nil {
		return
	}
	x := &session{
		server:       s,
		types:        pgtype.NewMap(),
		settings:     make(map[string]string),
		prepared:     make(map[string]*prepared),
		portals:      make(map[string]*portal),
		descriptions: make(map[string]*description),
	}
	x.useConn(c)
	defer x.close()
	// Deferred before the handshake: a client may disconnect after it was registered
	// and before the answer reaches it.
	defer s.unregister(x)
	if !x.handshake(ctx) {
		return
	}
	for x.next(ctx) {
	}
}

func (x *session) useConn(c net.Conn) {
	x.conn = newPeekConn(c)
	x.backend = pgproto3.NewBackend(x.conn, c)
	x.backend.SetMaxBodyLen(maxMessage)
}

// close rolls the transaction back and closes the engine's handle.
func (x *session) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rollback()
	x.dropHandle()
}

// next handles one message and reports whether the session goes on.
func (x *session) next(ctx context.Context) bool {
	m, err := x.receive()
	if m == nil && err == nil || x.server.awaitUnfrozen(ctx) != nil {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closing {
		return false
	}
	if err != nil {
		x.fatal(err)
		return false
	}
	return x.dispatch(ctx, m)
}

// receive waits for a message. It returns nil once the client has disconnected,
// and an error if there is one to send to the client.
func (x *session) receive() (pgproto3.FrontendMessage, error) {
	idle := x.server.IdleTransactionTimeout
	x.mu.Lock()
	limited := idle > 0 && x.tx.writing
	x.mu.Unlock()
	if limited {
		_ = x.conn.SetReadDeadline(time.Now().Add(idle))
	}
	m, err := x.backend.Receive()
	if limited {
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil:
		return m, nil
	case limited && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, sqlErrorf(codeIdleTimeout, "terminating connection due to idle-in-transaction timeout")
	case isProtocolError(err):
		return nil, sqlErrorf(codeProtocol, "invalid message: %v", err)
	}
	return nil, nil
}

// dispatch handles one message and reports whether the session goes on. The caller
// holds x.mu.
func (x *session) dispatch(ctx context.Context, m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return false
	}
	if err := x.refreshHandle(); err != nil {
		x.fatal(err)
		return false
	}
	if _, ok := m.(*pgproto3.Sync); ok {
		x.skipToSync = false
	}
	if x.skipToSync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		x.simpleQuery(ctx, m.String)
		return x.ready(ctx)
	case *pgproto3.Sync:
		if err := x.endImplicit(); err != nil {
			x.sendError(err)
		}
		return x.ready(ctx)
	case *pgproto3.Flush:
		return x.flush(ctx)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true
	}
	if err := x.extended(ctx, m); err != nil {
		x.skipToSync = true
		x.sendError(err)
		x.failTransaction()
	}
	return true
}

// refreshHandle opens the engine on the current data file. A client session that
// used an older file is ended, because data that it has read may not be in the new
// one.
func (x *session) refreshHandle() error {
	p := x.server.path.Load()
	if x.handle != nil && x.path == p {
		return nil
	}
	if x.handle != nil && !x.platform {
		return sqlErrorf(codeShutdown, "terminating connection: the database is being rebuilt")
	}
	x.dropHandle()
	h, err := openHandle(*p)
	if err != nil {
		return err
	}
	x.cancelMu.Lock()
	defer x.cancelMu.Unlock()
	x.path = p
	x.handle = h
	return nil
}

func (x *session) dropHandle() {
	x.closePortals()
	x.cancelMu.Lock()
	defer x.cancelMu.Unlock()
	if x.handle != nil {
		x.handle.close()
		x.handle = nil
	}
}

// ready sends ReadyForQuery with the transaction status.
func (x *session) ready(ctx context.Context) bool {
	x.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: x.tx.status(),
	})
	return x.flush(ctx)
}

func (x *session) flush(ctx context.Context) bool {
	if !x.bypassFreeze && x.server.awaitUnfrozen(ctx) != nil {
		return false
	}
	x.bypassFreeze = false
	return x.backend.Flush() == nil
}

func (x *session) sendError(err error) {
	x.backend.Send(classify(err).response("ERROR"))
}

// fatal sends the client the error that ends the connection.
func (x *session) fatal(err error) {
	x.backend.Send(classify(err).response("FATAL"))
	_ = x.backend.Flush()
}

// interrupt cancels the running statement.
func (x *session) interrupt() {
	x.cancelMu.Lock()
	defer x.cancelMu.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
	if x.handle != nil {
		x.handle.interrupt()
	}
}

// begin returns the context of one statement, which interrupt cancels. The
// returned function releases it.
func (x *session) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	x.cancelMu.Lock()
	x.cancel = cancel
	x.cancelMu.Unlock()
	return ctx, func() {
		x.cancelMu.Lock()
		x.cancel = nil
		x.cancelMu.Unlock()
		cancel()
	}
}

// abort rolls back a transaction that holds the write lock, after the term that it
// began in has ended.
func (x *session) abort() {
	x.termEnding.Store(true)
	x.interrupt()
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.termEnding.Store(false)
	if !x.tx.writing {
		return
	}
	block := x.tx.open
	x.rollback()
	x.tx.open = block
	x.tx.termEnded = block
}

// terminate ends the session because the database is being rebuilt.
func (x *session) terminate() {
	x.interrupt()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closing {
		return
	}
	x.closing = true
	x.fatal(sqlErrorf(codeShutdown, "terminating connection: the database is being rebuilt"))
	x.conn.Close()
}
