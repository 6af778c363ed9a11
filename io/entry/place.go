package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay"
)

const (
	// offerShare is the part of the target latency that an operation may wait
	// for a database before it is refused: in time for a try at another host.
	offerShare = 0.6
	// nowhereShare is that while no database may be used, as during a change of
	// primary, which takes longer than any wait: at once, but for the moment
	// between a change and its news.
	nowhereShare = 0.24
	// repeatShare is the part of the target latency within which an operation
	// that was offered to a database, and has not run, is offered again.
	repeatShare = 0.9
	// pauseBetween is the wait before an operation is offered again to databases
	// that have all refused it.
	pauseBetween = 8 * time.Millisecond
	// ageMargin is left of the age that a route allows.
	ageMargin = 30 * time.Millisecond
)

// place is where a statement may run, and what it must find there.
type place struct {
	reader groups.Reader
	after  coltsfootloft.Position
}

// patience is how much longer an operation may wait before it is refused.
func (o *operation) patience(now time.Duration) time.Duration {
	if o.offered {
		return o.within(now, repeatShare)
	}
	return o.within(now, offerShare)
}

// within is what is left of a share of the target latency.
func (o *operation) within(now time.Duration, share float64) time.Duration {
	return time.Duration(float64(o.route.TargetLatency)*share) - (now - o.arrived)
}

// primaryPlace returns the primary, while it may be used.
func (n *session) primaryPlace(o *operation) (place, bool) {
	office, ok := n.server.Groups.Primary(o.route.Group)
	if !ok {
		return place{}, false
	}
	return place{reader: groups.Reader{
		Target:    office.Target,
		Office:    office,
		IsPrimary: true,
	}}, true
}

// place chooses a database for a statement.
func (n *session) place(o *operation, writes bool, tried map[string]bool) (place, bool) {
	if writes {
		return n.primaryPlace(o)
	}
	return n.readPlace(o, tried)
}

// readPlace chooses a database for a read, the tried ones last.
func (n *session) readPlace(o *operation, tried map[string]bool) (place, bool) {
	if o.route.Kind == coltsfootloft.RoutePrimary {
		return n.primaryPlace(o)
	}
	after, fresh := n.least(o)
	for _, r := range n.server.Groups.Readers(o.route.Group) {
		if tried[r.Target.ID] || !r.IsPrimary && (!fresh || n.server.Groups.Lanes.Lacks(r.Target.ID, after)) {
			continue
		}
		p := place{reader: r}
		if !r.IsPrimary {
			p.after = after
		}
		return p, true
	}
	return place{}, false
}

// least is the position that a replica must have applied for the route's promise;
// ok is false if that is not known.
func (n *session) least(o *operation) (p coltsfootloft.Position, ok bool) {
	g := n.server.Groups
	since := o.arrived - o.route.MaxAge + ageMargin
	p, ok = g.Marks(o.route.Group).Oldest(g.Epoch(o.route.Group), since)
	if !ok {
		return p, false
	}
	if o.route.Kind == coltsfootloft.RouteOwnWrites && n.wroteIn == o.route.Group && n.wrote.Compare(p) > 0 {
		p = n.wrote
	}
	return p, true
}

// awaitPlace waits where no database can be chosen; false means that the operation
// has waited long enough. Those that were tried may be tried again.
func (n *session) awaitPlace(o *operation, tried map[string]bool) bool {
	now := n.server.Clock.Elapsed()
	left := o.patience(now)
	if len(tried) == 0 && !o.offered {
		left = o.within(now, nowhereShare)
	}
	clear(tried)
	return n.pauseWithin(left)
}

// pause waits a little for a change, if the operation may wait at all.
func (n *session) pause(o *operation) {
	n.pauseWithin(o.patience(n.server.Clock.Elapsed()))
}

// pauseWithin waits a little for a change; false means that no time is left.
func (n *session) pauseWithin(left time.Duration) bool {
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, pauseBetween))
	defer timer.Stop()
	select {
	case <-n.server.Mirror.Changed():
	case <-timer.C:
	}
	return true
}

// borrow takes a line to a database, and returns nil if there is none or if the
// right to use the primary was lost while waiting.
func (n *session) borrow(o *operation, p place) *relay.Line {
	s := n.server
	left := o.patience(s.Clock.Elapsed())
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var office *groups.Office
	if p.reader.IsPrimary {
		office = &p.reader.Office
	}
	line, err := s.Relay.Borrow(ctx, p.reader.Target, n.account, o.route.Priority, office)
	if err != nil {
		n.unreached(o, p, err)
		return nil
	}
	if p.reader.IsPrimary && !s.Groups.Holds(o.route.Group, p.reader.Office) {
		line.Release(true)
		return nil
	}
	return line
}

// unreached notes a statement that was not sent.
func (n *session) unreached(o *operation, p place, err error) {
	if errors.Is(err, lanes.ErrDown) && p.reader.IsPrimary {
		n.server.Missing(o.route.Group, p.reader.Target.ID)
		n.pause(o)
	}
}

func wasNotSent(err error) bool {
	return errors.Is(err, lanes.ErrBusy) || errors.Is(err, lanes.ErrDown)
}
