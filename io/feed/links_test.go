package feed

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/member"
	"coltsfootloft/io/peer"
)

// startOverLinks runs a host that uses real peer links.
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
		HeadKey: testHead,
	}
	view.Revision = feed.Revision
	view.OnRevision = feed.ObserveRevision
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

// TestOverPeerLinks measures the bytes that idle hosts write to real links, and the
// memory that they take. The write rate must stay below 4096 bytes per second and
// host.
func TestOverPeerLinks(t *testing.T) {
	t.Parallel()
	sizes := []int{15}
	if *measure {
		sizes = []int{15, 60, 120}
	}
	for _, n := range sizes {
		f := newFleet(t, 0, 1)
		var all []*peer.Links
		var first []coltsfootloft.HostRecord
		for i := range n {
			h, l := f.startOverLinks(fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%3), first...)
			all = append(all, l)
			if i < 3 {
				first = append(first, h.record)
			}
		}
		f.await("start", f.mustApply(value("0")), changeLimit, nil)
		f.await("change", f.mustApply(value("1")), changeLimit, nil)
		settle := time.Second
		if *measure {
			settle = 20 * time.Second
		}
		time.Sleep(settle)
		before := wireBytes(all)
		time.Sleep(3500 * time.Millisecond)
		rate := float64(wireBytes(all)-before) / 3.5 / float64(n)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		t.Logf("%d hosts: %.0f B/s a host written to links, %d KB of heap and stacks a host",
			n, rate, (memory.HeapInuse+memory.StackInuse)/uint64(n)/1024)
		assert.Assert(t, rate < 4096)
		for _, h := range f.hosts {
			h.stop()
		}
	}
}

func wireBytes(all []*peer.Links) uint64 {
	var sum uint64
	for _, l := range all {
		sum += l.WireSent()
	}
	return sum
}
