package dbpool_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/platform"
)

// play runs a history of operations at a database that repeats answers, and returns what its
// callers must not see.
type play struct {
	database *scripted
	pools    *dbpool.Pools
	limit    time.Duration // of one statement
	wrong    []string
	notRun   map[string]bool // statements that callers were told did not run
	refused  []string        // statements without an answer of the database
}

var scriptedTarget = dbpool.Target{
	ID:    "db-1",
	Group: "notices",
}

func newPlay(t *testing.T, repeats []repeat, lost int) *play {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &scripted{
		listener: l,
		refuse:   make(map[string]string),
		repeats:  repeats,
		lost:     lost,
		runs:     make(map[string]run),
	}
	d.sessions.Add(1)
	go d.accept()
	return &play{
		database: d,
		limit:    5 * time.Second,
		notRun:   make(map[string]bool),
		pools: &dbpool.Pools{
			Opener:        &platform.Dialer{Dial: (&net.Dialer{}).DialContext},
			RefusalReason: func(error) (coltsfootloft.Reason, bool) { return coltsfootloft.ReasonNone, false },
			Clock:         boot.Clock{},
			Limit:         func(dbpool.Target) int { return 1 },
			Outstanding:   func(dbpool.Target) int { return 1 },
			Log:           logr.Discard(),
			Metrics:       metrics.NewSet(),
		},
	}
}

// end closes all connections, and checks that nothing has run of which callers were told that it
// did not, also not later than that.
func (p *play) end() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.pools.Run(ctx)
	p.database.listener.Close()
	p.database.sessions.Wait()
	for id := range p.notRun {
		if p.database.runs[id].done {
			p.wrong = append(p.wrong, id+" was told as not run, and ran")
		}
	}
}

func (p *play) acquire() *dbpool.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	target := scriptedTarget
	target.Address = p.database.listener.Addr().String()
	c, err := p.pools.Acquire(ctx, target, "arima", 0)
	if err != nil {
		p.wrong = append(p.wrong, "no connection: "+err.Error())
		return nil
	}
	return c
}

// isNotRun reports whether a failure promises that nothing ran.
func isNotRun(r coltsfootloft.Reason) bool {
	switch r {
	case coltsfootloft.ReasonBusy, coltsfootloft.ReasonLagging, coltsfootloft.ReasonReadOnly, coltsfootloft.ReasonNoStatement:
		return true
	default:
		return false
	}
}

// send runs a statement on a connection and compares what the caller gets with what the database
// did. It reports false if the connection can't be used any more.
func (p *play) send(c *dbpool.Conn, id, text string, verb coltsfootloft.Verb, values map[string]string) (coltsfootloft.Reply, bool) {
	r := dbpool.Request{
		Statement: coltsfootloft.NewStatement(id, text, verb, "x", "y"),
		Expected:  prep.NewSessionState(values),
		Deadline:  time.Now().Add(p.limit),
	}
	if verb == coltsfootloft.VerbExecute {
		r.Shape = &prep.Shape{Text: "shape"}
	}
	reply, err := c.Exchange(r)
	p.database.mu.Lock()
	defer p.database.mu.Unlock()
	ran := p.database.runs[id]
	delete(p.notRun, id)
	notSent := errors.Is(err, dbpool.ErrBusy)
	if err != nil {
		p.refused = append(p.refused, id+": "+err.Error())
	}
	switch {
	case notSent || isNotRun(reply.Reason):
		p.notRun[id] = true
	case err != nil || reply.Failed() || verb == coltsfootloft.VerbBegin:
	case reply.Digest != ran.digest:
		p.wrong = append(p.wrong, fmt.Sprintf("%s got %q, its own is %q", id, reply.Digest, ran.digest))
	case verb == coltsfootloft.VerbRead && (len(reply.Rows) != 1 || reply.Rows[0] != "of "+id):
		p.wrong = append(p.wrong, fmt.Sprintf("%s got rows %q", id, reply.Rows))
	}
	return reply, err == nil
}

