package delta

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

const prefix = "p/"

// state is the store at one index.
type state map[string]coltsfootloft.Entry

func (s state) list() []coltsfootloft.Entry {
	var all []coltsfootloft.Entry
	for _, k := range slices.Sorted(maps.Keys(s)) {
		all = append(all, s[k])
	}
	return all
}

func (s state) values() map[string][]byte {
	m := make(map[string][]byte)
	for k, e := range s {
		m[k] = e.Value()
	}
	return m
}

// next returns the store after a transaction that sets or removes some keys.
func (s state) next(t *rapid.T, index uint64) state {
	n := maps.Clone(s)
	for range rapid.IntRange(1, 3).Draw(t, "keys") {
		k := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
		if rapid.Bool().Draw(t, "remove") && len(n) > 1 {
			delete(n, k)
			continue
		}
		n[k] = coltsfootloft.NewEntry(prefix+k, fmt.Append(nil, index), index, "")
	}
	return n
}

// TestTableEqualsHistory applies listings of any age and deltas of other tables
// of any age, repeatedly and out of order, and compares each table with a naive
// version: the full history of the store, read at the greatest index that reached
// the table.
func TestTableEqualsHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []state{{}}
		tables := make([]*Table, 4)
		newest := make([]uint64, len(tables))
		for i := range tables {
			tables[i] = &Table{}
		}
		pick := rapid.IntRange(0, len(tables)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			to := pick.Draw(t, "to")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				history = append(history, history[len(history)-1].next(t, uint64(len(history))))
			case 1:
				index := rapid.IntRange(0, len(history)-1).Draw(t, "index")
				tables[to].ApplyList(prefix, history[index].list(), uint64(index))
				newest[to] = max(newest[to], uint64(index))
			default:
				from := pick.Draw(t, "from")
				since := tables[to].Revision()
				if rapid.Bool().Draw(t, "other") {
					since = rapid.Uint64Range(0, uint64(len(history))).Draw(t, "since")
				}
				_, gap := tables[to].ApplyDelta(tables[from].Since(since))
				if !gap {
					newest[to] = max(newest[to], newest[from])
				}
			}
			for i, b := range tables {
				assert.Equal(t, b.Revision(), newest[i])
				assert.DeepEqual(t, b.Entries(), history[newest[i]].values())
			}
		}
	})
}

func TestRestoredStoreDoesNotRevertChanges(t *testing.T) {
	b := &Table{}
	e := func(key, value string, version uint64) coltsfootloft.Entry {
		return coltsfootloft.NewEntry(prefix+key, []byte(value), version, "")
	}
	b.ApplyList(prefix, []coltsfootloft.Entry{e("account", "old", 3), e("key", "verifier", 4)}, 4)
	b.ApplyList(prefix, []coltsfootloft.Entry{e("account", "new", 6)}, 6)
	restored := []coltsfootloft.Entry{e("account", "old", 3), e("key", "verifier", 4)}
	advanced, _ := b.ApplyList(prefix, restored, 4)
	assert.Assert(t, !advanced)
	advanced, retained := b.ApplyList(prefix, append(restored, e("other", "x", 9)), 9)
	assert.Assert(t, advanced)
	assert.DeepEqual(t, retained, []string{"account", "key"})
	assert.DeepEqual(t, b.Entries(), map[string][]byte{
		"account": []byte("new"),
		"other":   []byte("x"),
	})
}
