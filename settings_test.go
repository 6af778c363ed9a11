package coltsfootloft_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func version(era, number, version uint64) *coltsfootloft.Settings {
	return &coltsfootloft.Settings{
		Version:  version,
		Revision: coltsfootloft.RevisionAt(era, number),
	}
}

// TestSettingsAcrossEras guards against settings that go back, or a horizon that advances on
// older ones, when the store was restored from a backup.
func TestSettingsAcrossEras(t *testing.T) {
	held := version(1, 36, 12)
	for _, c := range []struct {
		name               string
		stored             *coltsfootloft.Settings
		supersedes, covers bool
	}{
		{"the same", version(1, 36, 12), false, true},
		{"later in the era", version(1, 37, 15), true, false},
		{"earlier in the era", version(1, 35, 9), false, true},
		{"written again", version(2, 35, 12), true, true},
		{"not written again yet", version(2, 34, 9), false, false},
		{"the next, at the same number", version(2, 36, 15), true, false},
		{"of an earlier era", version(0, 40, 9), false, true},
		{"lost with an earlier era", version(0, 40, 15), true, false},
	} {
		assert.Equal(t, c.stored.Supersedes(held), c.supersedes, c.name)
		assert.Equal(t, held.Covers(c.stored), c.covers, c.name)
	}
}

func TestRevisionsIncreaseFromEraToEra(t *testing.T) {
	r := coltsfootloft.RevisionAt(2, 35)
	assert.Assert(t, r > coltsfootloft.RevisionAt(1, 36))
	assert.Equal(t, coltsfootloft.EraOf(r), uint64(2))
	assert.Equal(t, coltsfootloft.NumberOf(r), uint64(35))
}
