package member

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"coltsfootloft/core/beat"
	"coltsfootloft/io/member/memberpb"
)

const (
	// beatTimeout is how long a heartbeat or a probe may take.
	beatTimeout = 600 * time.Millisecond
	// urgentSpacing is the least time between rounds of heartbeats.
	urgentSpacing = 50 * time.Millisecond
	// maxRumours is the most claims that one heartbeat passes on.
	maxRumours = 16
	// maxDiffer is how many heartbeats in a row may show another digest before
	// all claims are exchanged.
	maxDiffer = 3
)

// beatDuty sends heartbeats to all neighbours, each period and when there is news.
func (v *View) beatDuty(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	t := v.Clock.NewTicker(v.Period)
	defer t.Stop()
	periodic := true
	for {
		for _, h := range v.targets(periodic) {
			group.Go(func() { v.beat(ctx, h) })
		}
		select {
		case <-v.Clock.After(urgentSpacing):
		case <-ctx.Done():
			return
		}
		select {
		case <-t.Chan():
			periodic = true
			v.change(v.tick)
		case <-v.urgent:
			periodic = false
		case <-ctx.Done():
			return
		}
	}
}

func (v *View) tick(t *beat.Table, now time.Time) bool {
	before := len(t.Lost())
	changed := t.Tick(now)
	if n := len(t.Lost()); n > before {
		v.Log.Info("hosts dead", "new", n-before, "all", n)
	}
	return changed
}

// targets returns the neighbours without a heartbeat under way and, once a period,
// a host held to be dead.
func (v *View) targets(periodic bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.table.Neighbours()
	if lost := v.table.Lost(); periodic && len(lost) > 0 {
		all = append(all, lost[rand.Intn(len(lost))])
	}
	var free []string
	for _, h := range all {
		if !v.calling[h] {
			v.calling[h] = true
			free = append(free, h)
		}
	}
	return free
}

// beat sends one heartbeat, and has the host probed if it doesn't answer.
func (v *View) beat(ctx context.Context, host string) {
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.calling, host)
	}()
	if v.exchange(ctx, host) == nil || ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	m, _ := v.table.Find(host)
	helpers := v.table.Helpers(host)
	v.mu.Unlock()
	if m.Status() != beat.Alive || v.probed(ctx, host, helpers) || ctx.Err() != nil {
		return
	}
	if v.change(func(t *beat.Table, now time.Time) bool { return t.Suspect(host, now) }) {
		v.counts.suspected.Inc()
		v.Log.Info("host suspect", "host", host)
	}
}

// exchange sends a heartbeat and takes in its answer.
func (v *View) exchange(ctx context.Context, host string) error {
	v.mu.Lock()
	whole := !v.joined || v.differed[host] >= maxDiffer
	if whole {
		v.counts.exchanges.Inc()
	}
	b := v.compose(host, whole)
	v.mu.Unlock()
	a, err := v.call(ctx, host, &memberpb.Request{Kind: &memberpb.Request_Beat{Beat: b}})
	if err != nil {
		return err
	}
	v.take(host, a.GetBeat())
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.joined {
		v.joined = true
		v.table.Quiet()
	}
	v.differed[host]++
	if whole || a.GetBeat().GetDigest() == v.table.Digest() {
		delete(v.differed, host)
	}
	return nil
}

// compose makes a heartbeat or its answer. What is held against the receiver is
// put in, so that it may contradict. The caller holds the lock.
func (v *View) compose(to string, whole bool) *memberpb.Beat {
	b := &memberpb.Beat{
		Self:     encodeClaim(v.table.Self()),
		Revision: v.revision(),
		Digest:   v.table.Digest(),
		Whole:    whole,
	}
	claims := v.table.Rumours(maxRumours)
	if whole {
		claims = v.table.Members()
	}
	if m, ok := v.table.Find(to); ok && m.Status() != beat.Alive && !whole {
		claims = append(claims, m)
	}
	for _, m := range claims {
		if m.Record().Name() != v.Host.Name() {
			b.Rumours = append(b.Rumours, encodeClaim(m))
		}
	}
	return b
}

// take takes in a heartbeat or its answer.
func (v *View) take(from string, b *memberpb.Beat) {
	v.change(func(t *beat.Table, now time.Time) bool {
		changed := v.hear(t, decodeClaim(b.GetSelf()), now)
		for _, c := range b.GetRumours() {
			changed = v.hear(t, decodeClaim(c), now) || changed
		}
		return changed
	})
	if v.OnRevision != nil && b.GetRevision() > 0 {
		v.OnRevision(from, b.GetRevision())
	}
}

func (v *View) hear(t *beat.Table, m beat.Member, now time.Time) bool {
	old, known := t.Find(m.Record().Name())
	if !t.Merge(m, now) {
		return false
	}
	if !known || old.Status() != m.Status() || old.Record().Leaving() != m.Record().Leaving() {
		v.Log.Info("host", "host", m.Record().Name(), "status", m.Status().String(), "leaving", m.Record().Leaving())
	}
	return true
}

// probed asks other hosts whether one answers them.
func (v *View) probed(ctx context.Context, host string, helpers []string) bool {
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
