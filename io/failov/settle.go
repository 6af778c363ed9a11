package failov

import (
	"context"
	"strconv"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

// settlePeriod is how often the holder looks whether the era of the store is settled.
const settlePeriod = time.Second

// settleEras writes the era of the store under [mirror.SettledKey] once it is settled, so that
// hosts which start later need not wait for rights of an earlier one.
func (c *Controller) settleEras(ctx context.Context) {
	for pause.For(ctx, settlePeriod) {
		if era, ok := c.eraToSettle(); ok {
			c.settleEra(ctx, era)
		}
	}
}

// eraToSettle returns the era of the store if it is settled and not yet written as such: leases
// of earlier eras have ended, all groups have a record, and the settings are the latest known.
func (c *Controller) eraToSettle() (era uint64, ok bool) {
	if _, ok := c.Duty.Holds(); !ok {
		return 0, false
	}
	v := c.Mirror.View()
	era = c.Mirror.Era()
	if v.IsSettled() || coltsfootloft.EraOf(v.Revision) != era || c.Mirror.EraAge() < lease.TTL || !c.Mirror.IsConfirmed() {
		return 0, false
	}
	for _, name := range c.groups() {
		if g, ok := v.Groups[name]; !ok || !g.IsCurrent() {
			return 0, false
		}
	}
	return era, true
}

func (c *Controller) settleEra(ctx context.Context, era uint64) {
	fence, ok := c.Duty.Holds()
	if !ok {
		return
	}
	_, err := c.Store.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put(mirror.SettledKey, []byte(strconv.FormatUint(era, 10)), c.Mirror.View().Settled.Revision),
		coltsfootloft.Require(mirror.DutyKey(c.Duty.Name), fence),
	})
	if err != nil {
		c.Log.Info("settled era not written", "era", era, "reason", err.Error())
		return
	}
	c.Log.Info("era is settled", "era", era, "fence", fence)
}
