package conf_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

// FuzzParse adds one arbitrary value to valid ones. Every problem must have a place
// inside the value, and the settings in effect must be valid together.
func FuzzParse(f *testing.F) {
	for p, v := range validSettings() {
		f.Add(p, v)
	}
	for _, c := range badValues {
		f.Add(c.path, []byte(c.value))
	}
	previous, _ := conf.Parse(validSettings())
	f.Fuzz(func(t *testing.T, path string, value []byte) {
		entries := validSettings()
		entries[path] = value
		fleet, problems := conf.Merge(previous, entries)
		for _, p := range problems {
			checkPlace(t, p, entries[p.Path()])
		}
		if len(problems) == 0 && path != conf.HeadPath {
			assert.Assert(t, bytes.Equal(fleet.Entries()[path], value))
		}
		again, left := conf.Parse(fleet.Entries())
		assert.Equal(t, left.String(), "")
		assert.DeepEqual(t, summary(again), summary(fleet))
	})
}

func checkPlace(t *testing.T, p conf.Problem, value []byte) {
	t.Helper()
	assert.Assert(t, p.Found() != "" && p.Accepted() != "")
	if p.Line() == 0 {
		return
	}
	lines := bytes.Split(value, []byte("\n"))
	assert.Assert(t, p.Line() <= len(lines), "%s", p)
	assert.Assert(t, p.Column() >= 1 && p.Column() <= 1+len(lines[p.Line()-1]), "%s", p)
}
