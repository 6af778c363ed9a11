package member

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"coltsfootloft/core/gossip"
	"coltsfootloft/io/member/memberpb"
)

const (
	// heartbeatTimeout bounds a heartbeat or a probe.
	heartbeatTimeout = 600 * time.Millisecond
	// urgentSpacing is the minimum time between rounds of heartbeats.
	urgentSpacing = 50 * time.Millisecond
	// maxClaims bounds the claims that one heartbeat passes on.
	maxClaims = 16
	// maxDigestMismatches is how many consecutive heartbeats may show another
	// digest before all claims are exchanged.
	maxDigestMismatches = 3
)

// runHeartbeats sends heartbeats to all neighbours, once per period and
// whenever there is news.
func (v *View) runHeartbeats(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	t := v.Clock.NewTicker(v.Period)
	defer t.Stop()
	periodic := true
	for {
		for _, h := range v.targets(periodic) {
			group.Go(func() { v.sendHeartbeat(ctx, h) })
		}
		select {
		case <-v.Clock.After(urgentSpacing):
		case <-ctx.Done():
			return
		}
		select {
		case <-t.Chan():
			periodic = true
			v.update(v.tick)
		case <-v.urgent:
			periodic = false
		case <-ctx.Done():
			return
		}
	}
}

func (v *View) tick(t *gossip.Table, now time.Time) bool {
	before := len(t.Lost())
	changed := t.Tick(now)
	if n := len(t.Lost()); n > before {
		v.Log.Info("hosts dead", "new", n-before, "all", n)
	}
	return changed
}

// targets returns the neighbours without a heartbeat in flight and, once per
// period, a host considered dead.
func (v *View) targets(periodic bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.table.Neighbours()
	if lost := v.table.Lost(); periodic && len(lost) > 0 {
		all = append(all, lost[rand.Intn(len(lost))])
	}
	var idle []string
	for _, h := range all {
		if !v.inFlight[h] {
			v.inFlight[h] = true
			idle = append(idle, h)
		}
	}
	return idle
}

// sendHeartbeat sends one heartbeat and has other hosts probe the receiver if
// it doesn't answer.
func (v *View) sendHeartbeat(ctx context.Context, host string) {
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.inFlight, host)
	}()
	if v.exchange(ctx, host) == nil || ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	m, _ := v.table.Find(host)
	helpers := v.table.Helpers(host)
	v.mu.Unlock()
	if m.Status() != gossip.Alive || v.probeThrough(ctx, host, helpers) || ctx.Err() != nil {
		return
	}
	if v.update(func(t *gossip.Table, now time.Time) bool { return t.Suspect(host, now) }) {
		v.counts.suspected.Inc()
		v.Log.Info("host suspect", "host", host)
	}
}

// exchange sends a heartbeat and applies the answer.
func (v *View) exchange(ctx context.Context, host string) error {
	v.mu.Lock()
	whole := !v.joined || v.digestMismatches[host] >= maxDigestMismatches
	if whole {
		v.counts.exchanges.Inc()
	}
	b := v.compose(host, whole)
	v.mu.Unlock()
	a, err := v.call(ctx, host, &memberpb.Request{Kind: &memberpb.Request_Beat{Beat: b}})
	if err != nil {
		return err
	}
	v.applyHeartbeat(host, a.GetBeat())
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.joined {
		v.joined = true
		v.table.MarkAllSent()
	}
	v.digestMismatches[host]++
	if whole || a.GetBeat().GetDigest() == v.table.Digest() {
		delete(v.digestMismatches, host)
	}
	return nil
}

// compose returns a heartbeat or the answer to one. It includes a claim that
// the receiver is suspected or dead, so that the receiver can refute it. The
// lock must be held.
func (v *View) compose(to string, whole bool) *memberpb.Beat {
	b := &memberpb.Beat{
		Self:     encodeClaim(v.table.Self()),
		Revision: v.revision(),
		Digest:   v.table.Digest(),
		Whole:    whole,
	}
	claims := v.table.PendingClaims(maxClaims)
	if whole {
		claims = v.table.Members()
	}
	if m, ok := v.table.Find(to); ok && m.Status() != gossip.Alive && !whole {
		claims = append(claims, m)
	}
	for _, m := range claims {
		if m.Record().Name() != v.Host.Name() {
			b.Rumours = append(b.Rumours, encodeClaim(m))
		}
	}
	return b
}

// applyHeartbeat applies a heartbeat or the answer to one.
func (v *View) applyHeartbeat(from string, b *memberpb.Beat) {
	v.update(func(t *gossip.Table, now time.Time) bool {
		changed := v.applyClaim(t, decodeClaim(b.GetSelf()), now)
		for _, c := range b.GetRumours() {
			changed = v.applyClaim(t, decodeClaim(c), now) || changed
		}
		return changed
	})
	if v.OnRevision != nil && b.GetRevision() > 0 {
		v.OnRevision(from, b.GetRevision())
	}
}

func (v *View) applyClaim(t *gossip.Table, m gossip.Member, now time.Time) bool {
	old, known := t.Find(m.Record().Name())
	if !t.Merge(m, now) {
		return false
	}
	if !known || old.Status() != m.Status() || old.Record().Leaving() != m.Record().Leaving() {
		v.Log.Info("host", "host", m.Record().Name(), "status", m.Status().String(), "leaving", m.Record().Leaving())
	}
	return true
}

// probeThrough asks other hosts to probe a host and reports whether it answered
// any of them.
func (v *View) probeThrough(ctx context.Context, host string, helpers []string) bool {
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			a, err := v.call(ctx, h, &memberpb.Request{Kind: &memberpb.Request_Probe{Probe: host}})
			answers <- err == nil && a.GetAnswered()
		}()
	}
	answered := false
	for range helpers {
		answered = <-answers || answered
	}
	return answered
}
