package feed

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/member"
	"coltsfootloft/io/store"
	"coltsfootloft/stand/consul"
	"coltsfootloft/stand/mesh"
)

const (
	testPrefix = "coltsfootloft/settings/"
	testHead   = "head"
)

var (
	// naive replaces feeds by pollers, for comparison.
	naive = flag.Bool("naive", false, "let every host poll the store")
	// ignoreHeartbeats makes hosts ignore the revisions in heartbeats, so that only
	// pushes and initial pulls distribute settings.
	ignoreHeartbeats = flag.Bool("deaf", false, "ignore revisions in heartbeats")
	// measure adds larger fleets to the tests that measure.
	measure = flag.Bool("measure", false, "measure larger fleets")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// source is a Feed or a poller.
type source interface {
	Run(ctx context.Context) error
	Snapshot() (uint64, map[string][]byte)
	Changed() <-chan struct{}
}

// poller is the naive alternative to a Feed: it reads the store each second and uses
// whatever it returns.
type poller struct {
	store coltsfootloft.Store

	mu       sync.Mutex
	revision uint64
	entries  map[string][]byte
	changed  chan struct{}
}

func (p *poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		list, index, err := p.store.List(ctx, testPrefix)
		if err == nil {
			entries := make(map[string][]byte)
			for _, e := range list {
				entries[e.Key()[len(testPrefix):]] = e.Value()
			}
			p.mu.Lock()
			if index != p.revision {
				p.revision, p.entries = index, entries
				close(p.changed)
				p.changed = make(chan struct{})
			}
			p.mu.Unlock()
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return nil
}

func (p *poller) Snapshot() (uint64, map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision, p.entries
}

func (p *poller) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// fleet is a set of hosts on a simulated network with one platform server.
type fleet struct {
	t           *testing.T
	mesh        *mesh.Mesh
	server      *consul.Server
	store       *store.Consul
	records     []coltsfootloft.HostRecord
	hosts       map[string]*host
	cut         map[string]*atomic.Bool
	regressions atomic.Int64
	fan         int
}

type host struct {
	record coltsfootloft.HostRecord
	source source
	port   *mesh.Port
	stop   func()
}

// cutStore is the store as seen by the hosts of one domain. It is unreachable while
// cut is true.
type cutStore struct {
	*store.Consul
	cut *atomic.Bool
}

func (s cutStore) List(ctx context.Context, prefix string) ([]coltsfootloft.Entry, uint64, error) {
	if s.cut.Load() {
		return nil, 0, coltsfootloft.ErrStoreDown
	}
	return s.Consul.List(ctx, prefix)
}

func (s cutStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]coltsfootloft.Entry, uint64, error) {
	if s.cut.Load() {
		return nil, 0, coltsfootloft.ErrStoreDown
	}
	list, index, err := s.Consul.Watch(ctx, prefix, after, wait)
	if s.cut.Load() {
		return nil, 0, coltsfootloft.ErrStoreDown
	}
	return list, index, err
}

func (s cutStore) WatchHosts(ctx context.Context, after uint64, wait time.Duration) ([]coltsfootloft.HostRecord, uint64, error) {
	if s.cut.Load() {
		return nil, 0, coltsfootloft.ErrStoreDown
	}
	return s.Consul.WatchHosts(ctx, after, wait)
}

func newFleet(t *testing.T, n, domains int) *fleet {
	t.Helper()
	f := &fleet{
		t:      t,
		mesh:   &mesh.Mesh{Delay: time.Millisecond},
		server: &consul.Server{Listen: "127.0.0.1:0"},
		hosts:  make(map[string]*host),
		cut:    make(map[string]*atomic.Bool),
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.server.Run(ctx) }()
	f.store = &store.Consul{Addresses: []string{f.server.Addr()}}
	t.Cleanup(func() {
		var group sync.WaitGroup
		for _, h := range f.hosts {
			group.Go(h.stop)
		}
		group.Wait()
		f.store.Close()
		stop()
		assert.NilError(t, <-done)
	})
	for i := range n {
		d := fmt.Sprintf("d%d", i%domains)
		f.cut[d] = &atomic.Bool{}
		r := coltsfootloft.NewHost(fmt.Sprintf("h%03d", i), d, fmt.Sprintf("10.0.0.1:%d", i+1))
		f.records = append(f.records, r)
		f.server.Register(r)
	}
	return f
}

func (f *fleet) startAll() {
	for _, r := range f.records {
		f.start(r)
	}
}

// start runs a host, and counts each time that its settings regress.
func (f *fleet) start(r coltsfootloft.HostRecord) {
	s := cutStore{
		Consul: f.store,
		cut:    f.cut[r.Domain()],
	}
	h := &host{
		record: r,
		port:   f.mesh.Join(r.Name(), r.Domain()),
	}
	view := &member.View{
		Host:      r,
		Peers:     h.port,
		Store:     s,
		Bootstrap: f.records[:min(3, len(f.records))],
	}
	feed := &Feed{
		Store:   s,
		Peers:   h.port,
		Members: view,
		Prefix:  testPrefix,
		HeadKey: testHead,
		FanOut:  f.fan,
	}
	view.Revision = feed.Revision
	if !*ignoreHeartbeats {
		view.OnRevision = feed.ObserveRevision
	}
	h.source = feed
	if *naive {
		h.source = &poller{
			store:   s,
			changed: make(chan struct{}),
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = h.source.Run(ctx) })
	group.Go(func() { _ = view.Run(ctx) })
	group.Go(func() { f.countRegressions(ctx, h.source) })
	h.stop = func() {
		cancel()
		group.Wait()
	}
	f.hosts[r.Name()] = h
}

// countRegressions counts the times that a host's revision, or the number in its head
// key, decreases.
func (f *fleet) countRegressions(ctx context.Context, s source) {
	var last uint64
	var head string
	for {
		changed := s.Changed()
		revision, entries := s.Snapshot()
		now := string(entries[testHead])
		if revision < last || now < head {
			f.regressions.Add(1)
		}
		last, head = revision, now
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// apply makes one change as the operators' tool does: the given keys and the head
// key in one transaction. A nil value removes the key.
func (f *fleet) apply(keys map[string][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	list, _, err := f.store.List(ctx, testPrefix)
	if err != nil {
		return 0, err
	}
	version := make(map[string]uint64)
	count := 0
	for _, e := range list {
		k := e.Key()[len(testPrefix):]
		version[k] = e.Version()
		if k == testHead {
			_, _ = fmt.Sscanf(string(e.Value()), "%d", &count)
		}
	}
	changes := []coltsfootloft.Change{
		coltsfootloft.Put(testPrefix+testHead, fmt.Appendf(nil, "%08d", count+1), version[testHead]),
	}
	for k, v := range keys {
		if v == nil {
			changes = append(changes, coltsfootloft.Remove(testPrefix+k, version[k]))
			continue
		}
		changes = append(changes, coltsfootloft.Put(testPrefix+k, v, version[k]))
	}
	return f.store.Apply(ctx, changes)
}

func (f *fleet) mustApply(keys map[string][]byte) uint64 {
	f.t.Helper()
	r, err := f.apply(keys)
	assert.NilError(f.t, err)
	return r
}

// await waits until all hosts have the revision in force, or only those that include
// selects unless it is nil, and returns the time that took.
func (f *fleet) await(phase string, revision uint64, limit time.Duration, include func(h *host) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		all, behind := 0, 0
		for _, h := range f.hosts {
			if include != nil && !include(h) {
				continue
			}
			all++
			if r, _ := h.source.Snapshot(); r < revision {
				behind++
			}
		}
		took := time.Since(start)
		if behind == 0 {
			f.t.Logf("%s: %d hosts after %v", phase, all, took.Round(time.Millisecond))
			return took
		}
		if took > limit {
			f.t.Errorf("%s: %d of %d hosts not after %v", phase, behind, all, limit)
			return took
		}
		time.Sleep(2 * time.Millisecond)
	}
}
