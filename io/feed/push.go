package feed

import (
	"context"
	"slices"
	"sync"

	"coltsfootloft/core/delta"
	"coltsfootloft/io/feed/feedpb"
)

// maxPush is the largest delta that is pushed, in bytes of keys and values. For a
// larger one only the revision is pushed, and receivers pull.
const maxPush = 256 << 10

// push is a delta to be sent to other hosts.
type push struct {
	// root is the relay at the root of the tree along which the push is
	// forwarded; empty if it goes to the hosts in to.
	root string
	// to lists the receivers if there is no root.
	to []string
	// delta holds the records to send; with no records, only the revision is
	// announced.
	delta delta.Delta
}

// propagate enqueues the changes after revision since, which this host has just
// applied. A relay pushes them down its own tree and announces the revision to the
// first relay of each other domain. Another host pushes them to the relays of its
// domain, unless they came down a tree with the given root: handlePush forwards
// those.
func (f *Feed) propagate(since uint64, root string) {
	f.mu.Lock()
	d := f.table.Since(since)
	f.mu.Unlock()
	if payloadSize(d) > maxPush {
		d = delta.NewDelta(d.Since(), d.Revision(), nil)
	}
	self := f.Members.Self()
	localRelays := f.relaysOf(self.Domain())
	if !slices.Contains(localRelays, self.Name()) {
		if root == "" {
			f.enqueue(push{
				to:    localRelays,
				delta: d,
			})
		}
		return
	}
	f.enqueue(push{
		root:  self.Name(),
		delta: d,
	})
	f.enqueue(push{
		to:    f.otherRelays(),
		delta: delta.NewDelta(d.Since(), d.Revision(), nil),
	})
}

// otherRelays returns the first relay of each other domain.
func (f *Feed) otherRelays() []string {
	own := f.Members.Self().Domain()
	seen := map[string]bool{own: true}
	var all []string
	for _, h := range f.Members.Alive() {
		if h.Upstream() || seen[h.Domain()] {
			continue
		}
		seen[h.Domain()] = true
		all = append(all, f.relaysOf(h.Domain())[:1]...)
	}
	return all
}

// enqueue passes a push to pushLoop. If the queue is full the push is dropped, and
// the receivers pull once a heartbeat has told them of the revision.
func (f *Feed) enqueue(p push) {
	select {
	case f.pushes <- p:
	default:
		f.counts.dropped.Inc()
		f.Log.V(1).Info("dropped a settings push, queue full", "revision", p.delta.Revision())
	}
}

// pushLoop sends the enqueued pushes, each in its own goroutine.
func (f *Feed) pushLoop(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxPushes)
	for {
		var p push
		select {
		case p = <-f.pushes:
		case <-ctx.Done():
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		group.Go(func() {
			defer func() { <-slots }()
			f.deliver(ctx, p)
		})
	}
}

// deliver sends a push to its receivers, or to this host's children in the tree.
func (f *Feed) deliver(ctx context.Context, p push) {
	body, err := encodePush(p)
	if err != nil {
		f.Log.Error(err, "settings push could not be encoded")
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	if p.root == "" {
		for _, h := range p.to {
			group.Go(func() { _ = f.send(ctx, h, body) })
		}
		return
	}
	tree := treeOrder(f.order(f.Members.Self().Domain()), p.root)
	f.sendToChildren(ctx, &group, tree, slices.Index(tree, f.Members.Self().Name()), body)
}

// sendToChildren sends body to the children of the host at index in the tree. If a
// child doesn't answer, it sends to that child's children instead.
func (f *Feed) sendToChildren(ctx context.Context, group *sync.WaitGroup, tree []string, index int, body []byte) {
	if index < 0 {
		return
	}
	for c := index*f.FanOut + 1; c <= index*f.FanOut+f.FanOut && c < len(tree); c++ {
		group.Go(func() {
			if f.send(ctx, tree[c], body) != nil && ctx.Err() == nil {
				f.sendToChildren(ctx, group, tree, c, body)
			}
		})
	}
}

// send pushes body to one host and records the revision in its answer, which may be
// newer than this host's.
func (f *Feed) send(ctx context.Context, host string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := f.Peers.Call(ctx, host, Duty, body)
	if err != nil {
		return err
	}
	a, err := decodeAnswer(b)
	if err != nil {
		return err
	}
	f.ObserveRevision(host, a.GetRevision())
	return nil
}

// treeOrder returns the hosts of a relay's tree in breadth-first order, root first:
// the children of index i are at i*FanOut+1 to i*FanOut+FanOut. It returns nil if
// root is not among the hosts. The second relay's tree has the other hosts in
// reverse order, so that the inner hosts of one tree are leaves of the other.
func treeOrder(order []string, root string) []string {
	i := slices.Index(order, root)
	if i < 0 {
		return nil
	}
	rest := slices.Delete(slices.Clone(order), i, i+1)
	if i > 0 {
		slices.Reverse(rest)
	}
	return append([]string{root}, rest...)
}

// handlePush applies a push of another host and forwards it down the tree. If the
// push has no records or does not follow this host's revision, the host pulls from
// the sender instead.
func (f *Feed) handlePush(ctx context.Context, from string, p *feedpb.Push) {
	d := decodeDelta(p.GetSince(), p.GetRevision(), p.GetRecords())
	revisionOnly := len(p.GetRecords()) == 0
	if revisionOnly || f.applyDelta(from, p.GetRoot(), d) {
		f.ObserveRevision(from, p.GetRevision())
	}
	if p.GetRoot() == "" || !f.markForwarded(p.GetRoot(), p.GetRevision()) || ctx.Err() != nil {
		return
	}
	f.enqueue(push{
		root:  p.GetRoot(),
		delta: d,
	})
}

// markForwarded reports whether a revision is newer than all that have come down
// the tree of root before, and records it.
func (f *Feed) markForwarded(root string, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forwarded[root] >= revision {
		return false
	}
	f.forwarded[root] = revision
	return true
}
