package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/member"
	"coltsfootloft/io/peer"

	"gotest.tools/v3/assert"
)

// startOverLinks runs a host on real peer links.
func (f *fleet) startOverLinks(name, domain string, bootstrap ...coltsfootloft.HostRecord) (*host, *peer.Links) {
	view := &member.View{
		Store:     f.store,
		Bootstrap: bootstrap,
	}
	links := &peer.Links{
		Self:    name,
		Listen:  "127.0.0.1:0",
		Resolve: view.Resolve,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(f.t, links.Run(ctx)) })
	view.Host = coltsfootloft.NewHost(name, domain, links.Addr())
	view.Peers = links
	feed := &Feed{
		Store:   f.store,
		Peers:   links,
		Members: view,
		Prefix:  testPrefix,
		Head:    testHead,
	}
	view.Revision = feed.Revision
	view.OnRevision = feed.Hear
	group.Go(func() { _ = feed.Run(ctx) })
	group.Go(func() { _ = view.Run(ctx) })
	h := &host{
		record: view.Host,
		source: feed,
		stop: func() {
			cancel()
			group.Wait()
		},
	}
	f.hosts[name] = h
	return h, links
}

func TestOverPeerLinks(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 1)
	var all []*peer.Links
	var first []coltsfootloft.HostRecord
	for i := range 15 {
		h, l := f.startOverLinks(fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%3), first...)
		all = append(all, l)
		if i == 0 {
			first = append(first, h.record)
		}
	}
	f.await("start", f.mustApply(value("0")), inForce, nil)
	f.await("change", f.mustApply(value("1")), inForce, nil)
	time.Sleep(time.Second)
	before := wire(all)
	time.Sleep(3 * time.Second)
	rate := float64(wire(all)-before) / 3 / float64(len(all))
	t.Logf("15 hosts: %.0f B/s a host written to links when nothing changes", rate)
	assert.Assert(t, rate < 4096)
}

func wire(all []*peer.Links) uint64 {
	var sum uint64
	for _, l := range all {
		sum += l.WireSent()
	}
	return sum
}
