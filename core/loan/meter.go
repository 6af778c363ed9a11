package loan

import (
	"math"
	"time"
)

const (
	// slowTau and fastTau are the time constants of the two averages.
	slowTau = 2 * time.Second
	fastTau = 200 * time.Millisecond
	// significance is how many standard deviations the fast average must lie
	// above zero; a single request is no rate.
	significance = 2
	// foldAfter is how long counts are gathered before an average is moved.
	foldAfter = 10 * time.Millisecond
)

// meter estimates the demand for tokens as the larger of a slow and a fast
// exponential average, so that it follows a rise at once and a fall slowly. Of the
// fast one only what can't be chance counts.
type meter struct {
	count float64
	at    time.Time
	slow  float64
	fast  float64
}

func (m *meter) add(now time.Time, n float64) {
	m.count += n
	if now.Sub(m.at) >= foldAfter {
		m.fold(now)
	}
}

// rate is in tokens per second.
func (m *meter) rate(now time.Time) float64 {
	m.fold(now)
	n := m.fast * fastTau.Seconds()
	sure := max(n-significance*math.Sqrt(n), 0) / fastTau.Seconds()
	return max(m.slow, sure)
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
	per := m.count / d.Seconds()
	m.count = 0
	m.slow = approach(m.slow, per, d, slowTau)
	m.fast = approach(m.fast, per, d, fastTau)
}

func approach(average, value float64, d, tau time.Duration) float64 {
	return value + (average-value)*math.Exp(-d.Seconds()/tau.Seconds())
}
