package quota

import "github.com/VictoriaMetrics/metrics"

// Who lends operations, as values of a label.
const (
	byKeeper = "keeper"
	byDeputy = "deputy"
)

func (l *Limiter) lentMetric(by string) *metrics.FloatCounter {
	return l.Metrics.GetOrCreateFloatCounter(`coltsfootloft_quota_lent_total{by="` + by + `"}`)
}

func (l *Limiter) refusalMetric(keeper string) *metrics.Counter {
	return l.Metrics.GetOrCreateCounter(`coltsfootloft_quota_refusals_total{keeper="` + keeper + `"}`)
}

func (l *Limiter) expiredMetric() *metrics.Counter {
	return l.Metrics.GetOrCreateCounter("coltsfootloft_quota_expired_total")
}

// createMetrics exposes the metrics before their first event.
func (l *Limiter) createMetrics() {
	if l.Metrics == nil {
		return
	}
	l.lentMetric(byKeeper)
	l.lentMetric(byDeputy)
	l.refusalMetric("answers")
	l.refusalMetric("silent")
	l.expiredMetric()
}

// countExpired counts an operation that waited too long to be sent without being admitted anew.
func (l *Limiter) countExpired() {
	if l.Metrics != nil {
		l.expiredMetric().Inc()
	}
}

func (l *Limiter) countLent(by string, operations float64) {
	if l.Metrics != nil {
		l.lentMetric(by).Add(operations)
	}
}

// countRefusal counts a refusal by whether the keeper answers; mu is held.
func (l *Limiter) countRefusal() {
	if l.Metrics == nil {
		return
	}
	state := "answers"
	if l.keeperSilent {
		state = "silent"
	}
	l.refusalMetric(state).Inc()
}
