package leader

import (
	"maps"
	"slices"

	"coltsfootloft"
)

// Action is the kind of a [Step].
type Action int

// The actions of a change whose closing record all hosts have confirmed.
const (
	// Wait is to read the statuses again later.
	Wait Action = iota
	// Order is to have the platform promote the database of the step.
	Order
	// Open is to open the record for the database of the step, which leads.
	Open
)

// Step is what to do next in a change.
type Step struct {
	// Action says what to do with the database.
	Action Action
	// Database is the status of the database to order or to open the record for.
	Database Status
}

// pending returns the databases whose promotion may still take effect. A record of an earlier version of
// the program names its candidate only.
func (r Record) pending() []string {
	if len(r.Pending) == 0 && r.Candidate != "" {
		return []string{r.Candidate}
	}
	return r.Pending
}

// calls returns the number of promotions that may still take effect.
func (r Record) calls() uint64 { return max(r.Calls, uint64(len(r.pending()))) }

// Ordered returns the record to write before the call that makes a database the primary. demoted is set if the primary
// is known to be demoted now, which counts only before the first such call.
func (r Record) Ordered(id string, demoted bool) Record {
	if demoted && len(r.pending()) == 0 {
		r.Demoted = r.Primary
	}
	r.Calls = r.calls() + 1
	others := slices.DeleteFunc(slices.Clone(r.pending()), func(p string) bool { return p == id })
	r.Pending = slices.Concat(others, []string{id})
	r.Candidate = id
	return r
}

// Closed returns the record that begins a change of the primary. If settled is set, no promotion that was
// ordered before the record was opened can still take effect.
func (r Record) Closed(settled bool) Record {
	r.Closing = true
	r.Candidate = ""
	if settled {
		r.Pending = nil
		r.Calls = 0
	}
	return r
}

// Opened returns the record that ends a change once a database leads. If it was ordered several times, one of
// its promotions may still take effect, which matters once another database is to lead.
func (r Record) Opened(primary Status) Record {
	next := Record{
		Epoch:   r.Epoch + 1,
		Primary: primary.ID,
		Term:    primary.Health.Term,
		Start:   primary.Health.Received.Offset(),
		Members: maps.Clone(r.Members),
	}
	if r.Demoted == r.Primary && primary.ID != r.Primary {
		next.Demoted = r.Primary
	}
	if left := r.calls(); left > 1 {
		next.Pending = []string{primary.ID}
		next.Calls = left - 1
	}
	return next
}

// Leader returns the database that leads in a later term than the one of the record.
func (r Record) Leader(all []Status) (Status, bool) {
	primary, ok := FindPrimary(all)
	return primary, ok && primary.ID != r.Primary && primary.Health.Term > r.Term
}

// Next returns the next step of a change whose closing record all hosts have confirmed.
//
// A promotion takes a time that is not known, and the steward that ordered it may have been
// replaced since. So the record is not opened for a database that leads while the promotion of another one
// may still take effect, and a database that may have been ordered is ordered again rather than another one:
// whichever of its promotions takes effect, it leads. Another database is chosen only once the candidate has
// failed: the platform refuses to promote it, or it neither answers nor leads.
//
// isSettled reports whether a promotion of a database that was ordered before the candidate can't take effect any
// more. For sync see [Record.Successor].
func (r Record) Next(all []Status, sync int, failed map[string]bool, isSettled func(id string) bool) Step {
	primary, leads := r.Leader(all)
	if leads && r.mayOpen(primary, isSettled) {
		return Step{
			Action:   Open,
			Database: primary,
		}
	}
	if former := find(all, r.Candidate); r.Candidate != "" && !failed[r.Candidate] && former.mayLead() {
		if leads && primary.ID == r.Candidate {
			return Step{Action: Wait}
		}
		return Step{
			Action:   Order,
			Database: former,
		}
	}
	candidate, ok := r.Successor(without(all, failed), sync)
	if !ok {
		return Step{Action: Wait}
	}
	return Step{
		Action:   Order,
		Database: candidate,
	}
}

// MayKeep returns the old primary if it leads, no promotion has been ordered, and none may, as each replica might
// lack an acknowledged commit.
func (r Record) MayKeep(all []Status, sync int) (Status, bool) {
	old := find(all, r.Primary)
	if _, ok := r.Successor(all, sync); ok || sync == 0 || len(r.pending()) > 0 || !old.Answered {
		return Status{}, false
	}
	return old, old.Health.Role == coltsfootloft.Primary && old.Health.Term >= r.Term
}

// mayOpen reports whether no other database can take the lead from one that leads.
func (r Record) mayOpen(primary Status, isSettled func(id string) bool) bool {
	return !slices.ContainsFunc(r.pending(), func(id string) bool {
		return id != primary.ID && (id == r.Candidate || !isSettled(id))
	})
}

// mayLead reports whether a candidate can still be awaited.
func (s Status) mayLead() bool { return !s.Gone && (s.Answered || !s.Evacuated) }

// find returns the status of a database.
func find(all []Status, id string) Status {
	for _, s := range all {
		if s.ID == id {
			return s
		}
	}
	return Status{ID: id}
}

// without returns the statuses with those of failed databases as not answered.
func without(all []Status, failed map[string]bool) []Status {
	r := slices.Clone(all)
	for i := range r {
		r[i].Answered = r[i].Answered && !failed[r[i].ID]
	}
	return r
}
