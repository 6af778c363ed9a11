package feed

import (
	"context"
	"slices"
	"sync"

	"coltsfootloft/core/delta"
	"coltsfootloft/io/feed/feedpb"
)

// maxPush is the largest delta that is pushed, in bytes of values. Of larger ones
// only the revision is pushed, and receivers pull.
const maxPush = 256 << 10

// push is one delta on its way to other hosts.
type push struct {
	// root is the relay whose tree it goes down; empty for single hosts.
	root string
	// to are the hosts, instead of a tree.
	to    []string
	delta delta.Delta
}

// spread sends on what this host has just taken: a relay down its own tree and to
// the relays of other domains, another host down the tree that it came by, or to
// its relays if it came by none.
func (f *Feed) spread(before uint64, root string) {
	f.mu.Lock()
	d := f.table.Since(before)
	f.mu.Unlock()
	if size(d) > maxPush {
		d = delta.NewDelta(d.Since(), d.Revision(), nil)
	}
	self := f.Members.Self()
	mates := f.relaysOf(self.Domain())
	if !slices.Contains(mates, self.Name()) {
		if root == "" {
			f.enqueue(push{
				to:    mates,
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

// enqueue leaves a push to pushDuty. When too many are under way it is dropped:
// the receivers will pull.
func (f *Feed) enqueue(p push) {
	select {
	case f.jobs <- p:
	default:
		f.counts.dropped.Inc()
		f.Log.V(1).Info("push dropped", "revision", p.delta.Revision())
	}
}

// pushDuty makes the pushes, each in a goroutine of its own.
func (f *Feed) pushDuty(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	slots := make(chan struct{}, maxJobs)
	for {
		var p push
		select {
		case p = <-f.jobs:
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
			f.make(ctx, p)
		})
	}
}

func (f *Feed) make(ctx context.Context, p push) {
	body, err := encodePush(p)
	if err != nil {
		f.Log.Error(err, "push not encoded")
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
	tree := treeOf(f.order(f.Members.Self().Domain()), p.root)
	f.descend(ctx, &group, tree, slices.Index(tree, f.Members.Self().Name()), body)
}

// descend sends to the children of a place in the tree, and to the children of
// those that don't answer.
func (f *Feed) descend(ctx context.Context, group *sync.WaitGroup, tree []string, place int, body []byte) {
	if place < 0 {
		return
	}
	for c := place*f.Fan + 1; c <= place*f.Fan+f.Fan && c < len(tree); c++ {
		group.Go(func() {
			if f.send(ctx, tree[c], body) != nil && ctx.Err() == nil {
				f.descend(ctx, group, tree, c, body)
			}
		})
	}
}

// send makes one push and hears the receiver's revision from its answer.
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
	f.Hear(host, a.GetRevision())
	return nil
}

// treeOf returns the hosts in the order of their places in a relay's tree, whose
// root comes first. The second relay's tree has the others in reverse, so that the
// inner hosts of one tree are leaves of the other.
func treeOf(order []string, root string) []string {
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

// pushed takes in a push from another host and passes it on.
func (f *Feed) pushed(ctx context.Context, from string, p *feedpb.Push) {
	d := decodeDelta(p.GetSince(), p.GetRevision(), p.GetRecords())
	offer := len(p.GetRecords()) == 0
	if offer || f.takeDelta(from, p.GetRoot(), d) {
		f.Hear(from, p.GetRevision())
	}
	if p.GetRoot() == "" || !f.first(p.GetRoot(), p.GetRevision()) || ctx.Err() != nil {
		return
	}
	f.enqueue(push{
		root:  p.GetRoot(),
		delta: d,
	})
}

// first reports whether a revision comes down a tree for the first time.
func (f *Feed) first(root string, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forwarded[root] >= revision {
		return false
	}
	f.forwarded[root] = revision
	return true
}
