package share

import (
	"coltsfootloft"
)

// Plan is the part of the settings that the ledger needs.
type Plan struct {
	// Accounts have a rate and burst each.
	Accounts []coltsfootloft.Account
	// Groups name the databases and their connection limits.
	Groups []coltsfootloft.Group
	// Domains are the failure domains that have entry hosts.
	Domains []Domain
}

// Domain is a failure domain. Every domain owns an equal part of each limit.
type Domain struct {
	// Name is the failure domain.
	Name string
	// Seats is the number of seats its part is divided between, at least 1:
	// usually the number of its entry hosts.
	Seats int
}
