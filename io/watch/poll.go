package watch

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
)

const (
	// pollTime is the deadline of a poll. The adapter of the database has it answer
	// somewhat earlier if nothing changes, after about three quarters.
	pollTime = 340 * time.Millisecond
	// pollLimit is when a poll without an answer is given up.
	pollLimit = 2 * pollTime
	// retryPause is waited after a failed poll or probe.
	retryPause = 50 * time.Millisecond
)

// poll follows the readings of one database until ctx ends.
func (g *group) poll(ctx context.Context, log logr.Logger, name string, d coltsfootloft.Database) {
	var last coltsfootloft.Reading
	known, up := false, true
	for ctx.Err() == nil {
		asked := g.clock.Now()
		r, err := g.ask(ctx, d, last.Version(), known)
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
			pause(ctx, g.clock, retryPause)
			continue
		}
		last = r
		readingsTaken.Inc()
		g.apply(name, asked, g.clock.Now(), r)
	}
}

// ask returns the first reading after the one with version seen, or any if none
// is known.
func (g *group) ask(ctx context.Context, d coltsfootloft.Database, seen uint64, known bool) (coltsfootloft.Reading, error) {
	if !known {
		ctx, cancel := clockwork.WithTimeout(ctx, g.clock, pollLimit)
		defer cancel()
		return d.Status(ctx)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, g.clock, pollTime)
	defer cancel()
	return d.Await(ctx, seen)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
