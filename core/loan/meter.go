package loan

import (
	"math"
	"time"
)

const (
	// slowTau and fastTau are the time constants of the two averages.
	slowTau = 2 * time.Second
	fastTau = 200 * time.Millisecond
	// significance is how many standard deviations are subtracted from the fast
	// average, so that a single request does not count as a rate.
	significance = 2
	// foldInterval is how long requests are counted before the averages are updated.
	foldInterval = 10 * time.Millisecond
)

// meter estimates the demand for tokens as the larger of a slow and a fast
// exponential average, so that it follows a rise at once and a fall slowly. Only the
// statistically significant part of the fast average counts.
type meter struct {
	count float64
	at    time.Time
	slow  float64
	fast  float64
}

func (m *meter) add(now time.Time, n float64) {
	m.count += n
	if now.Sub(m.at) >= foldInterval {
		m.fold(now)
	}
}

// rate returns the estimated demand in tokens per second.
func (m *meter) rate(now time.Time) float64 {
	m.fold(now)
	n := m.fast * fastTau.Seconds()
	significant := max(n-significance*math.Sqrt(n), 0) / fastTau.Seconds()
	return max(m.slow, significant)
}

func (m *meter) fold(now time.Time) {
	d := now.Sub(m.at)
	if m.at.IsZero() {
		d = slowTau
	}
	if d <= 0 {
		return
	}
	m.at = now
	current := m.count / d.Seconds()
	m.count = 0
	m.slow = smooth(m.slow, current, d, slowTau)
	m.fast = smooth(m.fast, current, d, fastTau)
}

func smooth(average, value float64, d, tau time.Duration) float64 {
	return value + (average-value)*math.Exp(-d.Seconds()/tau.Seconds())
}
