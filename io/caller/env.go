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

// Env is what all sessions of a host share. Its fields are set before the first
// session runs.
type Env struct {
	// Domain is the host's own failure domain.
	Domain string
	// PrimaryOnly sends reads to the primary too; measurements compare with it.
	PrimaryOnly bool
	// Groups knows the databases' readings.
	Groups coltsfootloft.Groups
	// Members knows which upstreams leave.
	Members coltsfootloft.Members
	// Shares admits statements.
	Shares coltsfootloft.Shares
	// Fleet returns the settings in force.
	Fleet func() *conf.Fleet
	// Pool returns the connections of a database.
	Pool func(database string) (*pool.Pool, bool)
	// Retry spends from the client account's retry budget.
	Retry Budget
	// Trace decides which requests are traced; nil traces none.
	Trace *trace.Tracer
	// Journal takes decisions for explanations; nil drops them.
	Journal *events.Journal
	// Clock tells the time.
	Clock clockwork.Clock
	// Log takes events.
	Log logr.Logger

	// purges counts recorded request ids, to remove old ones now and then.
	purges atomic.Uint64
	// views holds a *view for each group.
	views sync.Map
}

// Budget bounds the repeats of each client account.
type Budget interface {
	// Offer notes the first attempt of a request.
	Offer(account string)
	// Succeed notes a request that was answered.
	Succeed(account string)
	// Spend reports whether one more repeat is within the budget.
	Spend(account string) bool
}

func (e *Env) ackTimeout(group string) time.Duration {
	g, ok := e.Fleet().Group(group)
	if !ok {
		return conf.DefaultAckTimeout
	}
	return g.AckTimeout()
}
