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
	// storeRetry is the pause after a failed call of the store.
	storeRetry = 500 * time.Millisecond
	// watchTimeout bounds the wait of one watch call for a change of the seats.
	watchTimeout = 30 * time.Second
	// updateEvery is the time between decisions about seats.
	updateEvery = 200 * time.Millisecond
	// leaveTimeout bounds the time to hand all seats back.
	leaveTimeout = 2 * time.Second
	// leaveEvery is the time between attempts to hand seats back.
	leaveEvery = 50 * time.Millisecond
)

// seatManager holds this host's seats and tracks the holders of all others.
type seatManager struct {
	limiter *Limiter

	mutex   sync.Mutex
	table   seat.Table
	others  map[string]*seat.Table
	initial map[int]initialTokens
	active  []int
	until   time.Time
	// leftover holds the tokens of draining seats by account.
	leftover map[int]map[string]float64
	// failed and reached are the times of the latest failed and answered store calls.
	failed  time.Time
	reached time.Time
}

// initialTokens is what the bucket of each account receives when a seat is taken.
type initialTokens struct {
	firstTake bool
	tokens    map[string]float64
}

// activeSeats lists the seats that this host may use now.
type activeSeats struct {
	domain  string
	seats   []int
	until   time.Time
	initial map[int]initialTokens
}

// identify sets the names of this host in its table.
func (s *seatManager) identify() {
	self := s.limiter.Members.Self()
	s.table.Host = self.Name()
	s.table.Run = s.limiter.RunName
	s.table.Domain = self.Domain()
	s.table.Prefix = cmp.Or(s.limiter.Prefix, DefaultPrefix) + self.Domain() + "/"
}

// configure applies new settings of the failure domains.
func (s *seatManager) configure(domains []Domain) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix := cmp.Or(s.limiter.Prefix, DefaultPrefix)
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
	s.table.MarkStale()
}

// activate returns the seats that may be used now. The initial tokens of a seat are
// returned only once.
func (s *seatManager) activate(now time.Time) activeSeats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	numbers, until := s.table.Held(now)
	started := make(map[int]initialTokens)
	for _, n := range numbers {
		if b, ok := s.initial[n]; ok {
			started[n] = b
			delete(s.initial, n)
		}
	}
	if !slices.Equal(numbers, s.active) {
		s.limiter.Log.Info("seats in use", "seats", numbers, "until", until)
	}
	s.active = numbers
	s.until = until
	return activeSeats{
		domain:  s.table.Domain,
		seats:   numbers,
		until:   until,
		initial: started,
	}
}

func (s *seatManager) held() (numbers []int, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Held(s.limiter.Clock.Now())
}

func (s *seatManager) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Tick(s.limiter.Clock.Now())
}

// holder returns the name of the host that holds a seat, or "" if it is not known.
func (s *seatManager) holder(domain string, n int) string {
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

// observe applies a listing of all seats from the store.
func (s *seatManager) observe(entries []coltsfootloft.Entry) {
	now := s.limiter.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Observe(now, withPrefix(entries, s.table.Prefix))
	for _, o := range s.others {
		o.Observe(now, withPrefix(entries, o.Prefix))
	}
}

func withPrefix(entries []coltsfootloft.Entry, prefix string) []coltsfootloft.Entry {
	var r []coltsfootloft.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key(), prefix) {
			r = append(r, e)
		}
	}
	return r
}

// watchLoop watches the seats of all failure domains.
func (s *seatManager) watchLoop(ctx context.Context) {
	prefix := cmp.Or(s.limiter.Prefix, DefaultPrefix)
	var index uint64
	for ctx.Err() == nil {
		entries, next, err := s.limiter.Store.Watch(ctx, prefix, index, watchTimeout)
		s.recordCall(err)
		if err != nil {
			index = 0
			s.limiter.sleep(ctx, storeRetry)
			continue
		}
		index = next
		s.observe(entries)
		s.limiter.apply()
	}
}

// renewLoop opens a platform session and renews it.
func (s *seatManager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if s.renew(ctx) {
			s.limiter.apply()
			s.limiter.sleep(ctx, seat.RenewEvery)
		} else {
			s.limiter.sleep(ctx, storeRetry)
		}
	}
}

func (s *seatManager) renew(ctx context.Context) bool {
	s.mutex.Lock()
	session := s.table.Session()
	s.mutex.Unlock()
	sent := s.limiter.Clock.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if session == "" {
		return s.open(call, sent)
	}
	err := s.limiter.Store.RenewSession(call, session)
	s.recordCall(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil:
		s.table.SessionRenewed(session, sent)
	case errors.Is(err, coltsfootloft.ErrNoSession):
		s.limiter.Log.Info("platform session of the seats has ended", "session", session)
		s.table.SessionEnded(session)
	}
	return err == nil
}

func (s *seatManager) open(ctx context.Context, sent time.Time) bool {
	session, err := s.limiter.Store.OpenSession(ctx, "seats of "+s.table.Host, seat.SessionTTL)
	s.recordCall(err)
	if err != nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.SessionOpened(session, sent)
	return true
}

// recordCall records whether a call of the store was answered.
func (s *seatManager) recordCall(err error) {
	now := s.limiter.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil || errors.Is(err, coltsfootloft.ErrNoSession) || errors.Is(err, coltsfootloft.ErrConflict) {
		s.reached = now
	} else {
		s.failed = now
	}
}

// domainHosts returns the live hosts of this failure domain that accept callers, this
// host included.
func (s *seatManager) domainHosts() []string {
	self := s.limiter.Members.Self()
	names := map[string]bool{self.Name(): true}
	for _, h := range s.limiter.Members.Alive() {
		if h.Domain() == self.Domain() && !h.Upstream() && !h.Leaving() {
			names[h.Name()] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// sleep returns after d or when ctx ends.
func (l *Limiter) sleep(ctx context.Context, d time.Duration) {
	t := l.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	}
}
