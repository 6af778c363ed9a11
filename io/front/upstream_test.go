package front

import (
	"bytes"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/dbops"
)

// upstream is a fake database. It runs no SQL, but tracks transactions, prepared
// statements and commits like a real one.
type upstream struct {
	t        testing.TB
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	conns    map[*serverConn]bool
	commits  int
	executed []string
	// refuseRecord is the code with which the host's record of a request id is refused; empty if it
	// is not.
	refuseRecord string
	// repeat is the number of the answer, from now on, that is sent again, before the answer to the
	// next request; 0 if none is.
	repeat int
	// resets is the number of times that a connection was reset.
	resets int
	// conflicts is the number of writes outside of a transaction to roll back with
	// SQLSTATE 40001.
	conflicts int
}

func newUpstream(t testing.TB) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{
		t:        t,
		listener: l,
		conns:    make(map[*serverConn]bool),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.running.Go(func() { u.serve(c) })
		}
	}()
	t.Cleanup(func() { l.Close() })
	return u
}

// countConns returns the number of connections outside and inside a transaction.
func (u *upstream) countConns() (idle, inside int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for sc := range u.conns {
		if sc.inTx() {
			inside++
		} else {
			idle++
		}
	}
	return idle, inside
}

// statements returns the SQL that was executed, without the host's own queries and
// RESET ALL.
func (u *upstream) statements() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.executed...)
}

func (u *upstream) resetCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.resets
}

// repeatAnswer makes the database send the answer of that number, from now on, once more.
func (u *upstream) repeatAnswer(number int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.repeat = number
}

func (u *upstream) committed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.commits
}

// serverConn is the server side of one connection.
type serverConn struct {
	upstream *upstream
	conn     net.Conn
	backend  *pgproto3.Backend
	prepared map[string]string
	portals  map[string]string
	tx       byte
	implicit bool
	writes   bool
	failed   bool
	// lastCommit is the number of the last commit on the connection, 0 if none.
	lastCommit int
	// answer is what was sent since the last ReadyForQuery, and repeat an earlier answer that is
	// yet to be sent again.
	answer, repeat []byte
}

// Write sends a part of the answer to a request, after an earlier answer that is sent again. Once the
// host has the answer, a test may call repeatAnswer, so the answer is counted before it is sent.
func (sc *serverConn) Write(b []byte) (int, error) {
	sc.answer = append(sc.answer, b...)
	sent := slices.Concat(sc.repeat, b)
	sc.repeat = nil
	if _, ends := bytes.CutSuffix(b, []byte{'Z', 0, 0, 0, 5, sc.tx}); ends {
		sc.endAnswer()
	}
	if _, err := sc.conn.Write(sent); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (sc *serverConn) endAnswer() {
	u := sc.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.repeat > 0 {
		u.repeat--
		if u.repeat == 0 {
			sc.repeat = sc.answer
		}
	}
	sc.answer = nil
}

func (sc *serverConn) inTx() bool { return sc.implicit || sc.tx != 'I' }

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	sc := &serverConn{
		upstream: u,
		conn:     c,
		prepared: make(map[string]string),
		portals:  make(map[string]string),
		tx:       'I',
	}
	sc.backend = pgproto3.NewBackend(c, sc)
	if _, err := sc.backend.ReceiveStartupMessage(); err != nil {
		return
	}
	u.mu.Lock()
	u.conns[sc] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		delete(u.conns, sc)
		u.mu.Unlock()
	}()
	sc.backend.Send(&pgproto3.AuthenticationOk{})
	sc.backend.Send(&pgproto3.BackendKeyData{SecretKey: []byte{1, 2, 3, 4}})
	sc.ready()
	for sc.backend.Flush() == nil {
		m, err := sc.backend.Receive()
		if err != nil {
			return
		}
		u.mu.Lock()
		sc.handle(m)
		u.mu.Unlock()
	}
}

