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

// count adds an election to its metrics.
func (k *keeper) count(need elect.NeedKind, done bool, seconds float64) {
	result := "failed"
	if done {
		result = "done"
	}
	labels := fmt.Sprintf(`{group=%q,need=%q,result=%q}`, k.group.Name(), need, result)
	metrics.GetOrCreateCounter("coltsfootloft_elections_total" + labels).Inc()
	metrics.GetOrCreateHistogram("coltsfootloft_election_seconds" + labels).Update(seconds)
}

// positions writes positions by database, for the log.
func positions(m map[string]coltsfootloft.Position) string {
	parts := make([]string, 0, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, n+"="+position(m[n]))
	}
	return strings.Join(parts, " ")
}

func position(p coltsfootloft.Position) string {
	return fmt.Sprintf("%s:%d", p.Term(), p.Offset())
}
