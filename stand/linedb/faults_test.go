package linedb_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/crlf"
	"coltsfootloft/stand/linedb"
)

// peer is a connection to a database that is written and read by hand.
type peer struct {
	t    *testing.T
	conn net.Conn
	r    *crlf.Reader
}

// start starts a group of one database, with faults, and a session at it.
func start(t *testing.T, f linedb.Faults) (*linedb.Group, *peer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.61.9:0")
	assert.NilError(t, err)
	g := &linedb.Group{Name: "notices"}
	g.Add(t.Context(), "db-1", l)
	g.SetFaults("db-1", f)
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	p := &peer{
		t:    t,
		conn: conn,
		r:    crlf.New(conn),
	}
	p.send("START notices arima db-1")
	p.expect("READY I 1.0")
	return g, p
}

func (p *peer) send(line string) {
	p.t.Helper()
	_, err := fmt.Fprintf(p.conn, "%s\r\n", line)
	assert.NilError(p.t, err)
}

func (p *peer) expect(lines ...string) {
	p.t.Helper()
	for _, want := range lines {
		assert.NilError(p.t, p.conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		line, err := p.r.Line()
		assert.NilError(p.t, err)
		assert.Equal(p.t, line, want)
	}
}

// TestAnswersComeTwice guards against a stand-in that sends no second answers, or not of a kind.
func TestAnswersComeTwice(t *testing.T) {
	g, p := start(t, linedb.Faults{Twice: 1})
	p.expect("READY I 1.0")
	for _, c := range []struct {
		query  string
		answer []string
	}{
		{"1 READ a", []string{"ROW -", "DONE db-1.1", "READY I 1.0"}},
		{"- SET x y", []string{"DONE -", "READY I 1.0"}},
		{"- PREPARE m READ m", []string{"DONE -", "READY I 1.0"}},
		{"2 BEGIN", []string{"DONE -", "READY T 1.0"}},
		{"- PREPARE m READ m", []string{"DONE -", "READY T 1.0"}},
		{"3 WRITE a \nDONE 1 ", []string{"DONE db-1.3", "READY T 1.0"}},
		{"4 EXEC none a", []string{"ERR NOSTMT db-1", "READY E 1.0"}},
		{"- PREPARE m READ m", []string{"ERR MALFORMED transaction failed", "READY E 1.0"}},
		{"- STATUS", []string{"ERR MALFORMED transaction failed", "READY E 1.0"}},
		{"5 COMMIT", []string{"ERR ABORTED db-1", "READY I 1.0"}},
		{"- STATUS", []string{"ROW primary 1 1.0 0 0 0 1", "DONE -", "READY I 1.0"}},
		{"- RESET", []string{"DONE -", "READY I 1.0"}},
	} {
		p.send("QUERY " + c.query)
		p.expect(c.answer...)
		p.expect(c.answer...)
	}
	assert.Equal(t, g.Twice("db-1"), 13)
	assert.Equal(t, len(g.Violations()), 0)
}

// TestSecondAnswersComeLate guards against a stand-in whose second answers only ever come at once, or
// that sends other ones than were asked for.
func TestSecondAnswersComeLate(t *testing.T) {
	g, p := start(t, linedb.Faults{})
	g.SetFaults("db-1", linedb.Faults{
		Seed:  3,
		Twice: 1,
		Only:  []string{"WRITE"},
		Delay: 100 * time.Millisecond,
	})
	var got []string
	for i := range 20 {
		p.send(fmt.Sprintf("QUERY %d WRITE a %d", i, i))
		p.send(fmt.Sprintf("QUERY r%d READ b", i))
	}
	for range 20 * (3 + 2*2) {
		assert.NilError(t, p.conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		line, err := p.r.Line()
		assert.NilError(t, err)
		got = append(got, line)
	}
	late := 0
	for i := range 20 {
		first := slices.Index(got, fmt.Sprintf("DONE db-1.%d", i))
		second := first + 2 + slices.Index(got[first+2:], fmt.Sprintf("DONE db-1.%d", i))
		assert.Equal(t, got[first+1], got[second+1])
		if second > first+2 {
			late++
		}
	}
	assert.Assert(t, late > 5 && late < 20, "%d of 20 late", late)
}

// TestSecondAnswersAreHeld guards against a stand-in that sends an answer that it should keep back, or never.
func TestSecondAnswersAreHeld(t *testing.T) {
	g, p := start(t, linedb.Faults{})
	g.SetFaults("db-1", linedb.Faults{
		Twice: 1,
		Held:  1,
		Only:  []string{"SET", "WRITE"},
	})
	p.send("QUERY - SET x y")
	p.expect("DONE -", "READY I 1.0")
	p.send("QUERY - STATUS")
	p.expect("ROW primary 1 1.0 0 0 0 1", "DONE -", "READY I 1.0")
	p.send("QUERY 1 WRITE a 1")
	p.expect("DONE db-1.1", "READY I 1.1")
	p.send("QUERY 2 READ a")
	held := []string{"DONE -", "READY I 1.0", "DONE db-1.1", "READY I 1.1"}
	var got []string
	for range held {
		line, err := p.r.Line()
		assert.NilError(t, err)
		got = append(got, line)
	}
	slices.Sort(held)
	slices.Sort(got)
	assert.DeepEqual(t, got, held)
	p.expect("ROW 1", "DONE db-1.2", "READY I 1.1")
	p.send("QUERY 3 READ a")
	p.expect("ROW 1", "DONE db-1.3", "READY I 1.1")
}

// TestInjectedErrorsSayWhatRan guards against a stand-in whose errors tell something else than what it did.
func TestInjectedErrorsSayWhatRan(t *testing.T) {
	for code, effect := range map[string]struct{ runs, log int }{"BUSY": {0, 0}, "FAILED": {1, 0}, "TIMEOUT": {1, 1}} {
		g, p := start(t, linedb.Faults{
			Errors: 1,
			Codes:  []string{code},
			Delay:  time.Millisecond,
		})
		p.send("QUERY 1 WRITE a 1")
		position := fmt.Sprintf("1.%d", effect.log)
		p.expect("ERR "+code+" db-1", "READY I "+position)
		if code == "TIMEOUT" {
			p.expect("DONE db-1.1", "READY I "+position)
		}
		assert.Equal(t, len(g.Runs()), effect.runs, code)
		assert.Equal(t, len(g.Log()), effect.log, code)
		g.SetFaults("db-1", linedb.Faults{})
		p.send("QUERY 2 BEGIN")
		p.expect("DONE -", "READY T "+position)
		g.SetFaults("db-1", linedb.Faults{
			Errors: 1,
			Codes:  []string{code},
		})
		p.send("QUERY 3 READ b")
		p.expect("ERR "+code+" db-1", "READY E "+position)
	}
}
