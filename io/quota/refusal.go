package quota

import (
	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

// logRefusal logs the state on which a refusal is based; mu is held.
func (l *Limiter) logRefusal(name string, a *account) {
	now := l.Clock.Elapsed()
	l.countRefusal()
	limit := coltsfootloft.Account{}
	if c := l.Mirror.View().Settings; c != nil {
		limit = c.Accounts[name]
	}
	l.Log.Info("account over its rate here", "account", name, "limit", limit.Rate(), "burst", limit.Burst(), "demand", a.usage.Demand(),
		"granted", a.rate, "tokens", a.bucket.Available(bucket.At(now)), "valid", (a.validUntil - now).String(),
		"keeper_silent", (now - l.lastAnswer).String(), "waiting", a.waiting, "lent", a.lent.Count(now))
}
