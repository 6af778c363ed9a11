package failov

import (
	"context"
	"sync"

	"coltsfootloft/core/leader"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/pause"
)

// recalled holds the newest records of groups that hosts knew when an era of the store began.
type recalled struct {
	mu       sync.Mutex
	era      uint64
	revision uint64                   // of the view when they were collected
	records  map[string]leader.Record // nil if they have not been collected
}

// establishRecord writes the record of a group in the present era of the store, and in place of what another
// writer has left or removed. It goes on
// from the newest record that any host knows, unless a database leads the group in a later term:
// then the promotion of that database was lost. Its epoch stays if nothing but the entry in the store was
// changed, so that no answers under way are refused. Without a record, the leading database is named.
func (c *Controller) establishRecord(ctx context.Context, name string) {
	r, version, ok := c.nextRecord(ctx, name)
	if !ok || ctx.Err() != nil {
		return
	}
	c.Log.Info("record is established", "group", name, "epoch", r.Epoch, "primary", r.Primary, "term", r.Term, "closing", r.Closing,
		"from_era", r.Era, "era", c.Mirror.Era(), "era_age", c.Mirror.EraAge().String())
	if _, err := c.writeRecord(ctx, name, r, version); err != nil {
		c.Log.Info("record not written", "group", name, "reason", err.Error())
	}
}

// nextRecord returns the record to establish and the version that it replaces. It waits a little
// if nothing shows which database is the primary.
func (c *Controller) nextRecord(ctx context.Context, name string) (r leader.Record, version uint64, ok bool) {
	// The version is read first, so that a record which arrives meanwhile is not replaced unseen.
	v := c.Mirror.View()
	version = v.Groups[name].Revision
	odd, isOdd := v.OddRecords[name]
	if isOdd {
		version = odd.Version
	}
	r, known := c.newestRecord(ctx, name, odd.Revision)
	statuses := c.readStatuses(ctx, name)
	primary, leads := leader.FindPrimary(statuses)
	changed := !isOdd || r.Era != c.Mirror.Era()
	switch {
	case leads && (!known || !r.Closing && primary.Health.Term > r.Term):
		r.Primary = primary.ID
		r.Term = primary.Health.Term
		r.Start = primary.Health.Received.Offset()
		changed = true
	case !known:
		c.Log.Info("group without a primary", "group", name, "databases", len(statuses))
		pause.For(ctx, checkPeriod)
		return leader.Record{}, 0, false
	}
	if changed {
		r.Epoch++
	}
	return r, version, true
}

// newestRecord returns the newest record of a group that this host knows or that was recalled at a
// revision of the store or later.
func (c *Controller) newestRecord(ctx context.Context, name string, revision uint64) (leader.Record, bool) {
	era := c.Mirror.Era()
	c.recalled.mu.Lock()
	defer c.recalled.mu.Unlock()
	if c.recalled.records == nil || c.recalled.era != era || c.recalled.revision < revision {
		c.recalled.revision = c.Mirror.View().Revision
		c.recalled.records = c.recall(ctx)
		c.recalled.era = era
	}
	r, ok := c.recalled.records[name]
	if own, known := c.Mirror.View().NewestRecords()[name]; known && !r.Supersedes(own) {
		return own, true
	}
	return r, ok
}

// recall collects the newest records from all hosts that this host knows of. It ends when all
// have answered, but not before the leases of an earlier era have ended if some have not:
// these may still use the primary of a record that is not known here.
func (c *Controller) recall(ctx context.Context) map[string]leader.Record {
	newest := make(map[string]leader.Record)
	answered := map[string]bool{c.Self: true}
	for {
		settled := c.Mirror.EraAge() >= lease.TTL
		missing := c.recallMissing(ctx, newest, answered)
		if missing == 0 || settled || !pause.For(ctx, pollPeriod) {
			c.Log.Info("records recalled", "era", c.Mirror.Era(), "hosts", len(answered), "missing", missing, "groups", len(newest))
			return newest
		}
	}
}

// recallMissing asks the hosts that have not answered yet, and returns how many still have not.
func (c *Controller) recallMissing(ctx context.Context, newest map[string]leader.Record, answered map[string]bool) int {
	type answer struct {
		host    string
		records map[string]leader.Record
		err     error
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make(chan answer)
	asked := 0
	for h := range c.Mirror.View().KnownHosts() {
		if answered[h] {
			continue
		}
		asked++
		go func() {
			records, err := c.Mirror.Recall(ctx, h)
			answers <- answer{
				host:    h,
				records: records,
				err:     err,
			}
		}()
	}
	missing := 0
	for range asked {
		a := <-answers
		if a.err != nil {
			missing++
			continue
		}
		answered[a.host] = true
		for group, r := range a.records {
			if r.Supersedes(newest[group]) {
				newest[group] = r
			}
		}
	}
	return missing
}
