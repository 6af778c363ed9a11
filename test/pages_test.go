package test

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

const operationsPage = "../docs/OPERATIONS.md"

// metricName matches the names of the project's metrics, with the suffix of a
// histogram's series.
var metricName = regexp.MustCompile(`coltsfootloft_[a-z_]+(?:_bucket|_sum|_count)?`)

var histogramPart = regexp.MustCompile(`_(bucket|sum|count)$`)

// metricNames returns the sorted names of the metrics in a text, without duplicates.
func metricNames(text []byte) []string {
	var names []string
	for _, n := range metricName.FindAll(text, -1) {
		names = append(names, histogramPart.ReplaceAllString(string(n), ""))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// exportedMetrics returns the names of the metrics that a host exports.
func (f *fleet) exportedMetrics(e *entry) []string {
	f.t.Helper()
	a, err := http.Get("http://" + e.admin + "/metrics")
	assert.NilError(f.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	assert.NilError(f.t, err)
	return metricNames(text)
}

// TestMetricsPage compares the metrics of a running host with those in
// docs/OPERATIONS.md.
func TestMetricsPage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 1,
		hosts:   2,
		groups:  1,
	})
	c := f.connect(f.hosts[0])
	mustExec(t, c, "CREATE TABLE notices (id int4)")
	mustExec(t, c, "SELECT 1")
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	documented := metricNames(page)
	exported := f.exportedMetrics(f.hosts[0])
	f.await("messages between hosts", func() bool {
		exported = f.exportedMetrics(f.hosts[0])
		return slices.Contains(exported, "coltsfootloft_peer_sent_bytes_total")
	})
	for _, n := range exported {
		assert.Assert(t, slices.Contains(documented, n), n)
	}
	// These metrics are exported from their first event on. coltsfootloft_requests is
	// the name of a table and not a metric.
	onFirstEvent := []string{"coltsfootloft_election_seconds", "coltsfootloft_elections_total", "coltsfootloft_refusals_total", "coltsfootloft_requests"}
	for _, n := range documented {
		assert.Assert(t, slices.Contains(exported, n) || slices.Contains(onFirstEvent, n), n)
	}
}

// TestCodesPages checks that docs/CALLERS.md and docs/OPERATIONS.md document every
// SQLSTATE that the program itself returns.
func TestCodesPages(t *testing.T) {
	constant := regexp.MustCompile(`\bCode[A-Z][A-Za-z]+ = "([0-9A-Z]{5})"`)
	literal := regexp.MustCompile(`Refuse\((?:[a-zA-Z]+, )?"([0-9A-Z]{5})"`)
	var codes []string
	names := []string{"../outcome.go"}
	for _, dir := range []string{"caller", "front", "share", "pool", "watch"} {
		found, err := filepath.Glob("../io/" + dir + "/*.go")
		assert.NilError(t, err)
		names = append(names, found...)
	}
	for _, name := range names {
		source, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, r := range []*regexp.Regexp{constant, literal} {
			for _, m := range r.FindAllSubmatch(source, -1) {
				codes = append(codes, string(m[1]))
			}
		}
	}
	assert.Assert(t, len(codes) > 15, codes)
	for _, page := range []string{callersPage, operationsPage} {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, c := range append(codes, "28000", "23505", "42P01") {
			assert.Assert(t, regexp.MustCompile("`"+c+"`").Match(text), "%s in %s", c, page)
		}
	}
}
