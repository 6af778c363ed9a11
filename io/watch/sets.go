package watch

import (
	"sync"

	"coltsfootloft/io/watch/watchpb"
)

// setsKept bounds the sets of groups that are remembered for polling hosts. A
// host whose set was dropped sends it again.
const setsKept = 1024

// sets remembers the names that other hosts poll, by their hash, so that a poll
// of many groups is as small as one of few. The zero value is ready.
type sets struct {
	mu    sync.Mutex
	known map[uint64][]string
}

// names returns the groups of a poll; ok is false if they aren't known.
func (s *sets) names(p *watchpb.Poll) (names []string, ok bool) {
	if p.GetSet() == 0 {
		return p.GetGroups(), len(p.GetGroups()) > 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(p.GetGroups()) == 0 {
		names, ok = s.known[p.GetSet()]
		return names, ok
	}
	if s.known == nil || len(s.known) >= setsKept {
		s.known = make(map[uint64][]string)
	}
	s.known[p.GetSet()] = p.GetGroups()
	return p.GetGroups(), true
}