// single runs a statement of its own.
func (p *play) single(id, text string, verb coltsfootloft.Verb, values map[string]string) {
	c := p.acquire()
	if c == nil {
		return
	}
	reply, ok := p.send(c, id, text, verb, values)
	p.pools.Release(c, ok && reply.State == coltsfootloft.TxIdle)
}

// transaction runs a write in a transaction, which it ends with COMMIT, again if the database is busy, or
// with ROLLBACK.
func (p *play) transaction(name string, commits bool) {
	c := p.acquire()
	if c == nil {
		return
	}
	reply, ok := p.send(c, "begin-"+name, "BEGIN", coltsfootloft.VerbBegin, nil)
	if !ok || reply.Failed() {
		p.pools.Release(c, ok && reply.State == coltsfootloft.TxIdle)
		return
	}
	id := "in-" + name
	reply, ok = p.send(c, id, "WRITE x y", coltsfootloft.VerbWrite, nil)
	p.database.mu.Lock()
	if v := p.database.runs[id]; v.digest != "" && !v.inTx {
		p.wrong = append(p.wrong, id+" ran outside its transaction")
	}
	p.database.mu.Unlock()
	if !ok || reply.State != coltsfootloft.TxOpen {
		p.pools.Release(c, false)
		return
	}
	if !commits {
		r, err := c.Command(coltsfootloft.Command{Kind: coltsfootloft.CommandRollback}, time.Now().Add(p.limit))
		p.pools.Release(c, err == nil && !r.Failed() && r.State == coltsfootloft.TxIdle)
		return
	}
	for range 2 { // as long as the database is busy
		reply, ok = p.send(c, "commit-"+name, "COMMIT", coltsfootloft.VerbCommit, nil)
		if !ok || reply.State != coltsfootloft.TxOpen {
			break
		}
	}
	p.pools.Release(c, ok && reply.State == coltsfootloft.TxIdle)
}

// histories are the operations during which answers are repeated.
var histories = map[string]func(p *play){
	"reads and writes": func(p *play) {
		p.single("r1", "READ x", coltsfootloft.VerbRead, nil)
		p.single("w1", "WRITE x y", coltsfootloft.VerbWrite, nil)
		p.single("e1", "EXEC s x", coltsfootloft.VerbExecute, map[string]string{"a": "1", "b": "2"})
		p.single("r2", "READ x", coltsfootloft.VerbRead, map[string]string{"a": "3"})
		p.single("e2", "EXEC s x", coltsfootloft.VerbExecute, nil)
	},
	"refusals": func(p *play) {
		for i, word := range []string{"BUSY", "BUSY", "READONLY", "LAGGING", "FAILED", "TIMEOUT", "NOSTMT", ""} {
			id := fmt.Sprint("w", i)
			p.database.mu.Lock()
			p.database.refuse[id] = word
			p.database.mu.Unlock()
			p.single(id, "WRITE x y", coltsfootloft.VerbWrite, nil)
			if i%2 == 1 {
				p.single("between-"+id, "WRITE x y", coltsfootloft.VerbWrite, nil)
			}
		}
	},
	"transactions": func(p *play) {
		p.transaction("a", true)
		p.transaction("b", false)
		p.transaction("c", true)
		p.single("w1", "WRITE x y", coltsfootloft.VerbWrite, nil)
	},
	"transactions refused": func(p *play) {
		for id, word := range map[string]string{"begin-a": "BUSY", "commit-b": "BUSY", "in-c": "READONLY", "begin-d": "BUSY"} {
			p.database.refuse[id] = word
		}
		p.transaction("a", true)
		p.transaction("b", true)
		p.transaction("c", true)
		p.transaction("d", true)
		p.transaction("e", false)
	},
}

// runHistory plays a history and returns it.
func runHistory(t *testing.T, history func(p *play), repeats []repeat) *play {
	t.Helper()
	p := newPlay(t, repeats, -1)
	history(p)
	p.end()
	return p
}

// baseline plays a history without repeats and returns the answers of its first connection.
func baseline(t *testing.T, history func(p *play)) []string {
	t.Helper()
	p := runHistory(t, history, nil)
	assert.DeepEqual(t, p.wrong, []string(nil))
	assert.DeepEqual(t, p.refused, []string(nil))
	return p.database.answers
}
