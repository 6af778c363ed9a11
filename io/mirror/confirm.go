package mirror

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/pause"
)

// confirm advances the horizon before its age reaches the limit.
func (m *Mirror) confirm(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		wait := m.untilConfirm()
		if wait <= 0 {
			if m.confirmOnce(ctx) {
				if retry > minRetryDelay {
					m.wakeWatch()
				}
				retry = minRetryDelay
				continue
			}
			wait = retry
			retry = min(2*retry, m.maxConfirmRetryDelay())
		}
		pause.For(ctx, wait)
	}
}

// untilConfirm returns how long the next confirmation can wait; 0 or less means now.
func (m *Mirror) untilConfirm() time.Duration {
	if m.mayLackSettings() {
		return minRetryDelay
	}
	age, ok := m.horizon.Age(m.Clock.Elapsed())
	if !ok {
		return 0
	}
	if other, ok := m.evacuationAge(m.Clock.Elapsed()); ok {
		age = max(age, other)
	}
	if m.IsKeeper() {
		return keeperConfirmPeriod - age
	}
	return min(time.Duration(float64(m.HorizonLimit)*confirmFraction)-age, keeperConfirmPeriod)
}

// maxConfirmRetryDelay is the maximum delay between failing confirmations.
func (m *Mirror) maxConfirmRetryDelay() time.Duration {
	if m.IsKeeper() {
		return keeperMaxRetryDelay
	}
	return m.MaxRetryDelay(maxRetryDelay)
}

// MaxRetryDelay returns the maximum delay between attempts of a call that every host
// makes. It starts at base and grows with the number of registered hosts.
func (m *Mirror) MaxRetryDelay(base time.Duration) time.Duration {
	return min(max(base, time.Duration(len(m.View().Hosts))*retryDelayPerHost), max(base, maxFleetRetryDelay))
}

func (m *Mirror) confirmOnce(ctx context.Context) bool {
	c := m.View().Settings
	if c == nil {
		return false
	}
	conditions := m.evacuationConditions(m.View())
	sent := m.Clock.Elapsed()
	now, err := m.Store.Confirm(ctx, c.Revision, conditions)
	m.reached.Store(err == nil)
	if err != nil {
		age, _ := m.horizon.Age(m.Clock.Elapsed())
		m.Log.Info("store not answering", "call", "confirm", "reason", err.Error(), "horizon_age", age.String())
		return false
	}
	m.noteConfirmation(sent, conditions, now)
	newer := now.Settings
	if now.Current {
		newer.Settings = c
		newer.Revision = c.Revision
	} else {
		// This answer does not carry the revision of the store itself.
		m.applyAll([]coltsfootloft.Event{newer}, 0)
	}
	if m.advanceHorizon(sent, newer) {
		return true
	}
	m.Log.Info("settings not confirmed", "version", c.Version, "revision", c.Revision, "stored_revision", newer.Revision,
		"latest_version", m.LatestVersion(), "era", m.Era())
	return false
}
