package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/events"
	"coltsfootloft/core/hold"
	"coltsfootloft/core/route"
	"coltsfootloft/core/stmt"
	"coltsfootloft/core/token"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// Session serves one caller, from ReadyForQuery to the end of the connection. Its
// exported fields are set before Run.
type Session struct {
	// Env is shared by all sessions of the host.
	Env *Env
	// ID is unique among the sessions of the host.
	ID uint32
	// Host is the name of this entry host.
	Host string
	// Conn is the connection from the caller, and Backend implements the protocol on
	// it.
	Conn    net.Conn
	Backend *pgproto3.Backend
	// Account is the client account of the session.
	Account string
	// Route determines the group and the consistency of the session's statements.
	Route conf.Route
	// Token is the session's consistency token, initially the one from the startup
	// message.
	Token token.Token
	// Settings holds the settings from the startup message, value by name.
	Settings map[string]string

	// Working is what the session holds of Env.Messages, or nil.
	Working *hold.Hold

	values        hold.Hold
	portalBytes   int
	preparedBytes int
	out           output
	batch         batch
	prepared      map[string]*statement
	portals       map[string]*statement
	settings      settings
	requestID     string
	lastDatabase  string
	reportedToken string
	scratch       []route.Candidate
	trace         *trace.Request
	failure       error

	tx byte
	// midBatch is set after a Flush, until the batch ends.
	midBatch bool
	// skipping is set if the database skips the rest of the batch after an error.
	skipping bool
	// discarding drops messages up to the next Sync.
	discarding bool
	// beginSQL is the BEGIN that is yet to be sent, with the first statement.
	beginSQL string
	// txReadOnly is set if the open transaction was started as read-only.
	txReadOnly    bool
	savedSettings settings
	// pinned is the connection of the running batch or the open transaction.
	pinned    *pool.Conn
	onPrimary bool

	// idleLimit is how long a transaction may wait for the caller; 0 for no limit. idleUntil is when
	// the present wait ends; zero if it has no limit.
	idleLimit time.Duration
	idleUntil time.Time

	mu       sync.Mutex
	current  *pool.Conn
	busy     bool
	killed   bool
	shutdown atomic.Pointer[shutdown]
}

// Transaction states, as in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// readOnlySetting makes every transaction of a connection read-only.
const readOnlySetting = "default_transaction_read_only"

// Run serves the caller until it disconnects, ctx ends, or End or Kill is called.
func (s *Session) Run(ctx context.Context) error {
	s.start()
	defer s.releaseMemory()
	defer s.abortPinned()
	if err := s.sendReady(); err != nil {
		return err
	}
	for {
		if err := s.awaitRequest(); err != nil {
			return err
		}
		m, err := s.Backend.Receive()
		if err != nil {
			return s.rejectMalformed(err)
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := s.handle(ctx, m); err != nil {
			return err
		}
		if err := s.fitMemory(); err != nil {
			return s.rejectMalformed(err)
		}
	}
}

func (s *Session) start() {
	s.prepared = make(map[string]*statement)
	s.portals = make(map[string]*statement)
	s.tx = txIdle
	s.out.conn = s.Conn
	for name, value := range s.Settings {
		s.settings = s.settings.with(name, "SET "+name+" = "+quote(value))
	}
	if s.Route.ReadOnly() {
		s.settings = s.settings.with(readOnlySetting, "SET "+readOnlySetting+" = on")
	}
	s.reportedToken = s.Token.String()
	s.out.limit = s.Env.Fleet().Defaults().HeldBytes()
	s.out.wait = s.Env.Fleet().Defaults().CallerWait()
	s.idleLimit = s.Env.Fleet().Defaults().IdleTransaction()
	s.startMemory()
}

// handle processes one message.
func (s *Session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); s.discarding && !ok {
		return nil
	}
	s.discarding = false
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(ctx, m.String)
	case *pgproto3.Parse:
		s.addParse(m)
	case *pgproto3.Bind:
		s.addBind(m)
	case *pgproto3.Describe:
		s.addDescribe(m)
	case *pgproto3.Execute:
		s.addExecute(m)
	case *pgproto3.Close:
		s.addClose(m)
	case *pgproto3.Flush:
		s.batch.partial = true
		return s.run(ctx)
	case *pgproto3.Sync:
		s.addSync()
		return s.run(ctx)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	case *pgproto3.FunctionCall:
		s.batch.refuse(unsupported("a function call message"))
		return s.run(ctx)
	default:
		return s.rejectMalformed(errors.Errorf("message of type %T is out of order", m))
	}
	return nil
}

// simpleQuery runs a simple query, which is a batch by itself.
func (s *Session) simpleQuery(ctx context.Context, sql string) error {
	if !s.growForParse(sql) {
		s.batch.refuse(coltsfootloft.NoMemory(len(sql)))
		return s.run(ctx)
	}
	p := stmt.Parse(sql)
	if s.midBatch || len(s.batch.steps) > 0 || s.batch.refusal != nil {
		s.batch.refuse(unsupported("a simple query inside of a batch of the extended protocol"))
		return s.run(ctx)
	}
	s.batch = batch{simple: true}
	s.batch.addScript(p)
	s.batch.sql = sql
	q := step{
		ends:    atQuery,
		message: encode(&pgproto3.Query{String: sql}),
		script:  p,
	}
	if isHostStatement(p) {
		t, _ := p.Single()
		q.message = nil
		q.local = func(o *output) error { return s.runSetting(o, t, true) }
	}
	s.batch.steps = append(s.batch.steps, q)
	return s.run(ctx)
}

// sendReady ends the answer to a batch with ReadyForQuery, preceded by the token if
// that has changed.
func (s *Session) sendReady() error {
	if t := s.Token.String(); t != s.reportedToken {
		s.reportedToken = t
		err := s.out.add(&pgproto3.ParameterStatus{
			Name:  TokenName,
			Value: t,
		})
		if err != nil {
			return err
		}
	}
	if err := s.out.add(&pgproto3.ReadyForQuery{TxStatus: s.tx}); err != nil {
		return err
	}
	return s.out.flush()
}

// rejectMalformed answers a message that can't be decoded. The start of the next
// message is then unknown, so the session ends.
func (s *Session) rejectMalformed(err error) error {
	if s.isEnding() || isClosed(err) {
		return err
	}
	var refusal *coltsfootloft.RefusalError
	if !errors.As(err, &refusal) {
		refusal = coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "malformed message")
	}
	r := response(refusal)
	r.Severity = "FATAL"
	if err := s.out.add(r); err != nil {
		return err
	}
	_ = s.out.flush()
	return err
}

// abortPinned aborts the connection that the session still holds when it ends.
func (s *Session) abortPinned() {
	if s.pinned == nil {
		return
	}
	s.pinned.Abort()
	s.unpin()
}

// recordEvent adds a decision to the journal.
func (s *Session) recordEvent(k events.Kind, reason, database string) {
	s.Env.Journal.Record(events.NewEvent(k, reason).
		Session(uint64(s.ID)).
		Trace(s.trace.ID()).
		Account(s.Account).
		Group(s.Route.Group()).
		Database(database))
}

func (s *Session) now() time.Time { return s.Env.Clock.Now() }
