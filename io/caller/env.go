package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/events"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// Env holds the dependencies that all sessions of a host share. Its fields are set
// before the first session runs.
type Env struct {
	// Domain is the host's own failure domain.
	Domain string
	// PrimaryOnly sends reads to the primary too. Benchmarks use it as the baseline.
	PrimaryOnly bool
	// Groups provides the readings of the databases.
	Groups coltsfootloft.Groups
	// Members reports which upstreams are being removed.
	Members coltsfootloft.Members
	// Shares limits the rate of statements.
	Shares coltsfootloft.Shares
	// Fleet returns the current settings.
	Fleet func() *conf.Fleet
	// Pool returns the connection pool of a database; ok is false if there is none.
	Pool func(database string) (*pool.Pool, bool)
	// RetryBudget is the retry budget of each client account.
	RetryBudget Budget
	// Messages bounds the messages and batches that sessions hold, Values their prepared statements
	// and settings, which are held as long as the session; nil means no bound.
	Messages, Values coltsfootloft.Memory
	// Trace decides which requests are traced; nil traces none.
	Trace *trace.Tracer
	// Journal records the events of routing decisions; nil drops them.
	Journal *events.Journal
	// Clock is the source of time.
	Clock clockwork.Clock
	// Log receives log messages.
	Log logr.Logger

	// recordedIDs counts the recorded request ids, so that old ones are deleted
	// periodically.
	recordedIDs atomic.Uint64
	// views maps the name of each group to a *view.
	views sync.Map
}

// Budget limits the retries of each client account.
type Budget interface {
	// Offer records the first attempt of a request.
	Offer(account string)
	// Succeed records an answered request.
	Succeed(account string)
	// Spend reports whether the budget allows one more retry, and takes it from the
	// budget.
	Spend(account string) bool
}

func (e *Env) ackTimeout(group string) time.Duration {
	g, ok := e.Fleet().Group(group)
	if !ok {
		return conf.DefaultAckTimeout
	}
	return g.AckTimeout()
}
