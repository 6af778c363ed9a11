package share

import (
	"context"
	"errors"
	"slices"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/seat"
)

// updateLoop takes seats and hands them back as the seat table decides.
func (s *seatManager) updateLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.updateSeats(ctx)
		s.limiter.sleep(ctx, updateEvery)
	}
}

func (s *seatManager) updateSeats(ctx context.Context) {
	s.refresh(ctx)
	hosts := s.domainHosts()
	s.mutex.Lock()
	steps := s.table.Decide(s.limiter.Clock.Now(), hosts)
	s.mutex.Unlock()
	for _, p := range steps {
		s.applyStep(ctx, p)
	}
	s.mutex.Lock()
	draining := s.table.Draining()
	s.mutex.Unlock()
	for _, n := range draining {
		s.release(ctx, n)
	}
	if s.changed() {
		s.limiter.apply()
	}
}

// refresh lists the seats again after a change that failed or was not answered.
func (s *seatManager) refresh(ctx context.Context) {
	s.mutex.Lock()
	stale := s.table.IsStale() && s.table.Session() != ""
	s.mutex.Unlock()
	if !stale {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := s.limiter.Store.List(call, s.table.Prefix)
	s.recordCall(err)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Observe(s.limiter.Clock.Now(), entries)
}

func (s *seatManager) applyStep(ctx context.Context, p seat.Step) {
	if p.Kind() == seat.Drain {
		s.drain(p)
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	index, err := s.limiter.Store.Apply(call, p.Changes())
	s.recordCall(err)
	now := s.limiter.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.limiter.Log.V(1).Info("seat not changed", "step", p.Kind().String(), "seat", p.Seat(), "error", err.Error())
		s.table.MarkStale()
		return
	}
	s.limiter.Log.Info("seat changed", "step", p.Kind().String(), "seat", p.Seat())
	s.table.StepApplied(now, p, index)
	if p.Kind() == seat.Take {
		if s.initial == nil {
			s.initial = make(map[int]initialTokens)
		}
		s.initial[p.Seat()] = initialTokens{
			firstTake: p.IsFirstTake(),
			tokens:    p.Tokens(),
		}
	}
}

// drain ends the use of a seat and stores the tokens that belong to it in leftover.
func (s *seatManager) drain(p seat.Step) {
	now := s.limiter.Clock.Now()
	s.mutex.Lock()
	using := slices.Contains(s.active, p.Seat())
	s.table.StepApplied(now, p, 0)
	delete(s.initial, p.Seat())
	domain := s.table.Domain
	s.mutex.Unlock()
	tokens := make(map[string]float64)
	for name, e := range load(&s.limiter.accounts) {
		if !using {
			break
		}
		if n := e.handBack(now, domain, p.Seat()); n > 0 {
			tokens[name] = n
		}
	}
	s.mutex.Lock()
	if s.leftover == nil {
		s.leftover = make(map[int]map[string]float64)
	}
	s.leftover[p.Seat()] = tokens
	s.mutex.Unlock()
	s.limiter.apply()
}

// release hands a draining seat back when no connection needs its rights any more.
func (s *seatManager) release(ctx context.Context, n int) {
	now := s.limiter.Clock.Now()
	settle, ok := s.settleTime(now, n)
	if !ok {
		return
	}
	s.mutex.Lock()
	changes := s.table.Release(now, n, settle, s.leftover[n])
	s.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.limiter.Store.Apply(call, changes)
	s.recordCall(err)
	if err != nil && !errors.Is(err, coltsfootloft.ErrConflict) {
		return
	}
	s.limiter.Log.Info("seat handed back", "seat", n, "settle", settle.String())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.SeatReleased(s.limiter.Clock.Now(), n)
	delete(s.leftover, n)
}

// settleTime returns how long the longest loan from a seat still lasts, and false
// while connections are open that need the seat's rights.
func (s *seatManager) settleTime(now time.Time, n int) (time.Duration, bool) {
	var longest time.Duration
	domain := s.limiter.Members.Self().Domain()
	for _, e := range load(&s.limiter.accounts) {
		e.mutex.Lock()
		if e.isOwner(domain, n) {
			longest = max(longest, e.rate.Book().LongestLoan(now).Sub(now))
		}
		e.mutex.Unlock()
	}
	for _, d := range load(&s.limiter.databases) {
		excess := 0
		d.mutex.Lock()
		if isOwner(d.owners, domain, n) {
			longest = max(longest, d.rights.Book().LongestLoan(now).Sub(now))
			excess = d.rights.Excess(now, now)
		}
		d.mutex.Unlock()
		if excess > 0 {
			return 0, false
		}
	}
	return longest, true
}

// changed reports whether the seats that may be used differ from those last applied.
func (s *seatManager) changed() bool {
	numbers, until := s.held()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !slices.Equal(numbers, s.active) || !until.Equal(s.until)
}

// hasSeats reports whether seats remain to be handed back.
func (s *seatManager) hasSeats() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Session() != "" && len(s.table.HeldVersions())+len(s.table.Draining()) > 0
}

// handBackAll hands all seats back and closes the session.
func (s *seatManager) handBackAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.mutex.Lock()
	s.table.DrainAll()
	s.mutex.Unlock()
	for ctx.Err() == nil && s.hasSeats() {
		s.updateSeats(ctx)
		s.limiter.sleep(ctx, leaveEvery)
	}
	s.mutex.Lock()
	session := s.table.Session()
	s.table.SessionEnded(session)
	s.mutex.Unlock()
	s.limiter.apply()
	if session != "" {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeRetry)
		defer cancel()
		_ = s.limiter.Store.CloseSession(last, session)
	}
}
