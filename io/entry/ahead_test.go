package entry

import (
	"io"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/platform"
)

// aheadCaller has sent statements ahead. The first read of one ends the session.
type aheadCaller struct {
	coltsfootloft.Caller
	end     func()
	verbs   []coltsfootloft.Verb
	skipped int // number of the statement for which there is no memory
	read    int
	answers []coltsfootloft.Reason
}

func (c *aheadCaller) HasNext() bool { return c.read < len(c.verbs) }

func (c *aheadCaller) Next() (coltsfootloft.Statement, error) {
	c.end()
	if !c.HasNext() {
		return coltsfootloft.Statement{}, io.EOF
	}
	c.read++
	st := coltsfootloft.NewStatement("a1", "", c.verbs[c.read-1], "x", "y")
	if c.read == c.skipped {
		return st, errors.WithStack(coltsfootloft.ErrNoMemory)
	}
	return st, nil
}

func (c *aheadCaller) Answer(r coltsfootloft.Reply) error {
	c.answers = append(c.answers, r.Reason)
	return nil
}

// TestStatementsBehindTheLastAreRefused guards against a session that ends without an answer to statements
// which it has read: it is closed as idle as it reads, or with an open transaction.
func TestStatementsBehindTheLastAreRefused(t *testing.T) {
	const none, busy, aborted, malformed = coltsfootloft.ReasonNone, coltsfootloft.ReasonBusy, coltsfootloft.ReasonAborted, coltsfootloft.ReasonMalformed
	const unknown, read, write = coltsfootloft.VerbUnknown, coltsfootloft.VerbRead, coltsfootloft.VerbWrite
	const begin, commit, rollback = coltsfootloft.VerbBegin, coltsfootloft.VerbCommit, coltsfootloft.VerbRollback
	for _, c := range []struct {
		tx      *transaction
		verbs   []coltsfootloft.Verb
		skipped int
		answers []coltsfootloft.Reason
	}{
		{nil, []coltsfootloft.Verb{unknown, read, write, begin, coltsfootloft.VerbSet}, 4, []coltsfootloft.Reason{malformed, busy, busy, busy, busy}},
		{&transaction{}, []coltsfootloft.Verb{unknown, read, write, commit, write}, 3, []coltsfootloft.Reason{malformed, aborted, malformed, aborted, busy}},
		{&transaction{}, []coltsfootloft.Verb{unknown, rollback, commit}, 0, []coltsfootloft.Reason{malformed, none, busy}},
		{&transaction{failed: true}, []coltsfootloft.Verb{unknown, commit, read}, 0, []coltsfootloft.Reason{aborted, aborted, busy}},
	} {
		conn, peer := net.Pipe()
		defer peer.Close()
		m := &mirror.Mirror{Store: &platform.Client{}}
		s := &Server{
			Mirror: m,
			Groups: &groups.Groups{Lease: &lease.Lease{
				Mirror: m,
				Clock:  boot.Clock{},
			}},
			Clock:   boot.Clock{},
			Metrics: metrics.NewSet(),
			Log:     logr.Discard(),
		}
		s.prepare()
		caller := &aheadCaller{
			end:     func() { s.closeResting() },
			verbs:   c.verbs,
			skipped: c.skipped,
		}
		n := &session{
			server: s,
			conn:   conn,
			caller: caller,
			tx:     c.tx,
		}
		s.sessions[n] = struct{}{}
		n.serveStatements()
		assert.DeepEqual(t, caller.answers, c.answers)
	}
}
