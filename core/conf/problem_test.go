package conf_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

const (
	wantName = "a name of 1 to 63 lower-case letters, digits, - and _, the first a letter or digit"
	wantRate = `a rate with its unit from "0.01/s" to "10000000/s", such as "200/s" or "90/min"`
)

// badValues are cases that add one bad value to valid ones, with all the problems that
// must be reported.
var badValues = []struct {
	name  string
	path  string
	value string
	want  []string
	// follows are the problems of settings that refer to the bad one, when there is no
	// previous value to keep.
	follows []string
}{
	{
		name:  "unknown field",
		path:  "teams/vans/accounts/spare",
		value: "{\n\t// per minute\n\t\"rate\": \"90/min\", \"brust\": 3\n}",
		want:  []string{`teams/vans/accounts/spare:3:20: found unknown field "brust"; accepted: the fields rate, burst, weight`},
	},
	{
		name:  "rate without unit",
		path:  "teams/vans/accounts/spare",
		value: `{"rate": 90}`,
		want:  []string{`teams/vans/accounts/spare:1:10: found 90 as "rate"; accepted: ` + wantRate},
	},
	{
		name:  "wrong unit of a rate",
		path:  "teams/vans/accounts/spare",
		value: `{"rate": "90/day"}`,
		want:  []string{`teams/vans/accounts/spare:1:10: found "90/day" as "rate"; accepted: ` + wantRate},
	},
	{
		name:  "rate out of range",
		path:  "teams/vans/accounts/spare",
		value: `{"rate": "0/s"}`,
		want:  []string{`teams/vans/accounts/spare:1:10: found "0/s" as "rate"; accepted: ` + wantRate},
	},
	{
		name:  "column counts characters",
		path:  "teams/vans/accounts/spare",
		value: `{/* ñandú */ "rate": "1/s", "burst": 0}`,
		want:  []string{`teams/vans/accounts/spare:1:38: found 0 as "burst"; accepted: a whole number from 1 to 10000000`},
	},
	{
		name:  "field twice",
		path:  "teams/vans/accounts/spare",
		value: `{"rate": "1/s", "rate": "2/s"}`,
		want:  []string{`teams/vans/accounts/spare:1:17: found a second "rate"; accepted: each field once`},
	},
	{
		name:  "duration with a wrong unit",
		path:  "fleet/defaults",
		value: "{\n  \"read_wait\": \"2 seconds\",\n}",
		want: []string{`fleet/defaults:2:16: found "2 seconds" as "read_wait"; ` +
			`accepted: a time with its unit from "0s" to "1m0s", such as "1.5s"`},
	},
	{
		name:  "size, share, table and count",
		path:  "fleet/defaults",
		value: `{"held_bytes": "1MB", "retry_budget": 1.5, "request_table": "a;b", "queue_length": 1.5}`,
		want: []string{
			`fleet/defaults:1:84: found 1.5 as "queue_length"; accepted: a whole number from 1 to 1000000`,
			`fleet/defaults:1:39: found 1.5 as "retry_budget"; accepted: a number from 0 to 1`,
			`fleet/defaults:1:16: found "1MB" as "held_bytes"; accepted: a size with its unit from "4KiB" to "64MiB", such as "64MiB"`,
			`fleet/defaults:1:61: found "a;b" as "request_table"; accepted: a table name of lower-case letters, digits and _, ` +
				`which may be qualified by one schema`,
		},
	},
	{
		name:  "broken syntax",
		path:  "fleet/defaults",
		value: "{\n  \"read_wait\" \"2s\"\n}",
		want: []string{`fleet/defaults:2:15: found broken syntax (invalid character '"' after object name); ` +
			`accepted: JSON with comments`},
	},
	{
		name:  "no object",
		path:  "fleet/defaults",
		value: `["2s"]`,
		want:  []string{`fleet/defaults:1:1: found an array; accepted: an object`},
	},
	{
		name:  "no setting at the path",
		path:  "teams/vans/rates/x",
		value: `{}`,
		want: []string{`teams/vans/rates/x: found a path that holds no setting; accepted: fleet/defaults, fleet/domains/<domain>, ` +
			`fleet/groups/<group>, fleet/teams/<team>, teams/<team>/accounts/<account>, teams/<team>/keys/<key>, teams/<team>/routes/<route>`},
	},
	{
		name: "databases",
		path: "fleet/groups/stock",
		value: `{
	"databases": {
		"s1": {"address": "db.example:6000", "domain": "a"},
		"S2": {"address": "10.0.0.9:6000", "domain": "a", "port": 1},
	},
	"connections": 5,
	"slots": 0,
}`,
		want: []string{
			`fleet/groups/stock:3:21: found "db.example:6000" as "address"; accepted: an IP number and port, such as "10.0.0.1:5432"`,
			`fleet/groups/stock:4:3: found database "S2"; accepted: ` + wantName,
			`fleet/groups/stock:4:53: found unknown field "port"; accepted: the fields domain, address`,
			`fleet/groups/stock:7:11: found 0 slots for 1 replicas; accepted: a slot of the primary for each other database`,
		},
	},
	{
		name:  "database in no failure domain",
		path:  "fleet/groups/stock",
		value: `{"databases": {"s1": {"address": "10.0.0.9:6000", "domain": "c"}}, "connections": 5}`,
		want:  []string{`fleet/groups/stock:1:61: found failure domain "c" that is not set; accepted: a name under fleet/domains`},
	},
	{
		name:  "database and address of another group",
		path:  "fleet/groups/stock",
		value: `{"databases": {"orders-1": {"address": "10.0.0.1:5432", "domain": "a"}}, "connections": 5}`,
		want: []string{
			`fleet/groups/stock:1:16: found database "orders-1" that group orders has too; accepted: a name unique in the fleet`,
			`fleet/groups/stock:1:16: found address 10.0.0.1:5432 that group orders has too; accepted: an address unique in the fleet`,
		},
	},
	{
		name:  "group not granted to the team",
		path:  "teams/vans/routes/stock",
		value: "{\n  \"group\": \"stock\",\n}",
		want: []string{`teams/vans/routes/stock:2:12: found group "stock" that is not granted to team vans; ` +
			`accepted: a group listed in fleet/teams/vans`},
	},
	{
		name:  "team that is not set",
		path:  "teams/cars/accounts/a",
		value: `{"rate": "1/s"}`,
		want:  []string{`teams/cars/accounts/a:1:1: found team "cars" that is not set; accepted: a name under fleet/teams`},
	},
	{
		name:  "dangling accounts of a route",
		path:  "teams/vans/routes/stops",
		value: `{"group": "orders", "accounts": ["office", "cooks"]}`,
		want:  []string{`teams/vans/routes/stops:1:44: found account "cooks" that is not set; accepted: a name under teams/vans/accounts`},
	},
	{
		name:  "open route without account",
		path:  "teams/vans/routes/noticeboard",
		value: `{"group": "orders", "open": true, "accounts": []}`,
		want: []string{
			`teams/vans/routes/noticeboard:1:1: found an open route with no "account"; accepted: "account": the account that its requests run for`,
			`teams/vans/routes/noticeboard:1:47: found "accounts" on an open route; accepted: "account" alone`,
		},
	},
	{
		name:  "account on a route that is not open",
		path:  "teams/vans/routes/orders",
		value: `{"group": "orders", "account": "office", "accounts": []}`,
		want: []string{
			`teams/vans/routes/orders:1:32: found "account" on a route that is not open; accepted: "open": true beside it, or "accounts"`,
			`teams/vans/routes/orders:1:54: found "accounts" without an account; accepted: at least one account, or no "accounts" for all`,
		},
	},
	{
		name:  "value that others refer to",
		path:  "teams/vans/accounts/office",
		value: `{"rate": 90}`,
		want:  []string{`teams/vans/accounts/office:1:10: found 90 as "rate"; accepted: ` + wantRate},
		follows: []string{`teams/vans/routes/noticeboard:1:46: found account "office" whose value is bad; ` +
			`accepted: a name under teams/vans/accounts`},
	},
	{
		name:  "verifier is not repeated",
		path:  "teams/vans/keys/tablet",
		value: `{"account": "drivers", "verifier": "hunter2"}`,
		want: []string{`teams/vans/keys/tablet:1:36: found something else as "verifier"; ` +
			`accepted: a verifier "SCRAM-SHA-256$iterations:salt$stored:server", as key issue writes it`},
	},
}

func TestProblemsAreExactAndAffectNothingElse(t *testing.T) {
	previous, _ := conf.Parse(validSettings())
	for _, c := range badValues {
		t.Run(c.name, func(t *testing.T) {
			entries := withValues(validSettings(), map[string]string{c.path: c.value})
			f, problems := conf.Parse(entries)
			assert.Equal(t, problems.String(), strings.Join(append(c.want, c.follows...), "\n"))
			assert.ErrorContains(t, problems.Err(), c.want[0])
			without, _ := conf.Parse(withValues(validSettings(), map[string]string{c.path: ""}))
			assert.DeepEqual(t, summary(f), summary(without))
			merged, again := conf.Merge(previous, entries)
			assert.Equal(t, again.String(), strings.Join(c.want, "\n"))
			assert.DeepEqual(t, summary(merged), summary(previous))
		})
	}
}
