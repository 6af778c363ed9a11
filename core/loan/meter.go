package loan

import (
	"math"
	"time"
)

const (
	// slowTau and fastTau are the time constants of the two averages.
	slowTau = time.Second
	fastTau = 200 * time.Millisecond
	// foldAfter is how long counts are gathered before an average is moved.
	foldAfter = 10 * time.Millisecond
)

// meter estimates the demand for tokens as the larger of a slow and a fast
// exponential average, so that it follows a rise at once and a fall slowly.
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
	return max(m.slow, m.fast)
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
