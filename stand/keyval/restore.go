package keyval

import "time"

// eraHeader is the header of all answers with the era of the store.
const eraHeader = "Store-Era"

// Backup is a copy of the state of a [Server].
type Backup struct {
	revision  uint64
	items     map[string]Item
	leases    map[uint64]time.Duration
	lastLease uint64
}

// Backup copies the present state.
func (s *Server) Backup() Backup {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{
		revision:  s.revision,
		items:     make(map[string]Item, len(s.items)),
		leases:    make(map[uint64]time.Duration, len(s.leases)),
		lastLease: s.lastLease,
	}
	for k, i := range s.items {
		b.items[k] = i
	}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore returns the store to the state of a backup and begins a new era. Revisions and
// lease ids after the backup are given out again. Leases of the backup run anew. Watches
// are answered 410.
func (s *Server) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = b.revision
	s.compacted = b.revision
	s.history = nil
	s.lastLease = b.lastLease
	s.items = make(map[string]Item, len(b.items))
	for k, i := range b.items {
		s.items[k] = i
	}
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = make(map[uint64]*lease, len(b.leases))
	for id, ttl := range b.leases {
		s.startLease(id, ttl)
	}
	s.wakeWatches()
}

// startLease starts a lease. The caller holds the lock.
func (s *Server) startLease(id uint64, ttl time.Duration) {
	l := &lease{ttl: ttl}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id, l) })
	s.leases[id] = l
}
