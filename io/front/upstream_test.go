package front

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/dbops"
)

// upstream is a database that runs nothing, but keeps account of transactions,
// prepared statements and commits as a real one does.
type upstream struct {
	t        testing.TB
	listener net.Listener
	running  sync.WaitGroup

	mu      sync.Mutex
	links   map[*link]bool
	commits int
	ran     []string
}

func newUpstream(t testing.TB) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &upstream{
		t:        t,
		listener: l,
		links:    make(map[*link]bool),
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

// open counts the connections that are between transactions, and those that are
// inside of one.
func (u *upstream) open() (idle, inside int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for k := range u.links {
		if k.inside() {
			inside++
		} else {
			idle++
		}
	}
	return idle, inside
}

// statements returns what was run, without the host's own statements.
func (u *upstream) statements() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.ran...)
}

func (u *upstream) committed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.commits
}

// link is one connection.
type link struct {
	upstream *upstream
	backend  *pgproto3.Backend
	prepared map[string]string
	portals  map[string]string
	tx       byte
	implicit bool
	writes   bool
	failed   bool
}

func (k *link) inside() bool { return k.implicit || k.tx != 'I' }

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	k := &link{
		upstream: u,
		backend:  pgproto3.NewBackend(c, c),
		prepared: make(map[string]string),
		portals:  make(map[string]string),
		tx:       'I',
	}
	if _, err := k.backend.ReceiveStartupMessage(); err != nil {
		return
	}
	u.mu.Lock()
	u.links[k] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		delete(u.links, k)
		u.mu.Unlock()
	}()
	k.backend.Send(&pgproto3.AuthenticationOk{})
	k.backend.Send(&pgproto3.BackendKeyData{SecretKey: []byte{1, 2, 3, 4}})
	k.ready()
	for k.backend.Flush() == nil {
		m, err := k.backend.Receive()
		if err != nil {
			return
		}
		u.mu.Lock()
		k.take(m)
		u.mu.Unlock()
	}
}

func (k *link) ready() { k.backend.Send(&pgproto3.ReadyForQuery{TxStatus: k.tx}) }

func (k *link) fail(code string) {
	k.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     code,
		Message:  "refused",
	})
	k.writes = false
	if k.tx == 'T' {
		k.tx = 'E'
	}
}

func (k *link) take(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		if k.script(m.String) {
			k.commit()
		}
		k.ready()
		return
	case *pgproto3.Sync:
		if !k.failed {
			k.commit()
		}
		k.implicit = false
		k.failed = false
		k.ready()
		return
	}
	if k.failed {
		return
	}
	k.implicit = true
	k.failed = !k.extended(m)
}

// extended takes a message of the extended protocol.
func (k *link) extended(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if _, taken := k.prepared[m.Name]; taken && m.Name != "" {
			k.fail("42P05")
			return false
		}
		if strings.Contains(m.Query, "syntax") {
			k.fail("42601")
			return false
		}
		k.prepared[m.Name] = m.Query
		k.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := k.prepared[m.PreparedStatement]
		if !ok {
			k.fail("26000")
			return false
		}
		k.portals[m.DestinationPortal] = sql
		k.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			k.backend.Send(&pgproto3.ParameterDescription{})
		}
		k.backend.Send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		return k.run(k.portals[m.Portal])
	case *pgproto3.Close:
		k.backend.Send(&pgproto3.CloseComplete{})
	}
	return true
}

// script runs the statements of a simple query up to the first that fails.
func (k *link) script(sql string) bool {
	for part := range strings.SplitSeq(sql, ";") {
		if !k.run(strings.TrimSpace(part)) {
			return false
		}
	}
	return true
}

// run answers one statement.
func (k *link) run(sql string) bool {
	word, _, _ := strings.Cut(strings.ToUpper(sql), " ")
	switch sql {
	case dbops.CommitQuery:
		k.row("1@x", strconv.Itoa(k.upstream.commits))
		return true
	case dbops.StatusQuery:
		n := strconv.Itoa(k.upstream.commits)
		k.row("primary", "1@x", "1@x", n, "1@x", n, "", "1")
		return true
	case "RESET ALL", "":
	default:
		k.upstream.ran = append(k.upstream.ran, sql)
	}
	switch {
	case k.tx == 'E' && word != "ROLLBACK" && word != "COMMIT", strings.Contains(sql, "syntax"):
		k.fail("42601")
		return false
	case word == "BEGIN":
		k.tx = 'T'
	case word == "COMMIT", word == "ROLLBACK":
		k.tx = 'I'
		k.writes = k.writes && word == "COMMIT"
	case word == "INSERT":
		k.writes = true
	}
	k.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	return true
}

func (k *link) row(values ...string) {
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for _, v := range values {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte("c")})
		r.Values = append(r.Values, []byte(v))
	}
	k.backend.Send(d)
	k.backend.Send(r)
	k.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// commit makes the writes last, unless a transaction is open.
func (k *link) commit() {
	if k.tx == 'I' && k.writes {
		k.upstream.commits++
		k.writes = false
	}
}
