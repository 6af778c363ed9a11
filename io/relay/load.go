package relay

import (
	"math"
	"time"

	"coltsfootloft/core/gate"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// Expect returns what a statement of an account with a priority is expected to take at a database:
// from this host's own gate if it would use a connection of its own, else from the latest report of
// the owner, of those that h allows. ok is false if loads are not measured, or if there is no report that is trusted.
func (r *Relay) Expect(t dbpool.Target, account string, priority int, h homes.Homes) (e load.Estimate, ok bool) {
	if r.Pools.SlotShare == nil {
		return e, false
	}
	owner, isRemote := r.remoteOwner(t.ID, account, h)
	if !isRemote {
		report, ok := r.Pools.Load(t)
		return load.EstimateOf(report, priority), ok
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.Estimate(r.Clock.Elapsed(), t.ID, owner, priority)
}

// noteSent records that a statement is sent to an owner.
func (r *Relay) noteSent(database, owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.Sent(database, owner)
}

// noteLoad records the report in a response of an owner to a statement sent at started.
func (r *Relay) noteLoad(database, owner string, started time.Duration, l *relaypb.Load) {
	if l == nil || r.Pools.SlotShare == nil {
		return
	}
	now := r.Clock.Elapsed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.Add(now, database, owner, decodeLoad(l), now-started-micros(l.GetHeldUs()))
}

// addLoad adds the load of the statement's database to the response, if it is known.
func (r *Relay) addLoad(a *relaypb.Response, x *relaypb.Exchange, received time.Duration) {
	if r.Pools.SlotShare == nil {
		return
	}
	v := r.Owners.Mirror.View()
	u, ok := v.Upstreams[x.GetDatabase()]
	if !ok {
		return
	}
	if l, ok := r.Pools.Load(u.Target()); ok {
		a.Load = encodeLoad(l, r.Clock.Elapsed()-received)
	}
}

// isAbroad reports whether a host is known to be in another failure domain.
func (r *Relay) isAbroad(host string) bool {
	hosts := r.Owners.Mirror.View().Hosts
	h, ok := hosts[host]
	self, known := hosts[r.Self]
	return ok && known && h.Domain != self.Domain
}

func encodeLoad(l load.Report, held time.Duration) *relaypb.Load {
	m := &relaypb.Load{
		Waiting:   count(l.Waiting),
		Running:   count(l.Running),
		Capacity:  count(l.Capacity),
		ServiceUs: inMicros(l.Service),
		WorkUs:    inMicros(l.Work),
		FreePerS:  l.Free,
		HeldUs:    inMicros(held),
	}
	for _, w := range l.Waits {
		m.WaitUs = append(m.WaitUs, inMicros(w))
	}
	return m
}

// decodeLoad returns a report. What another host can't have measured counts as nothing.
func decodeLoad(m *relaypb.Load) load.Report {
	l := load.Report{
		Waiting:  int(m.GetWaiting()),
		Running:  int(m.GetRunning()),
		Capacity: int(m.GetCapacity()),
		Service:  micros(m.GetServiceUs()),
		Work:     micros(m.GetWorkUs()),
	}
	if f := m.GetFreePerS(); f > 0 && !math.IsInf(f, 0) {
		l.Free = f
	}
	for level, w := range m.GetWaitUs() {
		if level < gate.Levels {
			l.Waits[level] = micros(w)
		}
	}
	return l
}

func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func inMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}

func micros(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
