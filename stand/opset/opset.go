// Package opset holds the operators' settings and the databases' entries as the users'
// platform encodes them in its store, and odd values of other writers, for tests.
package opset

import "strings"

// SettingsKey is the store's key of the operators' settings.
const SettingsKey = "op/config"

// EvacuationKey returns the store's key that evacuates a failure domain.
func EvacuationKey(domain string) string { return "op/evacuate/" + domain }

// Folders are the folders of the store. The empty one stands for keys outside of all folders.
var Folders = []string{"servers/", "op/", "status/", "", "coltsfootloft/", "coltsfootloft/host/", "coltsfootloft/group/", "coltsfootloft/duty/", "coltsfootloft/settled/"}

// ForeignKeys returns those of the keys of a store that another writer may overwrite or remove: the
// product's own and the entries of databases. The store accepts only valid settings.
func ForeignKeys(keys []string) []string {
	var chosen []string
	for _, k := range keys {
		if strings.HasPrefix(k, "servers/") || strings.HasPrefix(k, "coltsfootloft/") {
			chosen = append(chosen, k)
		}
	}
	return chosen
}

// OddValues are values that other writers may leave in any folder of the store.
var OddValues = []string{
	"", "null", "{", "[]", `"x"`, "1e300", "\x00\xff", strings.Repeat("[", 5000), `{"domain": 7}`,
	`{"address": "127.0.62.9:1", "domain": "domain-1", "size": 1e300}`, `{"size": -1e300}`, `{"epoch": 1e300}`,
	`{"Service": "notices", "Address": "127.0.61.1:0", "Slots": 4e18}`,
	`{"Service": "notices", "Address": "127.0.61.9:1", "Zone": "domain-1", "ConfigVersion": "v1", "Slots": 1e300, "State": "ready",
		"ColdRemainingMs": 0, "DbRole": "primary", "Seq": 1}`,
}

// Settings are the operators' settings.
type Settings struct {
	ConfigVersion int
	Routes        []Route
	Services      []Service
	Tenants       []Tenant
	Limits        map[string]int
}

// Route is one route. Its host is the name that callers give.
type Route struct {
	Name, Host, RouteType, Service string
	TimeoutMs, TargetLatencyMs     int
	MaxStalenessMs, Priority       int
	Public                         bool
	AllowedRegions                 any `json:",omitempty"`
}

// Service is one database group.
type Service struct {
	Name         string
	MaxConns     int
	SyncReplicas int
	ColdStartS   any `json:",omitempty"`
	ColdPerS     any `json:",omitempty"`
}

// Tenant is one client account.
type Tenant struct {
	Name     string
	ApiKeys  []string //nolint:revive // the platform's name
	RatePerS float64
	Burst    float64

	AllowedRegions any `json:",omitempty"`
}

// Entry returns the entry of a database.
func Entry(group, address, role, domain, state string, seq int) (entry map[string]any) {
	return map[string]any{
		"Service":         group,
		"Address":         address,
		"Zone":            domain,
		"ConfigVersion":   "v1",
		"Slots":           2,
		"State":           state,
		"ColdRemainingMs": 0,
		"DbRole":          role,
		"Seq":             seq,
		"born":            1700000000000,
	}
}
