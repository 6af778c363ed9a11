package entry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"coltsfootloft"
)

// UselessWaitsMetric counts operations refused since their turn would come too late at each
// database that may serve them.
const UselessWaitsMetric = "coltsfootloft_useless_waits_refused_total"

const (
	// noDatabaseRetry is when a caller should return that no database could serve. A change
	// of primary is under way then.
	noDatabaseRetry = 100 * time.Millisecond
	// noConnectionRetry is when a caller should return for which no connection became free.
	noConnectionRetry = 50 * time.Millisecond
)

// noteTooLate records that a database expects the operation's turn too late.
func (o *operation) noteTooLate(retry time.Duration) {
	o.tooLate++
	if o.retry == 0 || retry < o.retry {
		o.retry = retry
	}
}

// isTooLate reports whether the operation's turn would come too late at each database that
// may serve it.
func (n *session) isTooLate(o *operation, writes bool) bool {
	if o.tooLate == 0 {
		return false
	}
	if writes || o.route.Kind == coltsfootloft.RoutePrimary {
		return true
	}
	may := 0
	for _, r := range n.server.Groups.Readers(o.route.Group, n.read(o, true)) {
		if !r.IsAbroad {
			may++
		}
	}
	return o.tooLate >= may
}

// refuseTooLate refuses an operation whose turn would come too late.
func (n *session) refuseTooLate(o *operation, st coltsfootloft.Statement) coltsfootloft.Reply {
	return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, "no turn at a database in time"+n.comeBackTooLate(o))
}

// comeBackTooLate counts the refusal of an operation whose turn would come too late, and returns the end of
// its text.
func (n *session) comeBackTooLate(o *operation) string {
	n.server.Metrics.GetOrCreateCounter(UselessWaitsMetric).Inc()
	return comeBack(o.retry)
}

// comeBack returns the end of a refusal's text, which asks the caller to return after a time.
// It is spread by half to either side, if the settings say so.
func (n *session) comeBack(retry time.Duration) string {
	if n.server.JitterRetries {
		retry = time.Duration(float64(retry) * (0.5 + rand.Float64()))
	}
	return comeBack(retry)
}

func comeBack(retry time.Duration) string {
	return "; come back in " + strconv.FormatInt(max(retry.Milliseconds(), 1), 10) + " ms"
}
