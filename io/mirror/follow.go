package mirror

import (
	"cmp"
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
	// dutyName is the name under which hosts poll each other.
	dutyName = "mirror"
	// primaryWatchers is how many hosts of a failure domain always watch the store: one
	// for the others to poll, and a spare in case it is lost.
	primaryWatchers = 2
	// maxWatchers is how many hosts of a failure domain may watch the store, each only if
	// none before it does. If the store turns away a third of the hosts, it turns away
	// all six with a probability of about one in 500, while it serves others.
	maxWatchers = 6
	// noSourceTimeout is how long any other host goes without a source before it watches
	// the store itself. When the store is down, all hosts lose their source at the same
	// time, and refused calls are billed.
	noSourceTimeout = 1500 * time.Millisecond
	// sourceRetryDelay is the delay before a host without a source looks for one again.
	sourceRetryDelay = 300 * time.Millisecond
	// pollWait is how long a polled host may hold a poll without changes. It bounds the
	// time until a host that has lost the store reports so.
	pollWait = 1500 * time.Millisecond
	// pollMargin is the time that a poll may take beyond pollWait.
	pollMargin = 300 * time.Millisecond
	// maxPollWait is the longest that another host may ask for.
	maxPollWait = time.Minute
	// unreachableAvoidance is how long a host that did not answer a poll is not used as a
	// source, and notWatchingAvoidance one that answered that it does not watch the
	// store.
	unreachableAvoidance = 2 * time.Second
	notWatchingAvoidance = 600 * time.Millisecond
)

// errNotWatching is returned by a poll of a host that does not watch the store.
var errNotWatching = errors.New("host does not watch the store")

// Register sets the handler for polls of other hosts. It is called before Run.
func (m *Mirror) Register() {
	m.lazyInit()
	m.Peers.Register(dutyName, m.handle)
	m.Peers.Register(recallName, m.handleRecall)
}

// source is where a host gets changes of the store from.
type source struct {
	// host is the host to poll; empty if there is none.
	host string
	// direct is set if this host watches the store itself.
	direct bool
}

// chooseSource selects the source: the first hosts of a failure domain watch the store,
// and the others poll the first of those that is not being avoided. Without a source to
// poll, a candidate watches at once and any other host after noSourceTimeout. A host
// that is not registered yet watches the store, since no other host ranks it. A host that the store
// does not answer polls another one in either case: the store may turn away some hosts only, and
// without the changes they would not learn of new holders of duties.
func (m *Mirror) chooseSource() source {
	v := m.View()
	reached := m.RecentlyReached()
	if _, registered := v.Hosts[m.Self]; !registered && reached {
		return source{direct: true}
	}
	order := m.watchCandidates(v)
	pos := slices.Index(order, m.Self)
	now := m.Clock.Elapsed()
	if pos < 0 || pos >= primaryWatchers || !reached {
		for i, h := range order {
			if h == m.Self || i > pos && pos >= 0 && reached {
				continue
			}
			if now >= m.avoidUntil[h] {
				m.noSourceSince = 0
				return source{host: h}
			}
		}
	}
	if m.noSourceSince == 0 {
		m.noSourceSince = now
	}
	return source{direct: pos >= 0 || now-m.noSourceSince >= noSourceTimeout}
}

// watchCandidates returns the hosts of this failure domain that may watch the store, in
// rendezvous order.
func (m *Mirror) watchCandidates(v *View) []string {
	if m.candidatesVersion != v.HostsVersion || m.candidates == nil {
		var local []string
		for _, h := range v.HostNames() {
			if v.Hosts[h].Domain == m.Domain {
				local = append(local, h)
			}
		}
		m.candidates = rank.Weighted("watch/"+m.Domain, local, v.SizeOf)
		m.candidates = m.candidates[:min(maxWatchers, len(m.candidates))]
		m.candidatesVersion = v.HostsVersion
	}
	return m.candidates
}

// avoid excludes a host as a source for some time after a failed poll.
func (m *Mirror) avoid(host string, err error) {
	duration := unreachableAvoidance
	if errors.Is(err, errNotWatching) {
		duration = notWatchingAvoidance
	}
	m.avoidUntil[host] = m.Clock.Elapsed() + duration
	m.Log.Info("poll of a watching host failed", "host", host, "reason", err.Error())
}

