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

// maxMessage bounds a message of a caller, in bytes.
const maxMessage = 64 << 20

// session is one connection of a caller.
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

	// mu is held while a message is handled.
	mu        sync.Mutex
	path      *string
	settings  map[string]string
	startup   map[string]string
	prepared  map[string]*prepared
	portals   map[string]*portal
	described map[string]*description
	tables    *tables
	// tablesAt is the schema's version that tables was read at.
	tablesAt uint64
	skip     bool
	// quick lets one answer pass a freeze, so that the one who froze is told.
	quick   bool
	closing bool
	tx      transaction
	last    coltsfootloft.Position

	// run guards what other goroutines use to end a running statement.
	run    sync.Mutex
	handle *handle
	cancel context.CancelFunc
	// ended is set when a change of term has ended the transaction.
	ended atomic.Bool
}

// serve handles one connection from its first message to its last.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	if s.sleep(ctx, s.ConnectDelay) != nil || s.thaw(ctx) != nil {
		return
	}
	x := &session{
		server:    s,
		types:     pgtype.NewMap(),
		settings:  make(map[string]string),
		prepared:  make(map[string]*prepared),
		portals:   make(map[string]*portal),
		described: make(map[string]*description),
	}
	x.useConn(c)
	defer x.close()
	// A caller may go after it was registered and before it has been told.
	defer s.unregister(x)
	if !x.greet(ctx) {
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

// close ends the transaction and the engine's handle.
func (x *session) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rollback()
	x.dropHandle()
}

// next handles one message and reports whether more may come.
func (x *session) next(ctx context.Context) bool {
	m, err := x.receive()
	if m == nil && err == nil || x.server.thaw(ctx) != nil {
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

// receive waits for a message. It returns nil once the caller has gone, and an
// error to tell the caller.
func (x *session) receive() (pgproto3.FrontendMessage, error) {
	idle := x.server.IdleTransaction
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
		return nil, failure(codeIdle, "terminating connection due to idle-in-transaction timeout")
	case classifyProtocol(err):
		return nil, failure(codeProtocol, "invalid message: %v", err)
	}
	return nil, nil
}

// dispatch handles one message; the caller holds the lock.
func (x *session) dispatch(ctx context.Context, m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return false
	}
	if err := x.refreshHandle(); err != nil {
		x.fatal(err)
		return false
	}
	if _, ok := m.(*pgproto3.Sync); ok {
		x.skip = false
	}
	if x.skip {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		x.simple(ctx, m.String)
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
		x.skip = true
		x.sendError(err)
		x.fail()
	}
	return true
}

// refreshHandle opens the engine on the newest data file. Callers of an older
// file are ended, because what they have read may not be in the new one.
func (x *session) refreshHandle() error {
	p := x.server.path.Load()
	if x.handle != nil && x.path == p {
		return nil
	}
	if x.handle != nil && !x.platform {
		return failure(codeShutdown, "terminating connection: the database is being rebuilt")
	}
	x.dropHandle()
	h, err := openHandle(*p)
	if err != nil {
		return err
	}
	x.run.Lock()
	defer x.run.Unlock()
	x.path = p
	x.handle = h
	return nil
}

func (x *session) dropHandle() {
	x.closePortals()
	x.run.Lock()
	defer x.run.Unlock()
	if x.handle != nil {
		x.handle.close()
		x.handle = nil
	}
}

// ready sends ReadyForQuery with the state of the transaction.
func (x *session) ready(ctx context.Context) bool {
	x.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: x.tx.status(),
	})
	return x.flush(ctx)
}

func (x *session) flush(ctx context.Context) bool {
	if !x.quick && x.server.thaw(ctx) != nil {
		return false
	}
	x.quick = false
	return x.backend.Flush() == nil
}

func (x *session) sendError(err error) {
	x.backend.Send(classify(err).response("ERROR"))
}

// fatal tells the caller why the connection ends.
func (x *session) fatal(err error) {
	x.backend.Send(classify(err).response("FATAL"))
	_ = x.backend.Flush()
}

// interrupt ends the running statement.
func (x *session) interrupt() {
	x.run.Lock()
	defer x.run.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
	if x.handle != nil {
		x.handle.interrupt()
	}
}

// begin returns the context of one statement; the returned function ends it.
func (x *session) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	x.run.Lock()
	x.cancel = cancel
	x.run.Unlock()
	return ctx, func() {
		x.run.Lock()
		x.cancel = nil
		x.run.Unlock()
		cancel()
	}
}

// abandon ends a transaction that holds the write lock, after the database has
// lost the reign that it began in.
func (x *session) abandon() {
	x.ended.Store(true)
	x.interrupt()
	x.mu.Lock()
	defer x.mu.Unlock()
	defer x.ended.Store(false)
	if !x.tx.writing {
		return
	}
	block := x.tx.open
	x.rollback()
	x.tx.open = block
	x.tx.lost = block
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
	x.fatal(failure(codeShutdown, "terminating connection: the database is being rebuilt"))
	x.conn.Close()
}