func (sc *serverConn) ready() { sc.backend.Send(&pgproto3.ReadyForQuery{TxStatus: sc.tx}) }

func (sc *serverConn) fail(code string) {
	sc.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     code,
		Message:  "refused",
	})
	sc.writes = false
	if sc.tx == 'T' {
		sc.tx = 'E'
	}
}

func (sc *serverConn) handle(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		if sc.runScript(m.String) {
			sc.commit()
		}
		sc.ready()
		return
	case *pgproto3.Sync:
		if !sc.failed {
			sc.commit()
		}
		sc.implicit = false
		sc.failed = false
		sc.ready()
		return
	}
	if sc.failed {
		return
	}
	sc.implicit = true
	sc.failed = !sc.handleExtended(m)
}

// handleExtended processes a message of the extended protocol; it returns false after
// an error.
func (sc *serverConn) handleExtended(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if _, taken := sc.prepared[m.Name]; taken && m.Name != "" {
			sc.fail("42P05")
			return false
		}
		if strings.Contains(m.Query, "syntax") {
			sc.fail("42601")
			return false
		}
		sc.prepared[m.Name] = m.Query
		sc.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := sc.prepared[m.PreparedStatement]
		if !ok {
			sc.fail("26000")
			return false
		}
		sc.portals[m.DestinationPortal] = sql
		sc.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			sc.backend.Send(&pgproto3.ParameterDescription{})
		}
		sc.backend.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		return sc.run(sc.portals[m.Portal])
	case *pgproto3.Close:
		sc.backend.Send(&pgproto3.CloseComplete{})
	}
	return true
}

// runScript runs the statements of a simple query up to the first that fails.
func (sc *serverConn) runScript(sql string) bool {
	for part := range strings.SplitSeq(sql, ";") {
		if !sc.run(strings.TrimSpace(part)) {
			return false
		}
	}
	return true
}

// run answers one statement; it returns false after an error.
func (sc *serverConn) run(sql string) bool {
	word, _, _ := strings.Cut(strings.ToUpper(sql), " ")
	switch sql {
	case dbops.CommitQuery:
		if sc.lastCommit == 0 {
			sc.row("", "")
		} else {
			sc.row("1@x", strconv.Itoa(sc.lastCommit))
		}
		return true
	case dbops.StatusQuery:
		n := strconv.Itoa(sc.upstream.commits)
		sc.row("primary", "1@x", "1@x", n, "1@x", n, "", "1")
		return true
	case "RESET ALL":
		sc.upstream.resets++
	case "":
	default:
		sc.upstream.executed = append(sc.upstream.executed, sql)
	}
	switch {
	case sc.upstream.refuseRecord != "" && strings.HasPrefix(sql, "INSERT INTO "+conf.DefaultRequestTable):
		sc.fail(sc.upstream.refuseRecord)
		return false
	case sc.tx == 'E' && word != "ROLLBACK" && word != "COMMIT", strings.Contains(sql, "syntax"):
		sc.fail("42601")
		return false
	case word == "BEGIN":
		sc.tx = 'T'
	case word == "COMMIT", word == "ROLLBACK":
		sc.tx = 'I'
		sc.writes = sc.writes && word == "COMMIT"
		sc.commit()
	case word == "INSERT" && sc.tx == 'I' && sc.upstream.conflicts > 0:
		sc.upstream.conflicts--
		sc.fail("40001")
		return false
	case word == "INSERT":
		sc.writes = true
	}
	sc.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	return true
}

func (sc *serverConn) row(values ...string) {
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for _, v := range values {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte("c")})
		r.Values = append(r.Values, []byte(v))
	}
	sc.backend.Send(d)
	sc.backend.Send(r)
	sc.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// commit counts a commit if there are writes and no transaction is open.
func (sc *serverConn) commit() {
	if sc.tx == 'I' && sc.writes {
		sc.upstream.commits++
		sc.lastCommit = sc.upstream.commits
		sc.writes = false
	}
}