// follow polls a host that watches the store, and applies the changes.
func (m *Mirror) follow(ctx context.Context, host string) error {
	after := m.View().Revision
	b, err := proto.Marshal(&mirrorpb.Poll{
		After:  coltsfootloft.NumberOf(after),
		Era:    coltsfootloft.EraOf(after),
		WaitMs: pollWait.Milliseconds(),
		Packs:  true,
	})
	if err != nil {
		panic(err) // a message of numbers always encodes
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	b, err = m.Peers.Call(ctx, host, dutyName, b)
	if err != nil {
		return errors.Wrap(err, "poll")
	}
	c, err := decodeChanges(b)
	if err != nil {
		return err
	}
	if !c.GetWatching() {
		return errNotWatching
	}
	era := cmp.Or(c.GetEra(), coltsfootloft.EraOf(after))
	m.ObserveEra(era)
	revision := coltsfootloft.RevisionAt(era, c.GetRevision())
	events := make([]coltsfootloft.Event, 0, len(c.GetItems()))
	for _, i := range c.GetItems() {
		r := coltsfootloft.RevisionAt(cmp.Or(i.GetEra(), era), i.GetRevision())
		e := m.Decode(i.GetKey(), i.GetValue(), r, i.GetGone())
		if i.GetCreated() > 0 {
			e.Created = coltsfootloft.RevisionAt(coltsfootloft.EraOf(r), i.GetCreated())
			e.Lease = i.GetLease()
		}
		events = append(events, e)
	}
	switch {
	case c.GetWhole() && revision >= m.View().Revision:
		m.replaceAll(events, revision)
	case len(events) > 0 || revision > m.View().Revision:
		m.applyAll(events, revision)
	}
	return nil
}

// handle answers a poll of another host.
func (m *Mirror) handle(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var p mirrorpb.Poll
	if err := proto.Unmarshal(body, &p); err != nil {
		return nil, errors.Wrap(err, "poll")
	}
	m.ObserveEra(p.GetEra())
	after := coltsfootloft.RevisionAt(cmp.Or(p.GetEra(), coltsfootloft.EraOf(m.View().Revision)), p.GetAfter())
	wait := min(max(p.GetWaitMs(), 0), maxPollWait.Milliseconds())
	c := m.awaitChanges(ctx, after, time.Duration(wait)*time.Millisecond)
	if len(c.GetItems()) > 0 && p.GetPacks() {
		if c.GetWhole() {
			after = 0 // the answer is the same for all hosts that need it
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.packed.encode(c, after)
	}
	b, err := proto.Marshal(c)
	return b, errors.Wrap(err, "changes")
}

func (m *Mirror) isWatching() bool { return m.watching.Load() && m.RecentlyReached() }

// awaitChanges answers with the changes after a revision once there are any, and without
// changes after wait. If this host does not watch the store, it says so at once.
func (m *Mirror) awaitChanges(ctx context.Context, after uint64, wait time.Duration) *mirrorpb.Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := m.Changed()
		revision := m.View().Revision
		c := &mirrorpb.Changes{
			Revision: coltsfootloft.NumberOf(revision),
			Era:      coltsfootloft.EraOf(revision),
			Watching: m.isWatching(),
		}
		if !c.GetWatching() {
			return c
		}
		if revision > after {
			return m.addChanges(c, after)
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

func (m *Mirror) addChanges(c *mirrorpb.Changes, after uint64) *mirrorpb.Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	events, snapshot := m.history.since(after)
	c.Whole = snapshot
	revision := m.view.Load().Revision
	c.Revision = coltsfootloft.NumberOf(revision)
	c.Era = coltsfootloft.EraOf(revision)
	for _, e := range events {
		i := &mirrorpb.Item{
			Key:      e.StoreKey,
			Value:    e.Value,
			Revision: coltsfootloft.NumberOf(e.Revision),
			Gone:     e.Deleted,
		}
		if era := coltsfootloft.EraOf(e.Revision); era != c.GetEra() {
			i.Era = era
		}
		if e.Kind == coltsfootloft.EventProxyKey {
			i.Created = coltsfootloft.NumberOf(e.Created)
			i.Lease = e.Lease
		}
		c.Items = append(c.Items, i)
	}
	return c
}
