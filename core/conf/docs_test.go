package conf

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEveryFieldIsDocumented checks that the operators' page lists every field, in the
// section of its path, and every process setting.
func TestEveryFieldIsDocumented(t *testing.T) {
	b, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	page := string(b)
	for path, k := range map[string]kind{
		"fleet/defaults":                  kindDefaults,
		"fleet/domains/<domain>":          kindDomain,
		"fleet/groups/<group>":            kindGroup,
		"fleet/teams/<team>":              kindTeam,
		"teams/<team>/accounts/<account>": kindAccount,
		"teams/<team>/keys/<key>":         kindKey,
		"teams/<team>/routes/<route>":     kindRoute,
	} {
		d := &document{
			path:   path,
			source: []byte("{}"),
		}
		o := d.root()
		parsers[k](parsePath(path), o)
		_, section, found := strings.Cut(page, "\n### `"+path+"`\n")
		assert.Assert(t, found, path)
		section, _, _ = strings.Cut(section, "\n### ")
		for _, f := range o.knownFields {
			assert.Assert(t, strings.Contains(section, "\n| `"+f+"` | "), "%s %s", path, f)
		}
		assert.Equal(t, strings.Count(section, "\n| `"), len(o.knownFields), path)
	}
	_, section, _ := strings.Cut(page, "\n## Process settings\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, s := range hostSettings {
		assert.Assert(t, strings.Contains(section, "`"+s.name+"`"), s.name)
		if s.defaultValue != "" {
			assert.Assert(t, strings.Contains(section, "| `"+s.defaultValue+"` |"), "%s %s", s.name, s.defaultValue)
		}
	}
}
