package share

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/seat"
)

const (
	// storeTimeout bounds a call of the store.
	storeTimeout = 2 * time.Second
	// storeRetry is the pause after a call of the store that failed.
	storeRetry = 500 * time.Millisecond
	// watchTime is how long a watch of the seats waits.
	watchTime = 30 * time.Second
	// holdEvery is the time between decisions about seats.
	holdEvery = 200 * time.Millisecond
	// leaveTime bounds the handing back of seats.
	leaveTime = 2 * time.Second
	// leaveEvery is the time between tries to hand seats back.
	leaveEvery = 50 * time.Millisecond
)

// seating keeps this host's seats and knows the holders of all others.
type seating struct {
	ledger *Ledger

	mutex   sync.Mutex
	table   seat.Table
	others  map[string]*seat.Table
	starts  map[int]start
	active  []int
	until   time.Time
	left    map[int]map[string]float64
	failed  time.Time
	reached time.Time
}

// start is what the parts of a seat begin with.
type start struct {
	fresh  bool
	tokens map[string]float64
}

// use is the seats that this host may use now.
type use struct {
	domain  string
	seats   []int
	until   time.Time
	started map[int]start
}

// start names this host in its table.
func (s *seating) start() {
	self := s.ledger.Members.Self()
	s.table.Host = self.Name()
	s.table.Run = s.ledger.RunName
	s.table.Domain = self.Domain()
	s.table.Prefix = cmp.Or(s.ledger.Prefix, DefaultPrefix) + self.Domain() + "/"
}

// configure takes new settings of the domains in.
func (s *seating) configure(domains []Domain) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix := cmp.Or(s.ledger.Prefix, DefaultPrefix)
	s.table.Layout = seat.Layout{}
	others := make(map[string]*seat.Table)
	for _, d := range domains {
		layout := seat.Layout{
			Seats:   d.Seats,
			Domains: len(domains),
		}
		if d.Name == s.table.Domain {
			s.table.Layout = layout
			continue
		}
		others[d.Name] = &seat.Table{
			Domain: d.Name,
			Layout: layout,
			Prefix: prefix + d.Name + "/",
		}
		if o, ok := s.others[d.Name]; ok {
			o.Layout = layout
			others[d.Name] = o
		}
	}
	s.others = others
	s.table.Stale()
}

// use returns the seats that may be used now; what they start with is returned
// once.
func (s *seating) use(now time.Time) use {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	numbers, until := s.table.Held(now)
	started := make(map[int]start)
	for _, n := range numbers {
		if b, ok := s.starts[n]; ok {
			started[n] = b
			delete(s.starts, n)
		}
	}
	if !slices.Equal(numbers, s.active) {
		s.ledger.Log.Info("seats in use", "seats", numbers, "until", until)
	}
	s.active = numbers
	s.until = until
	return use{
		domain:  s.table.Domain,
		seats:   numbers,
		until:   until,
		started: started,
	}
}

func (s *seating) held() (numbers []int, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Held(s.ledger.Clock.Now())
}

func (s *seating) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Tick(s.ledger.Clock.Now())
}

// holder names the host that holds a seat, as far as known.
func (s *seating) holder(domain string, n int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if domain == s.table.Domain {
		return s.table.Holder(n)
	}
	if o, ok := s.others[domain]; ok {
		return o.Holder(n)
	}
	return ""
}

// observe takes in what the store lists of all seats.
func (s *seating) observe(entries []coltsfootloft.Entry) {
	now := s.ledger.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Observe(now, under(entries, s.table.Prefix))
	for _, o := range s.others {
		o.Observe(now, under(entries, o.Prefix))
	}
}

func under(entries []coltsfootloft.Entry, prefix string) []coltsfootloft.Entry {
	var r []coltsfootloft.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key(), prefix) {
			r = append(r, e)
		}
	}
	return r
}

// watchDuty follows the seats of all domains.
func (s *seating) watchDuty(ctx context.Context) {
	prefix := cmp.Or(s.ledger.Prefix, DefaultPrefix)
	var index uint64
	for ctx.Err() == nil {
		entries, next, err := s.ledger.Store.Watch(ctx, prefix, index, watchTime)
		s.note(err)
		if err != nil {
			index = 0
			s.ledger.pause(ctx, storeRetry)
			continue
		}
		index = next
		s.observe(entries)
		s.ledger.apply()
	}
}

// renewDuty keeps a platform session.
func (s *seating) renewDuty(ctx context.Context) {
	for ctx.Err() == nil {
		if s.renew(ctx) {
			s.ledger.apply()
			s.ledger.pause(ctx, seat.RenewEvery)
		} else {
			s.ledger.pause(ctx, storeRetry)
		}
	}
}

func (s *seating) renew(ctx context.Context) bool {
	s.mutex.Lock()
	session := s.table.Session()
	s.mutex.Unlock()
	sent := s.ledger.Clock.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if session == "" {
		return s.open(call, sent)
	}
	err := s.ledger.Store.RenewSession(call, session)
	s.note(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil:
		s.table.SessionRenewed(session, sent)
	case errors.Is(err, coltsfootloft.ErrNoSession):
		s.ledger.Log.Info("session of seats has ended", "session", session)
		s.table.SessionEnded(session)
	}
	return err == nil
}

func (s *seating) open(ctx context.Context, sent time.Time) bool {
	session, err := s.ledger.Store.OpenSession(ctx, "seats of "+s.table.Host, seat.SessionTTL)
	s.note(err)
	if err != nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.SessionOpened(session, sent)
	return true
}

// note remembers whether the store can be reached.
func (s *seating) note(err error) {
	now := s.ledger.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil || errors.Is(err, coltsfootloft.ErrNoSession) || errors.Is(err, coltsfootloft.ErrConflict) {
		s.reached = now
	} else {
		s.failed = now
	}
}

// mates returns the live hosts of this domain, self included.
func (s *seating) mates() []string {
	self := s.ledger.Members.Self()
	names := map[string]bool{self.Name(): true}
	for _, h := range s.ledger.Members.Alive() {
		if h.Domain() == self.Domain() && !h.Upstream() && !h.Leaving() {
			names[h.Name()] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// pause waits for d or until ctx ends.
func (l *Ledger) pause(ctx context.Context, d time.Duration) {
	t := l.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}
