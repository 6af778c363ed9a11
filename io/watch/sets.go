package watch

import (
	"sync"

	"coltsfootloft/io/watch/watchpb"
)

// maxGroupSets bounds the sets of groups that are remembered for polling hosts.
// A host whose set was dropped sends it again.
const maxGroupSets = 1024

// groupSets remembers the names of the groups that other hosts poll, by their
// hash, so that a poll of many groups is as small as a poll of few. The zero
// value is ready to use.
type groupSets struct {
	mu     sync.Mutex
	byHash map[uint64][]string
}

// names returns the names of the groups that a poll asks for; ok is false if
// they aren't known.
func (s *groupSets) names(p *watchpb.Poll) (names []string, ok bool) {
	if p.GetSet() == 0 {
		return p.GetGroups(), len(p.GetGroups()) > 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(p.GetGroups()) == 0 {
		names, ok = s.byHash[p.GetSet()]
		return names, ok
	}
	if s.byHash == nil || len(s.byHash) >= maxGroupSets {
		s.byHash = make(map[uint64][]string)
	}
	s.byHash[p.GetSet()] = p.GetGroups()
	return p.GetGroups(), true
}
