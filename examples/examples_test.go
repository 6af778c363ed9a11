package examples_test

import (
	"io/fs"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
	"coltsfootloft/examples"
)

// TestExamplesAreCompleteAndOfStatedSize checks the examples for errors, and compares
// them with the sizes that the users state for each deployment.
func TestExamplesAreCompleteAndOfStatedSize(t *testing.T) {
	for _, c := range []struct {
		name        string
		domains     int
		hosts       int
		slots       int
		connections int
	}{
		{
			name:        "caroni",
			domains:     3,
			hosts:       15,
			slots:       2,
			connections: 35,
		},
		{
			name:        "quishpe",
			domains:     4,
			hosts:       16,
			slots:       3,
			connections: 80,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			root, err := fs.Sub(examples.Files, c.name)
			assert.NilError(t, err)
			entries, problems := conf.ReadTree(root)
			assert.Equal(t, problems.String(), "")
			f, problems := conf.Parse(entries)
			assert.Equal(t, problems.String(), "")
			assert.Equal(t, len(f.Domains()), c.domains)
			seats := 0
			for _, d := range f.Domains() {
				seats += d.Seats()
			}
			assert.Equal(t, seats, c.hosts)
			assert.Equal(t, len(f.Groups()), 3)
			for _, g := range f.Groups() {
				own, _ := f.Group(g.Name())
				assert.Equal(t, own.Slots(), c.slots)
				assert.Equal(t, g.Connections(), c.connections)
				checkSpread(t, f, g.Name())
			}
			checkAccounts(t, f)
		})
	}
}

// checkSpread requires that the databases of a group are in three failure domains.
func checkSpread(t *testing.T, f *conf.Fleet, group string) {
	t.Helper()
	g, _ := f.Group(group)
	used := make(map[string]bool)
	for _, u := range g.Group().Upstreams() {
		used[u.Domain()] = true
	}
	assert.Equal(t, len(used), 3)
}

// checkAccounts requires 8 accounts whose rates differ by a factor of 10 or more, each
// with a key or an open route, and that every route is open or admits a key.
func checkAccounts(t *testing.T, f *conf.Fleet) {
	t.Helper()
	used := make(map[string]bool)
	for _, k := range f.Keys() {
		used[k.Account()] = true
	}
	for _, r := range f.Routes() {
		if r.Open() {
			used[r.Account()] = true
			continue
		}
		allowed := false
		for _, k := range f.Keys() {
			allowed = allowed || r.Allows(k)
		}
		assert.Assert(t, allowed, r.Name())
	}
	least, most := 1e9, 0.0
	for _, a := range f.Accounts() {
		assert.Assert(t, used[a.Name()], a.Name())
		least = min(least, a.Rate())
		most = max(most, a.Rate())
	}
	assert.Equal(t, len(f.Accounts()), 8)
	assert.Assert(t, most >= 10*least)
}

// TestProcessSettings checks that the process settings load, and name a failure domain of
// their deployment.
func TestProcessSettings(t *testing.T) {
	for _, name := range []string{"caroni", "quishpe"} {
		l := &conf.Loader{
			Environ:  func() []string { return []string{"COLTSFOOTLOFT_SETTINGS=hosts/" + name + ".jsonc"} },
			ReadFile: examples.Files.ReadFile,
		}
		h, problems := l.Load()
		assert.Equal(t, problems.String(), "")
		root, err := fs.Sub(examples.Files, name)
		assert.NilError(t, err)
		entries, _ := conf.ReadTree(root)
		f, _ := conf.Parse(entries)
		_, ok := f.Domain(h.Domain())
		assert.Assert(t, ok, "%s is in failure domain %s", h.Name(), h.Domain())
	}
}
