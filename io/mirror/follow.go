package mirror

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/mirror/mirrorpb"
)

const (
	// dutyName is the duty on the links between hosts.
	dutyName = "mirror"
	// watchers is how many hosts of a failure domain watch the store for the
	// others: one, and one in case that it is lost.
	watchers = 2
	// pollWait is how long a poll waits: a host that does not reach the store any
	// more says so within it.
	pollWait = 1500 * time.Millisecond
	// pollMargin is how much longer than its wait a poll may take.
	pollMargin = 300 * time.Millisecond
	// avoidFor is how long a host that did not answer a poll is passed over.
	avoidFor = 2 * time.Second
)

// errNotWatching: the host that was asked does not watch the store.
var errNotWatching = errors.New("host does not watch the store")

// Register sets the handler of other hosts' polls. It is called before Run.
func (m *Mirror) Register() {
	m.prepare()
	m.Peers.Register(dutyName, m.handle)
}

// source returns the host to follow, or none if this one watches the store itself:
// it is among the first of its failure domain, or those don't answer.
func (m *Mirror) source() (host string, ok bool) {
	v := m.View()
	if _, registered := v.Hosts[m.Self]; !registered {
		return "", false
	}
	order := m.watching(v)
	if slices.Contains(order, m.Self) {
		return "", false
	}
	for _, h := range order {
		if m.Clock.Elapsed() >= m.avoided[h] {
			return h, true
		}
	}
	return "", false
}

// watching returns the hosts of this failure domain that watch the store.
func (m *Mirror) watching(v *View) []string {
	if m.orderVersion != v.HostsVersion || m.order == nil {
		var near []string
		for _, h := range v.HostNames() {
			if v.Hosts[h].Domain == m.Domain {
				near = append(near, h)
			}
		}
		m.order = rank.Order("watch/"+m.Domain, near)
		m.order = m.order[:min(watchers, len(m.order))]
		m.orderVersion = v.HostsVersion
	}
	return m.order
}

// follow takes changes from a host that watches.
func (m *Mirror) follow(ctx context.Context, host string) error {
	b, err := proto.Marshal(&mirrorpb.Poll{
		After:  m.View().Revision,
		WaitMs: pollWait.Milliseconds(),
	})
	if err != nil {
		panic(err) // messages of plain fields always encode
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	b, err = m.Peers.Call(ctx, host, dutyName, b)
	if err != nil {
		return errors.Wrap(err, "poll")
	}
	var c mirrorpb.Changes
	if err := proto.Unmarshal(b, &c); err != nil {
		return errors.Wrap(err, "changes")
	}
	if !c.GetWatching() {
		return errNotWatching
	}
	events := make([]coltsfootloft.Event, 0, len(c.GetItems()))
	for _, i := range c.GetItems() {
		events = append(events, m.Decode(i.GetKey(), i.GetValue(), i.GetRevision(), i.GetGone()))
	}
	switch {
	case c.GetWhole() && c.GetRevision() >= m.View().Revision:
		m.replaceAll(events, c.GetRevision())
	case len(events) > 0 || c.GetRevision() > m.View().Revision:
		m.applyAll(events, c.GetRevision())
	}
	return nil
}

// handle answers a poll, if this host watches the store.
func (m *Mirror) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var p mirrorpb.Poll
	if err := proto.Unmarshal(body, &p); err != nil {
		return nil, errors.Wrap(err, "poll")
	}
	c := m.changes(ctx, p.GetAfter(), time.Duration(p.GetWaitMs())*time.Millisecond)
	b, err := proto.Marshal(c)
	return b, errors.Wrap(err, "changes")
}

func (m *Mirror) isWatching() bool { return m.watches.Load() && m.Reaching() }

func (m *Mirror) changes(ctx context.Context, after uint64, wait time.Duration) *mirrorpb.Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := m.Changed()
		c := &mirrorpb.Changes{
			Revision: m.View().Revision,
			Watching: m.isWatching(),
		}
		if !c.GetWatching() {
			return c
		}
		if c.GetRevision() > after {
			return m.fill(c, after)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c
		case <-ctx.Done():
			return c
		}
	}
}

func (m *Mirror) fill(c *mirrorpb.Changes, after uint64) *mirrorpb.Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	events, whole := m.record.since(after)
	c.Whole = whole
	c.Revision = m.view.Load().Revision
	for _, e := range events {
		c.Items = append(c.Items, &mirrorpb.Item{
			Key:      e.StoreKey,
			Value:    e.Value,
			Revision: e.Revision,
			Gone:     e.Gone,
		})
	}
	return c
}
