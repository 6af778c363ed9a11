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
	// standIns is how many may watch, each if those before it do not: that the
	// store turns all of them away while it serves others is seen once in 500
	// times where it turns a third of the hosts away.
	standIns = 6
	// patience is how long a host that is none of them goes without a source
	// before it watches the store itself: hosts are without one together when the
	// store is down, and refused calls are priced.
	patience = 1500 * time.Millisecond
	// lookAgain is how soon such a host looks for a source again.
	lookAgain = 300 * time.Millisecond
	// pollWait is how long a poll waits: a host that does not reach the store any
	// more says so within it.
	pollWait = 1500 * time.Millisecond
	// pollMargin is how much longer than its wait a poll may take.
	pollMargin = 300 * time.Millisecond
	// avoidFor is how long a host that did not answer a poll is passed over, and
	// idleFor one that answered that it does not watch the store.
	avoidFor = 2 * time.Second
	idleFor  = 600 * time.Millisecond
)

// errNotWatching: the host that was asked does not watch the store.
var errNotWatching = errors.New("host does not watch the store")

// Register sets the handler of other hosts' polls. It is called before Run.
func (m *Mirror) Register() {
	m.prepare()
	m.Peers.Register(dutyName, m.handle)
}

// source is what a host does to hear of changes.
type source struct {
	// host is the one to follow, empty if there is none.
	host string
	// itself tells that the host watches the store itself.
	itself bool
}

// source chooses: the first hosts of a failure domain watch the store, the others
// follow the first one that does, as far as this host knows.
func (m *Mirror) source() source {
	v := m.View()
	if _, registered := v.Hosts[m.Self]; !registered {
		return source{itself: true}
	}
	order := m.watching(v)
	place := slices.Index(order, m.Self)
	before := order
	if place >= 0 {
		before = order[:place]
	}
	now := m.Clock.Elapsed()
	if place < 0 || place >= watchers {
		for _, h := range before {
			if now >= m.avoided[h] {
				m.alone = 0
				return source{host: h}
			}
		}
	}
	if m.alone == 0 {
		m.alone = now
	}
	return source{itself: place >= 0 || now-m.alone >= patience}
}

// watching returns the hosts of this failure domain that may watch the store.
func (m *Mirror) watching(v *View) []string {
	if m.orderVersion != v.HostsVersion || m.order == nil {
		var near []string
		for _, h := range v.HostNames() {
			if v.Hosts[h].Domain == m.Domain {
				near = append(near, h)
			}
		}
		m.order = rank.Sized("watch/"+m.Domain, near, v.SizeOf)
		m.order = m.order[:min(standIns, len(m.order))]
		m.orderVersion = v.HostsVersion
	}
	return m.order
}

// avoid passes a source over for a while.
func (m *Mirror) avoid(host string, err error) {
	limit := avoidFor
	if errors.Is(err, errNotWatching) {
		limit = idleFor
	}
	m.avoided[host] = m.Clock.Elapsed() + limit
	m.Log.Info("host that watches the store does not answer", "host", host, "reason", err.Error())
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
