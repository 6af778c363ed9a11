package relay

import (
	"context"
	"time"
)

// drainInterval is how often Drain looks whether statements are being run. An answer is on its
// link within that time.
const drainInterval = 10 * time.Millisecond

// Leave makes the host lend no further connections to other hosts. They turn to other owners;
// transactions that have a connection go on.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Drain waits until no statement of another host is being run, at most until ctx ends. It waits
// for txTime at most while transactions of other hosts hold connections.
func (r *Relay) Drain(ctx context.Context, txTime time.Duration) {
	txEnd := r.Clock.Elapsed() + txTime
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	wasQuiet := false
	for {
		serving, held := r.inUse()
		quiet := serving == 0 && (held == 0 || r.Clock.Elapsed() >= txEnd)
		if quiet && wasQuiet || ctx.Err() != nil {
			r.Log.Info("statements of other hosts drained", "cut", serving, "transactions_ended", held)
			return
		}
		wasQuiet = quiet
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// inUse returns how many statements of other hosts are being run, and how many connections
// are held between two statements of a transaction.
func (r *Relay) inUse() (serving, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving, len(r.held)
}

// beginServing counts a statement of another host. It reports false if the host lends no
// connection for it.
func (r *Relay) beginServing(inTransaction bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving && !inTransaction {
		return false
	}
	r.serving++
	return true
}

func (r *Relay) endServing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving--
}
