package elect

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft"
	"coltsfootloft/core/elect"
)

// countElection adds an election to the metrics.
func (m *monitor) countElection(need elect.NeedKind, done bool, seconds float64) {
	result := "failed"
	if done {
		result = "done"
	}
	labels := fmt.Sprintf(`{group=%q,need=%q,result=%q}`, m.group.Name(), need, result)
	metrics.GetOrCreateCounter("coltsfootloft_elections_total" + labels).Inc()
	metrics.GetOrCreateHistogram("coltsfootloft_election_seconds" + labels).Update(seconds)
}

// formatPositions formats positions by database for the log.
func formatPositions(m map[string]coltsfootloft.Position) string {
	parts := make([]string, 0, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, n+"="+formatPosition(m[n]))
	}
	return strings.Join(parts, " ")
}

func formatPosition(p coltsfootloft.Position) string {
	return fmt.Sprintf("%s:%d", p.Term(), p.Offset())
}
