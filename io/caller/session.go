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
	"coltsfootloft/core/journ"
	"coltsfootloft/core/route"
	"coltsfootloft/core/stmt"
	"coltsfootloft/core/token"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// Session serves one caller from ReadyForQuery to the end of the connection. Its
// exported fields are set before Run.
type Session struct {
	// Env is shared by all sessions of the host.
	Env *Env
	// ID is unique among the sessions of the host.
	ID uint32
	// Host is the name of this entry host.
	Host string
	// Conn is the caller's connection, and Backend speaks the protocol on it.
	Conn    net.Conn
	Backend *pgproto3.Backend
	// Account is the client account that the session runs for.
	Account string
	// Route is where the session's statements go.
	Route conf.Route
	// Token is what the caller presented at the start.
	Token token.Token
	// Settings are SET statements from the startup message, by setting name.
	Settings map[string]string

	out      output
	batch    batch
	prepared map[string]*statement
	portals  map[string]*statement
	settings settings
	request  string
	last     string
	told     string
	scratch  []route.Candidate
	trace    *trace.Request
	failure  error

	tx       byte
	midBatch bool
	skipping bool
	// discarding drops what comes before the next Sync.
	discarding bool
	begin      string
	beginRead  bool
	saved      settings
	pinned     *pool.Conn
	onPrimary  bool

	mu      sync.Mutex
	current *pool.Conn
	busy    bool
	killed  bool
	ending  atomic.Pointer[goodbye]
}

// Transaction states, as ReadyForQuery reports them.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// readOnlySetting makes every transaction of a connection read-only.
const readOnlySetting = "default_transaction_read_only"

// Run serves the caller until it leaves, ctx ends or End is called.
func (s *Session) Run(ctx context.Context) error {
	s.start()
	defer s.abandon()
	if err := s.ready(); err != nil {
		return err
	}
	for {
		if err := s.awaitRequest(); err != nil {
			return err
		}
		m, err := s.Backend.Receive()
		if err != nil {
			return s.malformed(err)
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := s.take(ctx, m); err != nil {
			return err
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
	s.told = s.Token.String()
	s.out.limit = s.Env.Fleet().Defaults().HeldBytes()
}

// take handles one message.
func (s *Session) take(ctx context.Context, m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); s.discarding && !ok {
		return nil
	}
	s.discarding = false
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.query(ctx, m.String)
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
		s.batch.open = true
		return s.run(ctx)
	case *pgproto3.Sync:
		s.addSync()
		return s.run(ctx)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	case *pgproto3.FunctionCall:
		s.batch.refuse(unsupported("a function call message"))
		return s.run(ctx)
	default:
		return s.malformed(errors.Errorf("message of type %T is out of order", m))
	}
	return nil
}

// query takes a simple query as a batch of its own.
func (s *Session) query(ctx context.Context, sql string) error {
	p := stmt.Parse(sql)
	if s.midBatch || len(s.batch.steps) > 0 || s.batch.refused != nil {
		s.batch.refuse(unsupported("a simple query inside of a batch of the extended protocol"))
		return s.run(ctx)
	}
	s.batch = batch{simple: true}
	s.batch.runs(p)
	s.batch.sql = sql
	q := step{
		ends:    atQuery,
		message: encode(&pgproto3.Query{String: sql}),
		script:  p,
	}
	if isHostStatement(p) {
		t, _ := p.Single()
		q.message = nil
		q.local = func(o *output) error { return s.runLocal(o, t, true) }
	}
	s.batch.steps = append(s.batch.steps, q)
	return s.run(ctx)
}

// ready tells the caller that the batch is over, with the token if that changed.
func (s *Session) ready() error {
	if t := s.Token.String(); t != s.told {
		s.told = t
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

// malformed answers a message that could not be read. There is no way to find
// the next one, so the session ends.
func (s *Session) malformed(err error) error {
	if s.ended() || isClosed(err) {
		return err
	}
	r := response(coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "malformed message"))
	r.Severity = "FATAL"
	if err := s.out.add(r); err != nil {
		return err
	}
	_ = s.out.flush()
	return err
}

// abandon gives up what the session holds when the caller has gone.
func (s *Session) abandon() {
	if s.pinned == nil {
		return
	}
	s.pinned.Abort()
	s.unpin()
}

// note writes a decision to the journal.
func (s *Session) note(k journ.Kind, reason, database string) {
	s.Env.Journal.Note(journ.Decided(k, reason).
		Session(uint64(s.ID)).
		Trace(s.trace.ID()).
		Account(s.Account).
		Group(s.Route.Group()).
		Database(database))
}

func (s *Session) now() time.Time { return s.Env.Clock.Now() }
