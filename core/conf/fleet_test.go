package conf_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

const verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$" +
	"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

// validSettings is a small set of settings without problems.
func validSettings() map[string][]byte {
	return withValues(nil, map[string]string{
		"fleet/defaults":  `{"queue_wait": "750ms"} // the rest as it comes`,
		"fleet/domains/a": `{"region": "valley", "seats": 4}`,
		"fleet/domains/b": `{"region": "valley", "seats": 4}`,
		"fleet/groups/orders": `{
	"databases": {
		"orders-2": {"address": "10.0.0.2:5432", "domain": "b"},
		"orders-1": {"address": "10.0.0.1:5432", "domain": "a"},
	},
	"connections": 35,
	"slots": 2,
	"ack_timeout": "1.5s",
}`,
		"fleet/groups/stock":            `{"databases": {"s1": {"address": "[::1]:6000", "domain": "a"}}, "connections": 5, "upstream_database": "Stock"}`,
		"fleet/teams/vans":              `{"groups": ["orders"]}`,
		"teams/vans/accounts/drivers":   `{"rate": "200/s", "burst": 50, "weight": 3}`,
		"teams/vans/accounts/office":    `{"rate": "90/min"}`,
		"teams/vans/accounts/spare":     `{"rate": "3600/h"}`,
		"teams/vans/keys/tablet":        `{"account": "drivers", "verifier": "` + verifier + `"}`,
		"teams/vans/routes/orders":      `{"group": "orders"}`,
		"teams/vans/routes/stops":       `{"group": "orders", "max_age": "2s", "read_only": true, "accounts": ["drivers"]}`,
		"teams/vans/routes/noticeboard": `{"group": "orders", "open": true, "account": "office", "read_only": true}`,
	})
}

// withValues returns base with values replaced; an empty value removes its path.
func withValues(base map[string][]byte, values map[string]string) map[string][]byte {
	r := maps.Clone(base)
	if r == nil {
		r = make(map[string][]byte)
	}
	for p, v := range values {
		r[p] = []byte(v)
		if v == "" {
			delete(r, p)
		}
	}
	return r
}

func ExampleParse() {
	f, problems := conf.Parse(map[string][]byte{
		"fleet/domains/a":  []byte(`{"region": "valley", "seats": 4}`),
		"fleet/domains/b":  []byte("{\n  \"region\": \"valley\",\n  \"seat\": 4 // no such field\n}"),
		"fleet/teams/vans": []byte(`{"groups": ["orders"]}`),
	})
	fmt.Println(len(f.Domains()), "failure domain in force")
	fmt.Println(problems)
	// Output:
	// 1 failure domain in force
	// fleet/domains/b:1:1: found no "seats"; accepted: "seats": a whole number from 1 to 1024
	// fleet/domains/b:3:3: found unknown field "seat"; accepted: the fields region, seats
	// fleet/teams/vans:1:13: found group "orders" that is not set; accepted: a name under fleet/groups
}

func TestFleet(t *testing.T) {
	f, problems := conf.Parse(validSettings())
	assert.Equal(t, problems.String(), "")
	f = f.At(7)
	assert.Equal(t, f.Revision(), uint64(7))
	assert.Equal(t, f.Defaults().QueueWait(), 750*time.Millisecond)
	assert.Equal(t, f.Defaults().RetryBudget(), conf.DefaultRetryBudget)
	assert.Equal(t, len(f.Domains()), 2)
	d, _ := f.Domain("b")
	assert.Equal(t, d.Seats(), 4)
	g, _ := f.Group("orders")
	assert.Equal(t, g.Group().Upstreams()[0].Name(), "orders-2")
	assert.Equal(t, g.Group().Connections(), 35)
	assert.Equal(t, g.AckTimeout(), 1500*time.Millisecond)
	assert.Equal(t, g.ConnectTimeout(), conf.DefaultConnectTimeout)
	assert.Equal(t, g.UpstreamDatabase(), "orders")
	s, _ := f.Group("stock")
	assert.Equal(t, s.UpstreamDatabase(), "Stock")
	assert.Equal(t, s.Slots(), 0)
	assert.Equal(t, len(f.Groups()), 2)
}

func TestTeamSettings(t *testing.T) {
	f, _ := conf.Parse(validSettings())
	accounts := f.Accounts()
	assert.Equal(t, len(accounts), 3)
	assert.Equal(t, accounts[1].Name(), "vans/office")
	assert.Equal(t, accounts[1].Rate(), 1.5)
	assert.Equal(t, accounts[1].Burst(), 1.0)
	assert.Equal(t, f.Weight("vans/drivers"), 3)
	k, ok := f.Key("vans.tablet")
	assert.Assert(t, ok)
	assert.Equal(t, k.Account(), "vans/drivers")
	assert.Equal(t, k.Verifier().String(), verifier)
	r, ok := f.Resolve("vans.tablet", "stops")
	assert.Assert(t, ok)
	assert.Equal(t, r.MaxAge(), 2*time.Second)
	assert.Assert(t, r.ReadOnly() && !r.Open() && r.Allows(k))
	open, ok := f.Resolve("anyone", "vans.noticeboard")
	assert.Assert(t, ok && open.Open())
	assert.Equal(t, open.Account(), "vans/office")
	_, ok = f.Resolve("anyone", "noticeboard")
	assert.Assert(t, !ok)
	_, ok = f.Route("vans", "stock")
	assert.Assert(t, !ok)
}

func TestRouteAllowsOnlyItsTeamAndAccounts(t *testing.T) {
	f, problems := conf.Parse(withValues(validSettings(), map[string]string{
		"fleet/teams/other":           `{"groups": ["orders"]}`,
		"teams/other/accounts/small":  `{"rate": "1/s"}`,
		"teams/other/keys/k":          `{"account": "small", "verifier": "` + verifier + `"}`,
		"teams/vans/keys/desk":        `{"account": "office", "verifier": "` + verifier + `"}`,
		"teams/other/accounts/office": `{"rate": "1/s"}`,
	}))
	assert.Equal(t, problems.String(), "")
	stops, _ := f.Route("vans", "stops")
	all, _ := f.Route("vans", "orders")
	desk, _ := f.Key("vans.desk")
	foreign, _ := f.Key("other.k")
	assert.Assert(t, !stops.Allows(desk))
	assert.Assert(t, all.Allows(desk))
	assert.Assert(t, !all.Allows(foreign))
}
