package admin

import "time"

// Status describes one host and its view of the fleet.
type Status struct {
	// Host is the name of the host that answers.
	Host string `json:"host"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Version is the version of the program.
	Version string `json:"version"`
	// At is the time of the answer by the host's clock.
	At time.Time `json:"at"`
	// Ready reports whether the host accepts new callers.
	Ready bool `json:"ready"`
	// Reason is why the host accepts no new callers; empty if it does.
	Reason string `json:"reason,omitempty"`
	// Draining reports whether a graceful shutdown has started.
	Draining bool `json:"draining"`
	// Sessions is the number of connected callers.
	Sessions int `json:"sessions"`
	// Settings describes the settings in force on this host.
	Settings SettingsStatus `json:"settings"`
	// Hosts lists the entry hosts that this host knows, itself included, by name.
	Hosts []HostStatus `json:"hosts"`
	// Domains lists the failure domains, by name.
	Domains []DomainStatus `json:"domains"`
	// Groups lists the database groups, by name.
	Groups []GroupStatus `json:"groups"`
	// Accounts lists the client accounts with a part on this host, by name.
	Accounts []AccountStatus `json:"accounts"`
}

// SettingsStatus describes the settings in force on a host.
type SettingsStatus struct {
	// Revision is the store's revision of the settings in force.
	Revision uint64 `json:"revision"`
	// Since is the time at which this revision came into force on the host.
	Since time.Time `json:"since"`
	// StoreReachable reports whether the store's last answer to this host was
	// successful and is younger than a lease.
	StoreReachable bool `json:"store_reachable"`
	// Problems lists the invalid values in the store, one line each.
	Problems []string `json:"problems,omitempty"`
}

// HostStatus is what the answering host knows of one entry host.
type HostStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is the peer address as IP:port.
	Address string `json:"address"`
	// Alive reports whether the host is considered live.
	Alive bool `json:"alive"`
	// Leaving reports whether the platform has announced its removal.
	Leaving bool `json:"leaving"`
	// Revision is the newest revision in force that the host has reported; 0 if
	// unknown.
	Revision uint64 `json:"revision"`
	// Seats lists the numbers of the seats that the host holds.
	Seats []int `json:"seats,omitempty"`
}

// DomainStatus is what the answering host knows of one failure domain.
type DomainStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Region is the region of the failure domain.
	Region string `json:"region"`
	// Seats is the number of seats.
	Seats int `json:"seats"`
	// Taken is the number of seats that are held.
	Taken int `json:"taken"`
	// Hosts is the number of live entry hosts.
	Hosts int `json:"hosts"`
}

// GroupStatus is what the answering host knows of one database group.
type GroupStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Term is the term of the primary; empty if none is known.
	Term string `json:"term"`
	// Primary is the name of the primary; empty if none is known.
	Primary string `json:"primary"`
	// Databases lists the databases in the order of the settings.
	Databases []DatabaseStatus `json:"databases"`
}

// DatabaseStatus is what the answering host knows of one database.
type DatabaseStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is IP:port.
	Address string `json:"address"`
	// Known reports whether the host has a reading of the database. If not, the
	// fields below are empty.
	Known bool `json:"known"`
	// Role is primary or replica.
	Role string `json:"role,omitempty"`
	// Fence is the highest term to which the database has been fenced.
	Fence string `json:"fence,omitempty"`
	// Term is the term of the newest record in the log.
	Term string `json:"term,omitempty"`
	// Received is the offset of the newest record in the log.
	Received uint64 `json:"received"`
	// Applied is the offset of the newest record that is visible to reads.
	Applied uint64 `json:"applied"`
	// Lag is the number of records by which reads are behind the primary's log.
	Lag uint64 `json:"lag"`
	// Age is an upper bound on the age of the data that reads see, in milliseconds;
	// -1 if unknown.
	Age int64 `json:"age_ms"`
	// Leaving reports whether the platform has announced its removal.
	Leaving bool `json:"leaving"`
	// Connections is the number of open connections of this host.
	Connections int `json:"connections"`
	// Limit is the number of connections that this host may hold now.
	Limit int `json:"limit"`
}

// AccountStatus is the part of one client account on the answering host.
type AccountStatus struct {
	// Name is team/account.
	Name string `json:"name"`
	// Rate is this host's part of the account's rate, in statements per second.
	Rate float64 `json:"rate"`
	// Tokens is the number of statements that may run immediately.
	Tokens float64 `json:"tokens"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
}
