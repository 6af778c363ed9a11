package conf_test

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft/core/conf"
	_ "coltsfootloft/stand/seed"
)

func TestMergeKeepsTheLastGoodValue(t *testing.T) {
	first, _ := conf.Parse(validSettings())
	bad := withValues(validSettings(), map[string]string{
		"teams/vans/accounts/drivers": `{"rate": "plenty"}`,
		"teams/vans/accounts/office":  `{"rate": "2/s"}`,
	})
	second, problems := conf.Merge(first, bad)
	assert.Equal(t, len(problems), 1)
	a, _ := second.Account("vans/drivers")
	assert.Equal(t, a.Rate(), 200.0)
	a, _ = second.Account("vans/office")
	assert.Equal(t, a.Rate(), 2.0)
	third, problems := conf.Merge(second, bad)
	assert.Equal(t, len(problems), 1)
	assert.DeepEqual(t, summary(third), summary(second))
}

func TestMergeKeepsNothingThatWasRemoved(t *testing.T) {
	first, _ := conf.Parse(validSettings())
	second, problems := conf.Merge(first, withValues(validSettings(), map[string]string{"teams/vans/keys/tablet": ""}))
	assert.Equal(t, len(problems), 0)
	_, ok := second.Key("vans.tablet")
	assert.Assert(t, !ok)
	third, problems := conf.Merge(first, withValues(validSettings(), map[string]string{"teams/vans/accounts/drivers": ""}))
	assert.Equal(t, problems.String(),
		`teams/vans/keys/tablet:1:13: found account "drivers" that is not set; accepted: a name under teams/vans/accounts`+"\n"+
			`teams/vans/routes/stops:1:70: found account "drivers" that is not set; accepted: a name under teams/vans/accounts`)
	_, ok = third.Key("vans.tablet")
	assert.Assert(t, !ok)
}

func TestMergeDropsAnEarlierValueThatNoLongerFits(t *testing.T) {
	first, _ := conf.Parse(validSettings())
	f, problems := conf.Merge(first, withValues(validSettings(), map[string]string{
		"fleet/teams/vans":        `{"groups": ["stock"]}`,
		"teams/vans/routes/stops": `{"group": 1}`,
	}))
	assert.Equal(t, len(problems), 3)
	assert.Equal(t, len(f.Routes()), 0)
}

// TestMergedSettingsAreValidTogether applies random changes to random paths. The
// settings that Merge puts into effect must be valid together: parsed again without a
// previous snapshot, they have no problems and the same meaning. They contain nothing
// that was removed, and a problem names each value that was kept from before.
func TestMergedSettingsAreValidTogether(t *testing.T) {
	values := map[string][]string{
		"fleet/domains/a":             {`{"region": "valley", "seats": 2}`, `{"region": "valley"}`},
		"fleet/groups/stock":          {`{"databases": {"s1": {"address": "10.0.0.2:5432", "domain": "a"}}, "connections": 5}`, `{`},
		"fleet/groups/orders":         {`{"databases": {"s1": {"address": "10.0.0.7:5432", "domain": "b"}}, "connections": 9}`},
		"fleet/teams/vans":            {`{"groups": ["stock"]}`, `{"groups": ["orders", "stock"]}`, `{"groups": 3}`},
		"teams/vans/accounts/drivers": {`{"rate": "5/s"}`, `{"rate": 5}`},
		"teams/vans/routes/orders":    {`{"group": "stock"}`, `{"group": "orders", "open": true, "account": "office"}`},
		"teams/vans/keys/tablet":      {`{"account": "office", "verifier": "` + verifier + `"}`, `{"account": "office"}`},
	}
	paths := slices.Sorted(maps.Keys(values))
	rapid.Check(t, func(t *rapid.T) {
		var f *conf.Fleet
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			entries := validSettings()
			for _, p := range rapid.SliceOfDistinct(rapid.SampledFrom(paths), rapid.ID).Draw(t, "paths") {
				v := rapid.SampledFrom(append(values[p], "")).Draw(t, "value")
				entries = withValues(entries, map[string]string{p: v})
			}
			g, problems := conf.Merge(f, entries)
			inEffect := g.Entries()
			parsed, left := conf.Parse(inEffect)
			assert.Equal(t, left.String(), "")
			assert.DeepEqual(t, summary(parsed), summary(g))
			for p, v := range inEffect {
				_, set := entries[p]
				assert.Assert(t, set, "removed %s", p)
				if string(v) != string(entries[p]) {
					assert.Assert(t, slices.ContainsFunc(problems, func(q conf.Problem) bool { return q.Path() == p }), p)
				}
			}
			f = g
		}
	})
}
