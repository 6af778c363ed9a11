package failov

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/io/failov/stewardpb"
	"coltsfootloft/io/probe"
)

// handle answers the requests of other hosts.
func (c *Controller) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r stewardpb.Request
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "question")
	}
	answer := &stewardpb.Response{}
	switch {
	case r.GetConfirm() != nil:
		if err := c.Mirror.Await(ctx, c.revisionOf(r.GetConfirm())); err != nil {
			return nil, err
		}
		c.confirmClosing()
		answer.Yes = true
	case r.GetReach() != nil:
		id := r.GetReach().GetDatabase()
		answer.Yes = c.reaches(ctx, id)
		if u, ok := c.Mirror.View().Upstreams[id]; ok && c.evacuationState(u) == evac.Closed {
			return nil, probe.ErrClosed // this host has not asked, and does not count
		}
	case r.GetMissing() != nil:
		c.notePrimaryReport(r.GetMissing())
		answer.Yes = true
	}
	b, err := proto.Marshal(answer)
	return b, errors.Wrap(err, "answer")
}

// revisionOf returns the revision of the closing record that a host is to confirm.
func (c *Controller) revisionOf(q *stewardpb.Confirm) uint64 {
	era := q.GetEra()
	if era == 0 {
		era = coltsfootloft.EraOf(c.Mirror.View().Revision)
	}
	return coltsfootloft.RevisionAt(era, q.GetRevision())
}

// reaches reports whether this host reaches a database now. A database that restarted at
// the same address is still the same database, as its announcement names it.
func (c *Controller) reaches(ctx context.Context, id string) bool {
	u, ok := c.Mirror.View().Upstreams[id]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.Prober.CanConnect(ctx, u.Target())
}

// notePrimaryReport notes that a host can't reach the primary of a group. Reports about a
// database that is no longer the primary are ignored.
func (c *Controller) notePrimaryReport(m *stewardpb.Missing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Mirror.View().Groups[m.GetGroup()].Primary != m.GetDatabase() {
		return
	}
	c.stateOf(m.GetGroup()).reported = true
}

// confirmClosing notes that this host is about to confirm all closing records that it has seen.
func (c *Controller) confirmClosing() {
	for name, g := range c.Mirror.View().Groups {
		if g.Closing {
			c.Answers.Confirm(name, g.Epoch)
		}
	}
}
