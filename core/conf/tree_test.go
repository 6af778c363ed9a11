package conf_test

import (
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

func TestReadTree(t *testing.T) {
	file := func(s string) *fstest.MapFile { return &fstest.MapFile{Data: []byte(s)} }
	entries, problems := conf.ReadTree(fstest.MapFS{
		"fleet/defaults.jsonc":         file("{}"),
		"teams/a/accounts/b.jsonc":     file("1"),
		".git/config":                  file("x"),
		"teams/.swap.jsonc":            file("x"),
		"teams/a/accounts/README.text": file("x"),
	})
	assert.DeepEqual(t, entries, map[string][]byte{
		"fleet/defaults":     []byte("{}"),
		"teams/a/accounts/b": []byte("1"),
	})
	assert.Equal(t, problems.String(),
		"teams/a/accounts/README.text: found a file that is no setting; accepted: files named <path of the setting>.jsonc")
}
