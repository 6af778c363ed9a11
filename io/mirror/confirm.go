package mirror

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/pause"
)

// confirm keeps the horizon young.
func (m *Mirror) confirm(ctx context.Context) {
	retry := retryPause
	for ctx.Err() == nil {
		wait := m.untilConfirm()
		if wait <= 0 {
			if m.confirmOnce(ctx) {
				if retry > retryPause {
					m.hasten()
				}
				retry = retryPause
				continue
			}
			wait = retry
			retry = min(2*retry, m.most())
		}
		pause.For(ctx, wait)
	}
}

// untilConfirm is how long the horizon needs no confirmation.
func (m *Mirror) untilConfirm() time.Duration {
	age, ok := m.horizon.Age(m.Clock.Elapsed())
	if !ok {
		return 0
	}
	if m.Leads() {
		return leadEvery - age
	}
	return min(time.Duration(float64(m.HorizonLimit)*confirmShare)-age, leadEvery)
}

// most is the longest wait between confirmations that fail.
func (m *Mirror) most() time.Duration {
	if m.Leads() {
		return leadMost
	}
	return m.Spread(retryMost)
}

// Spread is the longest wait between tries of a call that every host makes, for a
// fleet of any size.
func (m *Mirror) Spread(least time.Duration) time.Duration {
	return min(max(least, time.Duration(len(m.View().Hosts))*perHost), max(least, spreadMost))
}

func (m *Mirror) confirmOnce(ctx context.Context) bool {
	c := m.View().Catalog
	if c == nil {
		return false
	}
	sent := m.Clock.Elapsed()
	current, newer, err := m.Store.Confirm(ctx, c.Revision)
	m.reached.Store(err == nil)
	if err != nil {
		age, _ := m.horizon.Age(m.Clock.Elapsed())
		m.Log.Info("store not answering", "call", "confirm", "reason", err.Error(), "horizon_age", age.String())
		return false
	}
	if !current {
		// The store's own revision is not known from this answer.
		m.applyAll([]coltsfootloft.Event{newer}, 0)
	}
	m.horizon.Advance(sent)
	return true
}
