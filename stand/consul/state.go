package consul

import (
	"slices"
	"strings"
	"time"
)

// historyAge is the maximum age of a past state that can be read.
const historyAge = 2 * time.Minute

// pair is one key as Consul encodes it in JSON.
type pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// undo is the state of one key before a change. A pair is nil if the key didn't
// exist. The index is the one of the change, removed that of an earlier removal of
// the key, 0 if none.
type undo struct {
	when    time.Time
	key     string
	pair    *pair
	index   uint64
	removed uint64
}

// space is the key space at one point in time. Pairs are immutable: a change replaces
// them. The map removed holds the index of the removal of each removed key.
type space struct {
	index   uint64
	pairs   map[string]*pair
	removed map[string]uint64
}

func newSpace() space {
	return space{
		index:   1,
		pairs:   make(map[string]*pair),
		removed: make(map[string]uint64),
	}
}

// list returns the pairs under prefix, sorted by key, and the index of the last change
// under it.
func (s *space) list(prefix string) ([]*pair, uint64) {
	var found []*pair
	var index uint64
	for k, p := range s.pairs {
		if strings.HasPrefix(k, prefix) {
			found = append(found, p)
			index = max(index, p.ModifyIndex)
		}
	}
	for k, i := range s.removed {
		if strings.HasPrefix(k, prefix) {
			index = max(index, i)
		}
	}
	if index == 0 {
		index = s.index
	}
	slices.SortFunc(found, func(a, b *pair) int { return strings.Compare(a.Key, b.Key) })
	return found, index
}

// get returns the pair of a key, nil if it doesn't exist, and the index that a
// blocking query compares with its own.
func (s *space) get(key string) (*pair, uint64) {
	p := s.pairs[key]
	if p == nil {
		return nil, s.index
	}
	return p, p.ModifyIndex
}

// history is a key space with the undo log of its changes of the last historyAge.
type history struct {
	space
	undos []undo
}

// recordUndo adds the present state of a key to the undo log, and removes entries that
// are too old.
func (h *history) recordUndo(now time.Time, key string) {
	h.undos = append(h.undos, undo{
		when:    now,
		key:     key,
		pair:    h.pairs[key],
		index:   h.index,
		removed: h.removed[key],
	})
	old := 0
	for old < len(h.undos) && now.Sub(h.undos[old].when) > historyAge {
		old++
	}
	h.undos = h.undos[old:]
}

// put stores a pair at the current index.
func (h *history) put(now time.Time, p pair) *pair {
	h.recordUndo(now, p.Key)
	old := h.pairs[p.Key]
	p.CreateIndex = h.index
	if old != nil {
		p.CreateIndex = old.CreateIndex
	}
	p.ModifyIndex = h.index
	h.pairs[p.Key] = &p
	delete(h.removed, p.Key)
	return &p
}

// remove deletes a key at the current index.
func (h *history) remove(now time.Time, key string) {
	if h.pairs[key] == nil {
		return
	}
	h.recordUndo(now, key)
	delete(h.pairs, key)
	h.removed[key] = h.index
}

// at returns the key space as it was at an earlier time.
func (h *history) at(when time.Time) space {
	past := newSpace()
	past.index = h.index
	for k, p := range h.pairs {
		past.pairs[k] = p
	}
	for k, i := range h.removed {
		past.removed[k] = i
	}
	for _, u := range slices.Backward(h.undos) {
		if !u.when.After(when) {
			break
		}
		past.undo(u)
	}
	return past
}

func (s *space) undo(u undo) {
	s.index = u.index - 1
	delete(s.pairs, u.key)
	delete(s.removed, u.key)
	if u.pair != nil {
		s.pairs[u.key] = u.pair
	}
	if u.removed != 0 {
		s.removed[u.key] = u.removed
	}
}
