package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// fakeStore is an in-memory store of the platform, with sessions that expire.
type fakeStore struct {
	mutex    sync.Mutex
	entries  map[string]coltsfootloft.Entry
	sessions map[string]time.Time
	ttl      map[string]time.Duration
	index    uint64
	changed  chan struct{}
	down     bool
	calls    int
	random   *rand.Rand
	// uncertain is the probability that the answer to a change is lost.
	uncertain float64
}

func newFakeStore(random *rand.Rand) *fakeStore {
	return &fakeStore{
		entries:  map[string]coltsfootloft.Entry{},
		sessions: map[string]time.Time{},
		ttl:      map[string]time.Duration{},
		changed:  make(chan struct{}),
		random:   random,
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *fakeStore) setUncertain(probability float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.uncertain = probability
}

func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends expired sessions. The mutex is held.
func (s *fakeStore) expire() {
	now := time.Now()
	for id, end := range s.sessions {
		if !now.Before(end) {
			s.end(id)
		}
	}
}

func (s *fakeStore) end(id string) {
	delete(s.sessions, id)
	for k, e := range s.entries {
		if e.Session() == id {
			s.index++
			s.entries[k] = coltsfootloft.NewEntry(k, e.Value(), s.index, "")
		}
	}
	s.wake()
}

func (s *fakeStore) list(prefix string) []coltsfootloft.Entry {
	var r []coltsfootloft.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			r = append(r, e)
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key() < r[j].Key() })
	return r
}

func (s *fakeStore) apply(changes []coltsfootloft.Change) (uint64, error) {
	for _, c := range changes {
		e := s.entries[c.Key()]
		if e.Version() != c.Version() {
			return 0, coltsfootloft.ErrConflict
		}
		if c.Session() != "" {
			if e.Session() != "" && e.Session() != c.Session() {
				return 0, coltsfootloft.ErrConflict
			}
			if _, ok := s.sessions[c.Session()]; !ok {
				return 0, coltsfootloft.ErrNoSession
			}
		}
	}
	s.index++
	for _, c := range changes {
		switch c.Kind() {
		case coltsfootloft.ChangePut:
			session := s.entries[c.Key()].Session()
			if c.Session() != "" {
				session = c.Session()
			}
			s.entries[c.Key()] = coltsfootloft.NewEntry(c.Key(), c.Value(), s.index, session)
		case coltsfootloft.ChangeRemove:
			delete(s.entries, c.Key())
		case coltsfootloft.ChangeRequire:
		}
	}
	s.wake()
	return s.index, nil
}

// storeView is one host's access to the store.
type storeView struct {
	*fakeStore
	node *node
}

// enter waits for the latency of the store and locks it.
func (v storeView) enter(ctx context.Context) error {
	v.node.waitWhilePaused()
	select {
	case <-time.After(2 * time.Millisecond):
	case <-ctx.Done():
		return coltsfootloft.ErrStoreDown
	}
	v.mutex.Lock()
	if v.down || v.node.isCutFromStore() {
		v.mutex.Unlock()
		return coltsfootloft.ErrStoreDown
	}
	v.calls++
	v.expire()
	return nil
}

func (v storeView) lost() bool { return v.random.Float64() < v.uncertain }

func (v storeView) Read(ctx context.Context, key string) (coltsfootloft.Entry, error) {
	if err := v.enter(ctx); err != nil {
		return coltsfootloft.Entry{}, err
	}
	defer v.mutex.Unlock()
	return v.entries[key], nil
}

func (v storeView) List(ctx context.Context, prefix string) ([]coltsfootloft.Entry, uint64, error) {
	if err := v.enter(ctx); err != nil {
		return nil, 0, err
	}
	defer v.mutex.Unlock()
	return v.list(prefix), v.index, nil
}

func (v storeView) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]coltsfootloft.Entry, uint64, error) {
	deadline := time.Now().Add(wait)
	first := true
	for {
		if err := v.enter(ctx); err != nil {
			return nil, 0, err
		}
		if !first {
			v.calls--
		}
		first = false
		index, changed := v.index, v.changed
		list := v.list(prefix)
		v.mutex.Unlock()
		if index != after || !time.Now().Before(deadline) {
			v.node.waitWhilePaused()
			return list, index, nil
		}
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (v storeView) Apply(ctx context.Context, changes []coltsfootloft.Change) (uint64, error) {
	if err := v.enter(ctx); err != nil {
		return 0, err
	}
	index, err := v.apply(changes)
	lost := v.lost()
	v.mutex.Unlock()
	v.node.waitWhilePaused()
	if lost {
		return 0, coltsfootloft.ErrOutcomeUnknown
	}
	return index, err
}

func (v storeView) OpenSession(ctx context.Context, _ string, ttl time.Duration) (string, error) {
	if err := v.enter(ctx); err != nil {
		return "", err
	}
	defer v.mutex.Unlock()
	v.index++
	id := fmt.Sprintf("session-%d", v.index)
	v.sessions[id] = time.Now().Add(ttl)
	v.ttl[id] = ttl
	if v.lost() {
		return "", coltsfootloft.ErrOutcomeUnknown
	}
	return id, nil
}

func (v storeView) RenewSession(ctx context.Context, session string) error {
	if err := v.enter(ctx); err != nil {
		return err
	}
	defer v.mutex.Unlock()
	if _, ok := v.sessions[session]; !ok {
		return errors.WithStack(coltsfootloft.ErrNoSession)
	}
	v.sessions[session] = time.Now().Add(v.ttl[session])
	if v.lost() {
		return coltsfootloft.ErrOutcomeUnknown
	}
	return nil
}

func (v storeView) CloseSession(ctx context.Context, session string) error {
	if err := v.enter(ctx); err != nil {
		return err
	}
	defer v.mutex.Unlock()
	v.end(session)
	return nil
}

func (v storeView) Hosts(context.Context) ([]coltsfootloft.HostRecord, error) { return nil, nil }

// peerView is one host's access to the network.
type peerView struct {
	fleet   *fleet
	node    *node
	handler coltsfootloft.Handler
}

func (p *peerView) Register(_ string, h coltsfootloft.Handler) { p.handler = h }

var errLost = errors.New("lost")

// Call delivers the request even if the caller has given up meanwhile.
func (p *peerView) Call(ctx context.Context, host, _ string, body []byte) ([]byte, error) {
	p.node.waitWhilePaused()
	p.fleet.count(len(body))
	answer := make(chan []byte, 1)
	go p.deliver(host, body, answer)
	select {
	case r := <-answer:
		p.node.waitWhilePaused()
		return r, ctx.Err()
	case <-ctx.Done():
		p.node.waitWhilePaused()
		return nil, errLost
	}
}

func (p *peerView) deliver(host string, body []byte, answer chan<- []byte) {
	if !p.fleet.transmit(p.node.record.Domain(), host) {
		return
	}
	to := p.fleet.node(host)
	if to == nil {
		return
	}
	to.waitWhilePaused()
	if !to.isRunning() {
		return
	}
	r, err := to.peers.handler(context.Background(), p.node.record.Name(), body)
	if err != nil {
		return
	}
	p.fleet.count(len(r))
	if p.fleet.transmit(p.node.record.Domain(), host) {
		answer <- r
	}
}
