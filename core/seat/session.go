package seat

import "time"

// Session returns the id of the platform session that owns this host's locks, or
// "" if there is none.
func (t *Table) Session() string { return t.session }

// SessionOpened records a new session, opened by a request sent at this time.
func (t *Table) SessionOpened(session string, sent time.Time) {
	t.session = session
	t.lease.renew(sent)
	t.recordCoverage()
}

// SessionRenewed records that the session was renewed by a request sent at this time. It
// ignores sessions other than the current one.
func (t *Table) SessionRenewed(session string, sent time.Time) {
	if session != t.session {
		return
	}
	t.lease.renew(sent)
	t.recordCoverage()
}

// recordCoverage records that the session covers all seats held, if none is
// unlocked.
func (t *Table) recordCoverage() {
	for _, s := range t.seats {
		if s.state == unlocked {
			return
		}
	}
	t.lease.coveredUntil = later(t.lease.coveredUntil, t.lease.sessionUntil)
}

// SessionEnded records that the platform has ended the session. Seats stay held only
// while peers confirm them, and can be locked again if no other host has taken
// them.
func (t *Table) SessionEnded(session string) {
	if session != t.session {
		return
	}
	t.session = ""
	t.lease.endSession()
	for _, s := range t.seats {
		switch s.state {
		case locked:
			s.state = unlocked
		case draining, releasing:
			s.state = notHeld
		case notHeld, unlocked:
		}
	}
}

// PeersConfirmed extends the use of the seats held: no peer that answered a request sent
// at this time can reach the store or knows of a later acquisition.
func (t *Table) PeersConfirmed(asked time.Time) { t.lease.confirm(asked) }

// NeedsConfirm reports whether peers should be asked to confirm the seats held,
// because a seat has lost its lock or the lease is about to end.
func (t *Table) NeedsConfirm(now time.Time) bool {
	if len(t.HeldVersions()) == 0 {
		return false
	}
	for _, s := range t.seats {
		if s.state == unlocked {
			return true
		}
	}
	return t.lease.sessionUntil.Sub(now) < ConfirmAhead
}
