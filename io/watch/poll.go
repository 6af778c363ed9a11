package watch

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
)

const (
	// awaitTimeout is the deadline of a long poll. If nothing changes, the
	// database adapter makes the database answer earlier, after about three
	// quarters of it.
	awaitTimeout = 340 * time.Millisecond
	// statusTimeout bounds the first read of a database, and the next one after
	// a failure.
	statusTimeout = 2 * awaitTimeout
	// retryDelay is the pause after a failed poll or probe.
	retryDelay = 50 * time.Millisecond
)

// poll applies the readings of one database until ctx ends.
func (g *group) poll(ctx context.Context, log logr.Logger, name string, d coltsfootloft.Database) {
	var last coltsfootloft.Reading
	known, up := false, true
	for ctx.Err() == nil {
		requested := g.clock.Now()
		r, err := g.nextReading(ctx, d, last.Version(), known)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			log.Info("database observation changed", "answers", up, "cause", err)
		}
		known = err == nil
		if err != nil {
			pollsFailed.Inc()
			pause(ctx, g.clock, retryDelay)
			continue
		}
		last = r
		readingsTaken.Inc()
		g.apply(name, requested, g.clock.Now(), r)
	}
}

// nextReading returns the first reading after the one with the given version,
// or the current one if none is known.
func (g *group) nextReading(ctx context.Context, d coltsfootloft.Database, version uint64, known bool) (coltsfootloft.Reading, error) {
	if !known {
		ctx, cancel := clockwork.WithTimeout(ctx, g.clock, statusTimeout)
		defer cancel()
		return d.Status(ctx)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, g.clock, awaitTimeout)
	defer cancel()
	return d.Await(ctx, version)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
