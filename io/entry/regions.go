package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/groups"
)

// positionTimeout bounds the wait for the position of a primary. It is a small part of usual target
// latencies, which are 120 ms or more.
const positionTimeout = 50 * time.Millisecond

// outsideRegions is the text of refusals of statements that no database in an allowed region can serve.
const outsideRegions = "no database in the allowed regions can serve it; come back in 1000 ms"

// RegionRefusals is the metric of statements that no database in an allowed region could serve.
const RegionRefusals = "coltsfootloft_region_refusals_total"

// errOutsideRegions is the error of a transaction that no database in an allowed region can serve.
var errOutsideRegions = errors.New(outsideRegions)

// isOutsideRegions reports whether the regions that the operation's route and account allow exclude
// every database that could serve it. It counts the operation if so.
func (n *session) isOutsideRegions(o *operation, writes bool) bool {
	onlyPrimary := writes || o.route.Kind == coltsfootloft.RoutePrimary
	if !n.server.Groups.AllowsNone(o.homes, o.route.Group, onlyPrimary) {
		return false
	}
	n.server.Metrics.GetOrCreateCounter(RegionRefusals).Inc()
	return true
}

// refreshMarks asks the primary for its position if the operation's regions exclude it. Otherwise a
// read that finds no mark of the primary goes to the primary itself. It reports whether there is a
// new mark.
func (n *session) refreshMarks(o *operation) bool {
	s := n.server
	primary, ok := s.Groups.Primary(o.route.Group)
	if !ok || s.Groups.Allows(o.homes, primary.Target.ID) {
		return false
	}
	_, err, _ := s.positions.Do(o.route.Group, func() (any, error) { return nil, s.readMark(o.route.Group, primary) })
	if err != nil {
		s.Log.Info("position of the primary not read", "group", o.route.Group, "database", primary.Target.ID, "reason", err.Error())
	}
	return err == nil
}

// readMark asks a primary for its position and records it as a mark.
func (s *Server) readMark(group string, primary groups.Primary) error {
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	defer cancel()
	sent := s.Clock.Elapsed()
	p, err := s.ReadPosition(ctx, primary.Target)
	if err != nil {
		return err
	}
	if !s.Groups.MayAccept(group, primary) {
		return errors.New("the primary may have been replaced meanwhile")
	}
	s.Groups.Marks(group).Add(primary.Epoch, sent, p)
	return nil
}

// mayStay reports whether an open transaction may go on where it runs, under the settings of now.
func (n *session) mayStay(t *transaction, r coltsfootloft.Route) bool {
	if t.conn == nil {
		return true
	}
	h := n.server.Groups.Homes(r, n.account)
	return n.server.Groups.Allows(h, t.dest.reader.Target.ID) && t.conn.IsAllowed(h)
}
