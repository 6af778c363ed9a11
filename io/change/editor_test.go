package change_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/change"
)

// initialSettings returns settings with two accounts that operators change.
func initialSettings() map[string]string {
	return map[string]string{
		conf.StorePrefix + "fleet/domains/a":       `{"region": "r", "seats": 1}`,
		conf.StorePrefix + "fleet/groups/g":        `{"databases": {"g1": {"address": "10.0.0.1:1", "domain": "a"}}, "connections": 5}`,
		conf.StorePrefix + "fleet/teams/t":         `{"groups": ["g"]}`,
		conf.StorePrefix + "teams/t/accounts/one":  `{"rate": "1/s", "burst": 1}`,
		conf.StorePrefix + "teams/t/accounts/two":  `{"rate": "1/s", "burst": 1}`,
		conf.StorePrefix + "teams/t/routes/orders": `{"group": "g", "accounts": ["one"]}`,
	}
}

func account(burst int) []byte { return fmt.Appendf(nil, `{"rate": "1/s", "burst": %d}`, burst) }

func editor(f *faultyStore, author string) *change.Editor {
	return &change.Editor{
		Store:  f,
		Author: author,
	}
}

func put(path string, value []byte) change.Edit {
	return change.Edit{Put: map[string][]byte{path: value}}
}

const one = "teams/t/accounts/one"

func TestApplyWritesPathsHeadAndRecordAtOnce(t *testing.T) {
	m := newMemory(initialSettings())
	e := editor(&faultyStore{memory: m}, "ann")
	r, err := e.Apply(context.Background(), change.Edit{
		Put:    map[string][]byte{one: account(9), "teams/t/accounts/new": account(1), "teams/t/accounts/two": account(1)},
		Remove: []string{"teams/t/routes/orders", "teams/t/routes/never-was"},
		Note:   "more for one",
	})
	assert.NilError(t, err)
	assert.Equal(t, len(m.states), 3)
	assert.Equal(t, r.Revision(), uint64(2))
	s, err := e.Read(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, s.Change(), r.Record().Change)
	assert.Equal(t, s.Revision(), uint64(2))
	assert.Equal(t, string(s.Values()[one]), string(account(9)))
	history, err := e.History(context.Background(), 5)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
	assert.Equal(t, history[0].Author, "ann")
	assert.Equal(t, history[0].Note, "more for one")
	assert.DeepEqual(t, history[0].Paths, []change.PathChange{
		{
			Path:   "teams/t/accounts/new",
			Action: "added",
		},
		{
			Path:   one,
			Action: "changed",
		},
		{
			Path:   "teams/t/routes/orders",
			Action: "removed",
		},
	})
}

func TestApplyRefusesAndWritesNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		edit change.Edit
		want string
	}{
		{
			name: "bad value beside a good one",
			edit: change.Edit{Put: map[string][]byte{one: account(2), "teams/t/accounts/two": []byte(`{"rate": "1"}`)}},
			want: `teams/t/accounts/two:1:10: found "1" as "rate"`,
		},
		{
			name: "removal that leaves a reference",
			edit: change.Edit{Remove: []string{one}},
			want: `teams/t/routes/orders:1:29: found account "one" that is not set`,
		},
		{
			name: "group that is not granted",
			edit: put("teams/t/routes/x", []byte(`{"group": "h"}`)),
			want: `teams/t/routes/x:1:11: found group "h" that is not set`,
		},
		{
			name: "head",
			edit: put("head", []byte(`{}`)),
			want: "head is kept by the system",
		},
		{
			name: "put and removed",
			edit: change.Edit{
				Put:    map[string][]byte{one: account(2)},
				Remove: []string{one},
			},
			want: one + " is both put and removed",
		},
		{
			name: "too many paths",
			edit: manyPaths(change.MaxPaths + 1),
			want: "63 paths change, nothing written: one transaction of the store takes 62",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMemory(initialSettings())
			_, err := editor(&faultyStore{memory: m}, "ann").Apply(context.Background(), c.edit)
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, len(m.states), 2)
		})
	}
}

func manyPaths(n int) change.Edit {
	e := change.Edit{Put: make(map[string][]byte)}
	for i := range n {
		e.Put[fmt.Sprintf("teams/t/accounts/a%d", i)] = account(1)
	}
	return e
}

