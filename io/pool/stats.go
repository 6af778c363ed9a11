package pool

import "github.com/pkg/errors"

// errNoRight means that no right to connect was granted in time. It does not indicate
// a problem of the upstream.
var errNoRight = errors.New("no right to connect")

// Stats holds the numbers of connections and waiters of a pool.
type Stats struct {
	open    int
	lent    int
	idle    int
	waiting int
}

// Open is the number of open connections.
func (s Stats) Open() int { return s.open }

// Lent is the number of connections in use.
func (s Stats) Lent() int { return s.lent }

// Idle is the number of open connections not in use.
func (s Stats) Idle() int { return s.idle }

// Waiting is the number of requests that wait for a connection.
func (s Stats) Waiting() int { return s.waiting }
