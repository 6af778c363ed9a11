package change_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// memory is a store in memory that keeps all its past states.
type memory struct {
	mu     sync.Mutex
	states []map[string]coltsfootloft.Entry
}

func newMemory(values map[string]string) *memory {
	first := make(map[string]coltsfootloft.Entry)
	for k, v := range values {
		first[k] = coltsfootloft.NewEntry(k, []byte(v), 1, "")
	}
	return &memory{states: []map[string]coltsfootloft.Entry{{}, first}}
}

// at returns the state before the given number of latest changes.
func (m *memory) at(ago int) map[string]coltsfootloft.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[max(0, len(m.states)-1-ago)]
}

func (m *memory) apply(changes []coltsfootloft.Change) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.states[len(m.states)-1]
	next := maps.Clone(now)
	index := uint64(len(m.states))
	for _, c := range changes {
		if now[c.Key()].Version() != c.Version() {
			return 0, errors.Wrap(coltsfootloft.ErrConflict, c.Key())
		}
		switch c.Kind() {
		case coltsfootloft.ChangePut:
			next[c.Key()] = coltsfootloft.NewEntry(c.Key(), c.Value(), index, "")
		case coltsfootloft.ChangeRemove:
			delete(next, c.Key())
		case coltsfootloft.ChangeRequire:
		}
	}
	m.states = append(m.states, next)
	return index, nil
}

// faultyStore is one operator's access to a memory, with random faults drawn from
// rand; there are none if rand is nil.
type faultyStore struct {
	coltsfootloft.Store
	memory *memory
	rand   *rand.Rand
	// lose is the probability that the answer to a change is lost; the change then
	// takes effect at once, late or never.
	lose float64
	// old is the probability that a read returns a stale state.
	old float64
	// down is the probability that a call fails without effect.
	down float64
	// after, if set, is called once, after the next change.
	after func()
}

func (f *faultyStore) draw(share float64) bool { return f.rand != nil && f.rand.Float64() < share }

func (f *faultyStore) state() (map[string]coltsfootloft.Entry, error) {
	time.Sleep(time.Millisecond)
	if f.draw(f.down) {
		return nil, coltsfootloft.ErrStoreDown
	}
	if f.draw(f.old) {
		return f.memory.at(1 + f.rand.IntN(4)), nil
	}
	return f.memory.at(0), nil
}

func (f *faultyStore) Read(_ context.Context, key string) (coltsfootloft.Entry, error) {
	s, err := f.state()
	if err != nil {
		return coltsfootloft.Entry{}, err
	}
	if e, ok := s[key]; ok {
		return e, nil
	}
	return coltsfootloft.NewEntry(key, nil, 0, ""), nil
}

func (f *faultyStore) List(_ context.Context, prefix string) ([]coltsfootloft.Entry, uint64, error) {
	s, err := f.state()
	if err != nil {
		return nil, 0, err
	}
	var list []coltsfootloft.Entry
	for _, k := range slices.Sorted(maps.Keys(s)) {
		if strings.HasPrefix(k, prefix) {
			list = append(list, s[k])
		}
	}
	return list, 0, nil
}

func (f *faultyStore) Apply(_ context.Context, changes []coltsfootloft.Change) (uint64, error) {
	time.Sleep(time.Millisecond)
	if f.draw(f.down) {
		return 0, coltsfootloft.ErrStoreDown
	}
	if f.draw(f.lose) {
		return 0, f.loseAnswer(changes)
	}
	index, err := f.memory.apply(changes)
	if f.after != nil {
		f.after()
		f.after = nil
	}
	return index, err
}

// loseAnswer applies the change now, late or never, and returns ErrOutcomeUnknown.
func (f *faultyStore) loseAnswer(changes []coltsfootloft.Change) error {
	switch f.rand.IntN(3) {
	case 0:
		_, _ = f.memory.apply(changes)
	case 1:
		late := time.Duration(f.rand.IntN(1000)) * time.Millisecond
		time.AfterFunc(late, func() { _, _ = f.memory.apply(changes) })
	}
	return coltsfootloft.ErrOutcomeUnknown
}
