package seat

import "time"

// Session is the platform session that this host's locks belong to; empty when
// there is none.
func (t *Table) Session() string { return t.session }

// SessionOpened starts a session, by a request sent at this time.
func (t *Table) SessionOpened(session string, sent time.Time) {
	t.session = session
	t.lease.renewed(sent)
	t.cover()
}

// SessionRenewed extends the session, by a request sent at this time.
func (t *Table) SessionRenewed(session string, sent time.Time) {
	if session != t.session {
		return
	}
	t.lease.renewed(sent)
	t.cover()
}

// cover records that the lease covers all seats held, if none is unlocked.
func (t *Table) cover() {
	for _, s := range t.seats {
		if s.state == unlocked {
			return
		}
	}
	t.lease.covered = later(t.lease.covered, t.lease.leased)
}

// SessionEnded records that the platform has ended the session. Seats stay held only
// while mates confirm them, and can be locked again if nobody has taken them.
func (t *Table) SessionEnded(session string) {
	if session != t.session {
		return
	}
	t.session = ""
	t.lease.ended()
	for _, s := range t.seats {
		switch s.state {
		case locked:
			s.state = unlocked
		case draining, releasing:
			s.state = others
		case others, unlocked:
		}
	}
}

// PeersConfirmed extends the seats: every mate that answered a question asked at this
// time neither reaches the store nor knows of a later taking.
func (t *Table) PeersConfirmed(asked time.Time) { t.lease.confirm(asked) }

// NeedsConfirm reports whether mates should be asked, because the lease has not
// been renewed for some time.
func (t *Table) NeedsConfirm(now time.Time) bool {
	if len(t.HeldVersions()) == 0 {
		return false
	}
	for _, s := range t.seats {
		if s.state == unlocked {
			return true
		}
	}
	return t.lease.leased.Sub(now) < ConfirmAhead
}
