// Package cold divides the limit of a cold database into client accounts of the mechanism that
// limits rates over all hosts (package grant).
//
// A cold database has two internal accounts: one for statements, and a small one for the status
// requests of the hosts, so that statements can't use up what a change of primary needs. Operations
// of these accounts are only lent, never granted as rates: a rate stays valid for seconds, and a new
// allocator can't know exactly which rates its predecessor granted. A lent operation is valid for
// half a second, so that what arrives in a second was lent within one and a half.
package cold

import (
	"strings"

	"coltsfootloft"
)

const (
	// lentWindow is the time in seconds within which the requests of any one second were lent: the
	// second, the lifetime of lent operations (0.5 s), and 0.1 s for the way to the database, as
	// requests are charged right before they are sent.
	lentWindow = 1.6
	// rateShare is the part of the group's rate at which a cold database gets requests. The rest of
	// the limit is the depth of the bucket, which must hold what is lent between two reports of
	// the hosts.
	rateShare = 0.93
	// statusShare is the part of the rate for status requests, and statusBurst their bucket.
	statusShare = 0.05
	statusBurst = 2
	// minBurst is the depth of a bucket of which whole operations can be lent.
	minBurst = 1
)

// Names of internal accounts start with a space, which names of the operators' accounts don't hold.
const (
	statementPrefix = " cold "
	statusPrefix    = " cold status "
)

// Limit is the limit of a cold database.
type Limit struct {
	// Rate is the number of requests a second that the database should get. Overage and Slack bound
	// the requests of any one second: Rate x Overage + Slack.
	Rate, Overage, Slack float64
}

// Bound returns the greatest number of requests in any one second.
func (l Limit) Bound() float64 { return l.Rate*l.Overage + l.Slack }

// Account returns the limit of an internal account of a database.
func (l Limit) Account(name string) coltsfootloft.Account {
	rate := max(min(l.Rate*rateShare, (l.Bound()-statusBurst-minBurst)/lentWindow), 0)
	burst := l.Bound() - rate*lentWindow
	status := 0.0
	if burst >= statusBurst+minBurst {
		status = statusBurst
	}
	if strings.HasPrefix(name, statusPrefix) {
		return coltsfootloft.NewAccount(name, rate*statusShare, status).AsLentOnly()
	}
	return coltsfootloft.NewAccount(name, rate*(1-statusShare), burst-status).AsLentOnly()
}

// StatementAccount returns the name of the account for statements to a database.
func StatementAccount(database string) string { return statementPrefix + database }

// StatusAccount returns the name of the account for status requests to a database.
func StatusAccount(database string) string { return statusPrefix + database }

// DatabaseOf returns the database of an internal account; ok is false for other accounts.
func DatabaseOf(account string) (database string, ok bool) {
	if d, ok := strings.CutPrefix(account, statusPrefix); ok {
		return d, true
	}
	return strings.CutPrefix(account, statementPrefix)
}
