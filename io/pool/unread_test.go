package pool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/pool"
)

// noLimits grants every right.
type noLimits struct{}

func (noLimits) AcquireConnection(context.Context, string) (func(), error) { return func() {}, nil }
func (noLimits) Admit(context.Context, string, int) error                  { return nil }
func (noLimits) OnReclaim(func(string) bool)                               {}

// repeatingServer answers each query with its text as a command tag, and more often than once.
type repeatingServer struct {
	listener net.Listener
	// answers is how often it answers. The answers after the first wait until late is closed; nil
	// means that they come at once.
	answers int
	late    chan struct{}
}

func (s *repeatingServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *repeatingServer) serveConn(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		q, ok := m.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		for i := range s.answers {
			if i > 0 && s.late != nil {
				_ = b.Flush()
				<-s.late
			}
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte(q.String)})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}
}

// ask borrows a connection for one query and returns the tag of the answer.
func ask(t *testing.T, p *pool.Pool, sql string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx, "main")
	assert.NilError(t, err)
	defer c.Release()
	c.Frontend().Send(&pgproto3.Query{String: sql})
	assert.NilError(t, c.Frontend().Flush())
	m, err := c.Frontend().Receive()
	assert.NilError(t, err)
	tag := string(m.(*pgproto3.CommandComplete).CommandTag)
	m, err = c.Frontend().Receive()
	assert.NilError(t, err)
	assert.Equal(t, m.(*pgproto3.ReadyForQuery).TxStatus, byte('I'))
	return tag
}

// awaitInput waits for unread input of a connection.
func awaitInput(t *testing.T, c net.Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); dial.IsQuiet(c); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no second answer")
	}
}

// TestUnreadInputIsNotLent guards against an answer that is taken for that to the next statement on its
// connection: a database that answers a statement twice, at once or late, leaves the second answer
// unread, and the next session to borrow the connection would read it as its own.
func TestUnreadInputIsNotLent(t *testing.T) {
	for name, late := range map[string]chan struct{}{
		"at once": nil,
		"late":    make(chan struct{}),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			s := &repeatingServer{
				listener: l,
				answers:  2,
				late:     late,
			}
			go s.serve()
			conns := make(chan net.Conn, 2)
			p := &pool.Pool{
				Upstream: coltsfootloft.NewUpstream("a", "d1", l.Addr().String()),
				Login: pool.Login{
					User: "caroni",
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						c, err := (&net.Dialer{}).DialContext(ctx, network, address)
						conns <- c
						return c, err
					},
				},
				Shares: noLimits{},
			}
			defer p.Close()
			assert.Equal(t, ask(t, p, "first"), "first")
			if late != nil {
				close(late)
				awaitInput(t, <-conns)
			}
			assert.Equal(t, ask(t, p, "second"), "second")
		})
	}
}
