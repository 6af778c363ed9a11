package admin

import "time"

// Status is what one host knows of itself and of the fleet.
type Status struct {
	// Host is the name of the host that answers.
	Host string `json:"host"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Version is the version of the program.
	Version string `json:"version"`
	// At is the host's time of the answer.
	At time.Time `json:"at"`
	// Ready tells whether the host takes new callers.
	Ready bool `json:"ready"`
	// Reason says why it does not; empty if it does.
	Reason string `json:"reason,omitempty"`
	// Draining tells whether a graceful shutdown has begun.
	Draining bool `json:"draining"`
	// Sessions is the number of connected callers.
	Sessions int `json:"sessions"`
	// Settings tells what is in force on this host.
	Settings SettingsStatus `json:"settings"`
	// Hosts are the entry hosts that this host knows, itself included, by name.
	Hosts []HostStatus `json:"hosts"`
	// Domains are the failure domains, by name.
	Domains []DomainStatus `json:"domains"`
	// Groups are the database groups, by name.
	Groups []GroupStatus `json:"groups"`
	// Accounts are the client accounts with a part on this host, by name.
	Accounts []AccountStatus `json:"accounts"`
}

// SettingsStatus tells which settings a host runs by.
type SettingsStatus struct {
	// Revision is the store's revision of the settings in force.
	Revision uint64 `json:"revision"`
	// Since is when this revision came into force.
	Since time.Time `json:"since"`
	// StoreReachable tells whether the store's newest answer to this host is a
	// good one and younger than a lease.
	StoreReachable bool `json:"store_reachable"`
	// Problems are the bad values in the store, one line each.
	Problems []string `json:"problems,omitempty"`
}

// HostStatus is what is known of one entry host.
type HostStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is the peer address as IP:port.
	Address string `json:"address"`
	// Alive tells whether the host is held to be live.
	Alive bool `json:"alive"`
	// Leaving tells whether the platform has announced its removal.
	Leaving bool `json:"leaving"`
	// Revision is the newest revision in force that the host has told of; 0 if
	// unknown.
	Revision uint64 `json:"revision"`
	// Seats are the numbers of the seats that it holds.
	Seats []int `json:"seats,omitempty"`
}

// DomainStatus is what is known of one failure domain.
type DomainStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Region is the region it lies in.
	Region string `json:"region"`
	// Seats is the number of seats.
	Seats int `json:"seats"`
	// Taken is the number of seats that are held.
	Taken int `json:"taken"`
	// Hosts is the number of live entry hosts.
	Hosts int `json:"hosts"`
}

// GroupStatus is what is known of one database group.
type GroupStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Term is the term of the primary; empty if none is known.
	Term string `json:"term"`
	// Primary is the name of the primary; empty if none is known.
	Primary string `json:"primary"`
	// Databases are in the order of the settings.
	Databases []DatabaseStatus `json:"databases"`
}

// DatabaseStatus is what is known of one database.
type DatabaseStatus struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Address is IP:port.
	Address string `json:"address"`
	// Known tells whether there is a reading of the database; the fields below
	// are empty without one.
	Known bool `json:"known"`
	// Role is primary or replica.
	Role string `json:"role,omitempty"`
	// Fence is the highest term raised on the database.
	Fence string `json:"fence,omitempty"`
	// Term is the term of the newest record in the log.
	Term string `json:"term,omitempty"`
	// Received is the offset of the newest record in the log.
	Received uint64 `json:"received"`
	// Applied is the offset of the newest record that reads see.
	Applied uint64 `json:"applied"`
	// Lag is the number of records that reads are behind the primary's log.
	Lag uint64 `json:"lag"`
	// Age bounds how old reads are, in milliseconds; -1 if unknown.
	Age int64 `json:"age_ms"`
	// Leaving tells whether the platform has announced its removal.
	Leaving bool `json:"leaving"`
	// Connections is the number of open connections of this host.
	Connections int `json:"connections"`
	// Limit is the number of connections that this host may hold now.
	Limit int `json:"limit"`
}

// AccountStatus is a client account's part on one host.
type AccountStatus struct {
	// Name is team/account.
	Name string `json:"name"`
	// Rate is this host's part of the rate, in statements a second.
	Rate float64 `json:"rate"`
	// Tokens are the statements that may run at once now.
	Tokens float64 `json:"tokens"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
}
