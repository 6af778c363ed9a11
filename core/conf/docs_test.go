package conf

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Every field and process setting stands in the operators' page, in the section
// of its path.
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
		readers[k](locate(path), o)
		_, section, found := strings.Cut(page, "\n### `"+path+"`\n")
		assert.Assert(t, found, path)
		section, _, _ = strings.Cut(section, "\n### ")
		for _, f := range o.known {
			assert.Assert(t, strings.Contains(section, "\n| `"+f+"` | "), "%s %s", path, f)
		}
		assert.Equal(t, strings.Count(section, "\n| `"), len(o.known), path)
	}
	_, section, _ := strings.Cut(page, "\n## Process settings\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, s := range hostSettings {
		assert.Assert(t, strings.Contains(section, "`"+s.name+"`"), s.name)
		if s.missing != "" {
			assert.Assert(t, strings.Contains(section, "| `"+s.missing+"` |"), "%s %s", s.name, s.missing)
		}
	}
}
