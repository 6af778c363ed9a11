package conf

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sections matches the sections of the template for values that not every deployment has.
var sections = regexp.MustCompile(`(?m)\{\{#[\w.]+\}\}(.*)\{\{/[\w.]+\}\}$`)

// renderTemplate returns the platform's template with the values of one host, of a deployment that
// has all optional values or none of them.
func renderTemplate(t *testing.T, optional bool) string {
	t.Helper()
	b, err := os.ReadFile("../../deploy/entry.jsonc")
	assert.NilError(t, err)
	content := ""
	if optional {
		content = "$1"
	}
	template := sections.ReplaceAllString(string(b), content)
	return strings.NewReplacer(
		"{{NodeName}}", "edge-a-1", "{{Zone}}", "a", "{{Listen.Frontend}}", "10.1.0.26:8465", "{{Listen.Ready}}", "10.1.0.26:8460",
		"{{Ip}}", "10.1.0.26", "{{PortRange.0}}", "7560", "{{platform.Address}}", "10.200.1.7:8466",
		"{{CloudApi.Address}}", "10.200.0.2:8466", "{{Limits.MemoryMb}}", "206", "{{Bounds.RevokeMs}}", "5000", "{{Limits.CpuShare}}", "0.272", "{{Limits.Cores}}", "2",
		"{{Bounds.DrainMs}}", "7000", "{{Bounds.GraceS}}", "6",
		"{{Bounds.EvacuateMs}}", "5000", "{{Bounds.ColdOverage}}", "1.5", "{{Bounds.ColdSlack}}", "5",
		"{{Zones|json}}", `{"a":"north"}`, "{{Policies|json}}", `["base","quota"]`,
	).Replace(template)
}

// TestTemplateIsAccepted guards against a template whose result a host refuses, whether or not the
// deployment has the optional values.
func TestTemplateIsAccepted(t *testing.T) {
	e, err := ParseEntry([]byte(renderTemplate(t, false)))
	assert.NilError(t, err)
	assert.Equal(t, e.Evacuate(), time.Duration(0))
	assert.Equal(t, e.ColdOverage+e.ColdSlack, 0.0)
	e, err = ParseEntry([]byte(renderTemplate(t, true)))
	assert.NilError(t, err)
	assert.Equal(t, e.Evacuate(), 5*time.Second)
	assert.Equal(t, e.ColdOverage, 1.5)
	assert.Equal(t, e.ColdSlack, 5.0)
	assert.DeepEqual(t, e.Regions, map[string]string{"a": "north"})
	assert.DeepEqual(t, e.Policies, []string{"base", "quota"})
	assert.Equal(t, e.Peer, "10.1.0.26:7560")
	assert.Equal(t, e.Withdrawal(), 5*time.Second)
	assert.Equal(t, e.Drain(), 7*time.Second)
	assert.Equal(t, e.Grace(), 6*time.Second)
	assert.Equal(t, e.Size(), 0.544)
}

func TestBadEntriesAreRefused(t *testing.T) {
	good := renderTemplate(t, true)
	for from, to := range map[string]string{
		`"name": "edge-a-1"`:           `"name": ""`,
		`"domain": "a"`:                `"domain": ""`,
		`"10.1.0.26:8465"`:             `"somewhere:8465"`,
		`"store": "10.200.1.7:8466"`:   `"store": ""`,
		`"memory_mb": 206`:             `"memory_mb": 8`,
		`"withdrawal_ms": 5000`:        `"withdrawal_ms": 5`,
		`"drain_ms": 7000`:             `"drain_ms": "long"`,
		`"cores": 0.272`:               `"cores": -1`,
		`"grace_s": 6`:                 `"grace_s": 6, "colour": "blue"`,
		`"control": "10.200.0.2:8466"`: `"control": 7`,
		`"evacuate_ms": 5000`:          `"evacuate_ms": 50`,
		`"cold_slack": 5`:              `"cold_slack": -5`,
		`{"a":"north"}`:                `["north"]`,
		`// Process`:                   `{ Process`,
	} {
		assert.Assert(t, strings.Contains(good, from), from)
		_, err := ParseEntry([]byte(strings.Replace(good, from, to, 1)))
		assert.Assert(t, err != nil, to)
	}
	_, err := LoadEntry("/nowhere/entry.jsonc")
	assert.ErrorContains(t, err, "/nowhere/entry.jsonc")
}
