package entry

import (
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
)

// Reasons that callers and operators read about evacuations.
const (
	evacuatedText    = "the domain of the primary is evacuated; come back in 1000 ms"
	evacuatedTxCause = "the domain of the database is evacuated"
)

// isCutOff reports whether no database can serve a statement while an evacuation lasts: only the
// primary could, which is closed and is not being replaced. Replicas that have not yet applied the
// position that a read needs may serve it soon. The refusal is counted.
func (n *session) isCutOff(o *operation, writes bool, tried map[string]bool) bool {
	g := n.server.Groups
	if len(tried) > 0 || !g.IsCutOff(o.route.Group) {
		return false
	}
	if !writes && o.route.Kind != coltsfootloft.RoutePrimary {
		if _, fresh := n.requiredPosition(o); fresh && len(g.Readers(o.route.Group, n.read(o, true))) > 0 {
			return false
		}
	}
	n.server.Metrics.GetOrCreateCounter("coltsfootloft_evacuation_refused_total").Inc()
	return true
}

// noteClosed counts a transaction that ends because its database is closed.
func (n *session) noteClosed(err error) {
	if errors.Is(err, dbpool.ErrClosed) {
		n.countAborted()
	}
}

func (n *session) countAborted() {
	n.server.Metrics.GetOrCreateCounter("coltsfootloft_evacuation_aborted_total").Inc()
}

// AbortClosed aborts the open transactions at closed databases of sessions that serve no statement. It
// returns how many those were.
func (s *Server) AbortClosed(isClosed func(dbpool.Target) bool) int {
	return s.forEach(func(n *session) bool { return n.abortClosed(isClosed) })
}

func (n *session) abortClosed(isClosed func(dbpool.Target) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy || n.tx == nil || n.tx.failed || n.tx.conn == nil || !isClosed(n.tx.conn.Target()) {
		return false
	}
	n.abortTransaction(evacuatedTxCause)
	n.countAborted()
	return true
}
