package caller

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/route"
)

// Metrics of all sessions in the process.
var (
	readsAtReplicas = metrics.NewCounter(`coltsfootloft_reads_total{at="replica"}`)
	readsAtPrimary  = metrics.NewCounter(`coltsfootloft_reads_total{at="primary"}`)
	writes          = metrics.NewCounter("coltsfootloft_writes_total")
	repeats         = metrics.NewCounter("coltsfootloft_repeats_total")
	placeSeconds    = metrics.NewHistogram("coltsfootloft_place_seconds")
	ackSeconds      = metrics.NewHistogram("coltsfootloft_ack_seconds")
	requestSeconds  = metrics.NewHistogram("coltsfootloft_request_seconds")
)

// countPlaced counts a request that was assigned to a database.
func countPlaced(n route.Requirements, v route.Verdict) {
	switch {
	case n.Write:
		writes.Inc()
	case v == route.ToReplica:
		readsAtReplicas.Inc()
	default:
		readsAtPrimary.Inc()
	}
}

// countRefused counts a refusal by its SQLSTATE and outcome.
func countRefused(err error) {
	var r *coltsfootloft.RefusalError
	if !errors.As(err, &r) {
		return
	}
	outcome := "not_run"
	if r.Outcome() == coltsfootloft.Unknown {
		outcome = "unknown"
	}
	metrics.GetOrCreateCounter(`coltsfootloft_refusals_total{code="` + codeLabel(r.Code()) + `",outcome="` + outcome + `"}`).Inc()
}

// codeLabel returns the label for an SQLSTATE. A database may have chosen the code, which may then be of
// another form.
func codeLabel(code string) string {
	const size = 5
	isOdd := func(c rune) bool { return (c < '0' || c > '9') && (c < 'A' || c > 'Z') }
	if len(code) != size || strings.ContainsFunc(code, isOdd) {
		return "other"
	}
	return code
}

func (s *Session) observe(h *metrics.Histogram, since time.Time) {
	h.Update(s.Env.Clock.Since(since).Seconds())
}