func TestApplyTakesAsManyPathsAsFit(t *testing.T) {
	m := newMemory(initialSettings())
	r, err := editor(&faultyStore{memory: m}, "ann").Apply(context.Background(), manyPaths(change.MaxPaths))
	assert.NilError(t, err)
	assert.Equal(t, len(r.Record().Paths), change.MaxPaths)
}

func TestProblemsOfOthersDontStopAChange(t *testing.T) {
	values := initialSettings()
	values[conf.StorePrefix+"teams/t/accounts/two"] = `{"rate": 3}`
	e := editor(&faultyStore{memory: newMemory(values)}, "ann")
	_, err := e.Apply(context.Background(), put(one, account(4)))
	assert.NilError(t, err)
	_, err = e.Apply(context.Background(), put("teams/t/routes/y", []byte(`{"group": "g", "accounts": ["two"]}`)))
	var p *change.ProblemsError
	assert.Assert(t, errors.As(err, &p))
	assert.ErrorContains(t, err, `account "two" whose value is bad`)
}

func TestNothingToChange(t *testing.T) {
	m := newMemory(initialSettings())
	r, err := editor(&faultyStore{memory: m}, "ann").Apply(context.Background(), put(one, account(1)))
	assert.NilError(t, err)
	assert.Assert(t, !r.Changed())
	assert.Equal(t, r.Revision(), uint64(1))
}

func TestOldReadDoesNotHideThatThereIsSomethingToChange(t *testing.T) {
	m := newMemory(initialSettings())
	_, err := editor(&faultyStore{memory: m}, "ann").Apply(context.Background(), put(one, account(2)))
	assert.NilError(t, err)
	for n := range uint64(10) {
		r, err := editor(&faultyStore{
			memory: m,
			rand:   newRand(n),
			old:    0.5,
		}, "bob").Apply(context.Background(), put(one, account(1)))
		var c *change.ConflictError
		if errors.As(err, &c) {
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, string(m.at(0)[conf.StorePrefix+one].Value()), string(account(1)))
		assert.Assert(t, r.Changed() || n > 0)
	}
}

func TestBaseDistinguishesConflictFromUnrelatedChange(t *testing.T) {
	m := newMemory(initialSettings())
	ann, bob := editor(&faultyStore{memory: m}, "ann"), editor(&faultyStore{memory: m}, "bob")
	snapshot, err := bob.Read(context.Background())
	assert.NilError(t, err)
	_, err = ann.Apply(context.Background(), put(one, account(2)))
	assert.NilError(t, err)
	edit := put("teams/t/accounts/two", account(3))
	edit.Base = snapshot.Revision()
	_, err = bob.Apply(context.Background(), edit)
	assert.NilError(t, err)
	edit = put(one, account(3))
	edit.Base = snapshot.Revision()
	_, err = bob.Apply(context.Background(), edit)
	var c *change.ConflictError
	assert.Assert(t, errors.As(err, &c), "%v", err)
	assert.DeepEqual(t, c.Paths(), []string{one})
}

func TestRemovalSinceBaseIsAConflict(t *testing.T) {
	m := newMemory(initialSettings())
	ann, bob := editor(&faultyStore{memory: m}, "ann"), editor(&faultyStore{memory: m}, "bob")
	snapshot, err := bob.Read(context.Background())
	assert.NilError(t, err)
	_, err = ann.Apply(context.Background(), change.Edit{Remove: []string{"teams/t/accounts/two"}})
	assert.NilError(t, err)
	edit := put("teams/t/accounts/two", account(3))
	edit.Base = snapshot.Revision()
	_, err = bob.Apply(context.Background(), edit)
	var c *change.ConflictError
	assert.Assert(t, errors.As(err, &c), "%v", err)
}

func TestUnreachableStoreIsNotAnUnknownOutcome(t *testing.T) {
	f := &faultyStore{memory: newMemory(initialSettings())}
	e := editor(f, "ann")
	f.Store, f.rand, f.down = nil, newRand(1), 1
	_, err := e.Apply(context.Background(), put(one, account(2)))
	assert.Assert(t, errors.Is(err, coltsfootloft.ErrStoreDown))
	var u *change.UnknownError
	assert.Assert(t, !errors.As(err, &u))
}
