package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/relay"
)

const (
	// waitShare is the part of the target latency that an operation may wait for
	// a database before it is refused, which leaves its caller time to try another
	// host.
	waitShare = 0.6
	// noDatabaseShare replaces waitShare while no database may be used, as during
	// a change of primary. The change takes longer than any operation may wait, so
	// the wait only bridges the time until the host learns that it is complete.
	noDatabaseShare = 0.24
	// retryShare is the part of the target latency within which an operation that
	// was sent to a database, and is known not to have run, is sent again.
	retryShare = 0.9
	// retryPause is the wait before an operation is sent again after every
	// database has refused it.
	retryPause = 8 * time.Millisecond
	// stalenessMargin is subtracted from the maximum age that a route allows.
	stalenessMargin = 30 * time.Millisecond
)

// destination is the database for a statement, and the position that it must have
// applied.
type destination struct {
	reader groups.Reader
	after  coltsfootloft.Position
}

// waitLeft returns how much longer an operation may wait before it is refused.
func (o *operation) waitLeft(now time.Duration) time.Duration {
	if o.sent {
		return o.shareLeft(now, retryShare)
	}
	return o.shareLeft(now, waitShare)
}

// shareLeft returns what is left at now of a share of the target latency.
func (o *operation) shareLeft(now time.Duration, share float64) time.Duration {
	return time.Duration(float64(o.route.TargetLatency)*share) - (now - o.arrived)
}

// choosePrimary returns the primary of the route's group, if the host may use it.
func (n *session) choosePrimary(o *operation) (destination, bool) {
	primary, ok := n.server.Groups.Primary(o.route.Group)
	if !ok || !n.server.Groups.Allows(o.homes, primary.Target.ID) {
		return destination{}, false
	}
	return destination{reader: groups.Reader{
		Target:    primary.Target,
		Primary:   primary,
		IsPrimary: true,
	}}, true
}

// choose selects a database for a statement. Reads skip the databases in tried.
func (n *session) choose(o *operation, writes bool, tried map[string]bool) (destination, bool) {
	if writes {
		return n.choosePrimary(o)
	}
	return n.chooseReader(o, tried)
}

// chooseReader selects a database for a read. It skips those in tried, replicas that
// are known not to have applied the required position, and all replicas if that
// position is not known.
func (n *session) chooseReader(o *operation, tried map[string]bool) (destination, bool) {
	if o.route.Kind == coltsfootloft.RoutePrimary {
		return n.choosePrimary(o)
	}
	after, fresh := n.requiredPosition(o)
	if !fresh && n.refreshMarks(o) {
		after, fresh = n.requiredPosition(o)
	}
	for _, r := range n.server.Groups.Readers(o.route.Group, n.read(o, len(tried) > 0 || o.tries > 0)) {
		if r.IsAbroad && o.tooLate > 0 {
			continue // the load of the host's domain is no reason to leave it
		}
		if tried[r.Target.ID] || !r.IsPrimary && (!fresh || n.server.Groups.Pools.LacksPosition(r.Target.ID, after)) {
			continue
		}
		d := destination{reader: r}
		if !r.IsPrimary {
			d.after = after
		}
		return d, true
	}
	return destination{}, false
}

// read returns what the choice of a database for a read depends on.
func (n *session) read(o *operation, again bool) groups.Read {
	return groups.Read{
		Account:       n.account,
		Priority:      o.route.Priority,
		TargetLatency: o.route.TargetLatency,
		Homes:         o.homes,
		IsAgain:       again,
	}
}

// requiredPosition returns the position that a replica must have applied to satisfy
// the route's consistency level; ok is false if it is not known.
func (n *session) requiredPosition(o *operation) (p coltsfootloft.Position, ok bool) {
	g := n.server.Groups
	since := o.arrived - o.route.MaxAge + stalenessMargin
	p, ok = g.Marks(o.route.Group).Oldest(g.Epoch(o.route.Group), since)
	if !ok {
		return p, false
	}
	if w := n.lastWrites[o.route.Group]; o.route.Kind == coltsfootloft.RouteReadOwnWrites && w.Compare(p) > 0 {
		p = w
	}
	return p, true
}

// awaitDatabase waits while no database can be chosen. It reports false if the
// operation has waited long enough. It clears tried, so that databases that were
// tried may be tried again.
func (n *session) awaitDatabase(o *operation, tried map[string]bool) bool {
	now := n.server.Clock.Elapsed()
	wait := o.waitLeft(now)
	if len(tried) == 0 && !o.sent {
		wait = o.shareLeft(now, noDatabaseShare)
	}
	clear(tried)
	o.tooLate = 0
	return n.pauseFor(wait)
}

// pause waits up to retryPause for a change of the store's copy, if the operation may
// still wait.
func (n *session) pause(o *operation) {
	n.pauseFor(o.waitLeft(n.server.Clock.Elapsed()))
}

// pauseFor waits for a change of the store's copy, for at most wait and retryPause. It
// reports false if wait is not positive.
func (n *session) pauseFor(wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(min(wait, retryPause))
	defer timer.Stop()
	select {
	case <-n.server.Mirror.Changed():
	case <-timer.C:
	}
	return true
}

// borrow takes a connection to a database. It returns nil if there is none or if the
// host lost the right to use the primary while it waited. It fails with
// coltsfootloft.ErrNotSent if there can be none.
func (n *session) borrow(o *operation, d destination) (*relay.Conn, error) {
	s := n.server
	left := o.waitLeft(s.Clock.Elapsed())
	if left <= 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var primary *groups.Primary
	if d.reader.IsPrimary {
		primary = &d.reader.Primary
	}
	conn, err := s.Relay.Borrow(ctx, d.reader.Target, n.account, o.route.Priority, primary, o.homes)
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		return nil, err
	}
	if err != nil {
		n.noteNotSent(o, d, err)
		return nil, nil
	}
	if d.reader.IsPrimary && !s.Groups.MaySend(o.route.Group, d.reader.Primary) {
		conn.Release(true)
		return nil, nil
	}
	return conn, nil
}

// noteNotSent handles a statement that was not sent because the database was down or
// had no connection free.
func (n *session) noteNotSent(o *operation, d destination, err error) {
	var refused *dbpool.WaitError
	if errors.As(err, &refused) {
		o.noteTooLate(refused.Retry)
	}
	if errors.Is(err, dbpool.ErrDown) && d.reader.IsPrimary {
		n.server.ReportUnreachable(o.route.Group, d.reader.Target.ID)
		n.pause(o)
	}
	if errors.Is(err, dbpool.ErrClosed) && d.reader.IsPrimary {
		n.pause(o) // the owner of the connection knows of an evacuation that this host does not know of yet
	}
}

func wasNotSent(err error) bool {
	return errors.Is(err, dbpool.ErrBusy) || errors.Is(err, dbpool.ErrDown) || errors.Is(err, coltsfootloft.ErrNotSent)
}

// refuseUnsent refuses a statement that can't be sent to any database.
func (n *session) refuseUnsent(o *operation, st coltsfootloft.Statement, err error) coltsfootloft.Reply {
	reason := coltsfootloft.ReasonMalformed
	switch {
	case errors.Is(err, coltsfootloft.ErrTooLarge):
		reason = coltsfootloft.ReasonTooLarge
	case errors.Is(err, errOverRate):
		reason = coltsfootloft.ReasonBusy
	}
	return n.refuseOperation(o, st, reason, err.Error())
}
