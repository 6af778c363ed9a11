package failov

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/failov/stewardpb"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

// repairDelay is how long a host has to notice itself that its registration was overwritten.
// Usually that takes a round trip to the store.
const repairDelay = 300 * time.Millisecond

// holder is a host that may have the right to use primaries. Of one whose registration can't
// be read any more, only the name is known.
type holder struct {
	name string
	mirror.Registration
}

// holders returns the hosts that may have had the right to use primaries before a revision.
func holders(v *mirror.View, revision uint64) []holder {
	var hosts []holder
	add := func(name string, p mirror.Registration) {
		if p.Revision <= revision {
			hosts = append(hosts, holder{
				name:         name,
				Registration: p,
			})
		}
	}
	for name, p := range v.Hosts {
		add(name, p)
	}
	for _, d := range v.Displaced {
		add(d.Host, d.Registration)
	}
	for name, o := range v.Odd {
		if !o.Known {
			add(name, mirror.Registration{})
		}
	}
	return hosts
}

// awaitConfirmations waits until no host uses the old primary: each has confirmed the
// closing record, or its lease has ended. Hosts that the store lost the registration of,
// when it was restored, can't be asked, so their leases are waited for. So are those of hosts
// whose registration another writer has overwritten.
func (c *Controller) awaitConfirmations(ctx context.Context, revision uint64) error {
	started := c.Clock.Elapsed()
	if rest := lease.TTL - c.Mirror.EraAge(); rest > 0 && !pause.For(ctx, rest) {
		return errors.Wrap(ctx.Err(), "wait for leases of an earlier era")
	}
	hosts := holders(c.Mirror.View(), revision)
	request := &stewardpb.Request{Confirm: &stewardpb.Confirm{
		Revision: coltsfootloft.NumberOf(revision),
		Era:      coltsfootloft.EraOf(revision),
	}}
	var wg sync.WaitGroup
	errs := make(chan error, len(hosts))
	for _, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := c.awaitConfirmation(ctx, h, request); err != nil {
				errs <- err
			}
		}()
	}
	wg.Wait()
	close(errs)
	err := <-errs
	c.Log.Info("hosts asked to confirm the closing record", "revision", revision, "hosts", len(hosts), "ok", err == nil,
		"took_ms", (c.Clock.Elapsed() - started).Milliseconds())
	return err
}

// awaitConfirmation waits for the confirmation of one host or the end of its rights.
func (c *Controller) awaitConfirmation(ctx context.Context, h holder, r *stewardpb.Request) error {
	for {
		changed := c.Mirror.Changed()
		v := c.Mirror.View()
		if !c.mayHold(v, h) {
			return nil
		}
		if current, ok := v.Hosts[h.name]; ok && current.Revision == h.Revision {
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			confirmed, err := c.call(callCtx, h.name, r)
			cancel()
			if err == nil && confirmed {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "host %s has not confirmed the closing record", h.name)
		}
		if _, ok := c.Duty.Holds(); !ok {
			return errNotHolder
		}
		pause.Until(ctx, changed, pollPeriod)
	}
}

// mayHold reports whether a host may still have rights under a registration.
func (c *Controller) mayHold(v *mirror.View, h holder) bool {
	if p, ok := v.Hosts[h.name]; ok && p.Revision == h.Revision {
		return true
	}
	if _, ok := v.Displaced[h.Lease]; ok {
		return !c.hasEnded(h.Lease)
	}
	o, ok := v.Odd[h.name]
	return ok && !o.Known
}

// hasEnded reports whether a host has no rights under a lease that this host has ended. The
// store renews no lease after its end, so each renewal that the host counts its lease from was
// sent before that.
func (c *Controller) hasEnded(session string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.ended[session]
	return ok && c.Clock.Elapsed()-at >= lease.TTL
}

// repairHosts deals with entries of other writers under the keys of hosts, while this host holds
// the duty: it ends the lease of a host whose registration was overwritten, unless the host
// registers again, and removes the entry once the host has no rights left.
func (c *Controller) repairHosts(ctx context.Context) {
	for pause.For(ctx, checkPeriod) {
		if _, ok := c.Duty.Holds(); !ok {
			continue
		}
		c.endDisplaced(ctx)
		c.removeOdd(ctx)
	}
}

// endDisplaced ends the leases of displaced registrations.
func (c *Controller) endDisplaced(ctx context.Context) {
	now := c.Clock.Elapsed()
	displaced := c.Mirror.View().Displaced
	for session, d := range displaced {
		c.mu.Lock()
		_, ended := c.ended[session]
		c.mu.Unlock()
		if ended || now-d.FirstSeen < repairDelay {
			continue
		}
		err := c.Store.CloseSession(ctx, session)
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoSession) {
			c.Log.Info("lease of an overwritten registration not ended", "host", d.Host, "lease", session, "reason", err.Error())
			continue
		}
		c.Log.Info("lease of an overwritten registration ended", "host", d.Host, "lease", session)
		c.mu.Lock()
		c.ended[session] = c.Clock.Elapsed()
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for session := range c.ended {
		if _, ok := displaced[session]; !ok {
			delete(c.ended, session)
		}
	}
}

// removeOdd removes entries that stand for no host with rights, so that hosts which start
// later, and can't know that, don't wait for one.
func (c *Controller) removeOdd(ctx context.Context) {
	fence, ok := c.Duty.Holds()
	v := c.Mirror.View()
	now := c.Clock.Elapsed()
	for name, o := range v.Odd {
		if !ok || !o.Known || now-o.FirstSeen < repairDelay || c.mayHoldDisplaced(v, name) {
			continue
		}
		_, err := c.Store.Apply(ctx, []coltsfootloft.Change{
			coltsfootloft.Remove(mirror.HostKey(name), o.Revision),
			coltsfootloft.Require(mirror.DutyKey(c.Duty.Name), fence),
		})
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		c.Log.Info("entry that is no registration removed", "host", name, "revision", o.Revision, "ok", err == nil, "reason", reason)
	}
}

// mayHoldDisplaced reports whether a host may still have rights under a displaced registration.
func (c *Controller) mayHoldDisplaced(v *mirror.View, name string) bool {
	for session, d := range v.Displaced {
		if d.Host == name && !c.hasEnded(session) {
			return true
		}
	}
	return false
}
