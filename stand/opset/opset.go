// Package opset holds the operators' settings and the databases' entries as the users'
// platform encodes them in its store, for tests.
package opset

// SettingsKey is the store's key of the operators' settings.
const SettingsKey = "op/config"

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
}

// Service is one database group.
type Service struct {
	Name         string
	MaxConns     int
	SyncReplicas int
}

// Tenant is one client account.
type Tenant struct {
	Name     string
	ApiKeys  []string //nolint:revive // the platform's name
	RatePerS float64
	Burst    float64
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
