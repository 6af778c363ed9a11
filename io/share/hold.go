package share

import (
	"context"
	"errors"
	"slices"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/seat"
)

// holdDuty takes seats and hands them back.
func (s *seating) holdDuty(ctx context.Context) {
	for ctx.Err() == nil {
		s.hold(ctx)
		s.ledger.pause(ctx, holdEvery)
	}
}

func (s *seating) hold(ctx context.Context) {
	s.refresh(ctx)
	mates := s.mates()
	s.mutex.Lock()
	steps := s.table.Decide(s.ledger.Clock.Now(), mates)
	s.mutex.Unlock()
	for _, p := range steps {
		s.step(ctx, p)
	}
	s.mutex.Lock()
	draining := s.table.Draining()
	s.mutex.Unlock()
	for _, n := range draining {
		s.release(ctx, n)
	}
	if s.changed() {
		s.ledger.apply()
	}
}

// refresh lists the seats after a change that was refused or not answered.
func (s *seating) refresh(ctx context.Context) {
	s.mutex.Lock()
	stale := s.table.IsStale() && s.table.Session() != ""
	s.mutex.Unlock()
	if !stale {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := s.ledger.Store.List(call, s.table.Prefix)
	s.note(err)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Observe(s.ledger.Clock.Now(), entries)
}

func (s *seating) step(ctx context.Context, p seat.Step) {
	if p.Kind() == seat.Drain {
		s.drain(p)
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	index, err := s.ledger.Store.Apply(call, p.Changes())
	s.note(err)
	now := s.ledger.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.ledger.Log.V(1).Info("seat not changed", "step", p.Kind().String(), "seat", p.Seat(), "error", err.Error())
		s.table.Stale()
		return
	}
	s.ledger.Log.Info("seat changed", "step", p.Kind().String(), "seat", p.Seat())
	s.table.StepApplied(now, p, index)
	if p.Kind() == seat.Take {
		if s.starts == nil {
			s.starts = make(map[int]start)
		}
		s.starts[p.Seat()] = start{
			fresh:  p.IsFirstTake(),
			tokens: p.Tokens(),
		}
	}
}

// drain ends the use of a seat and keeps the tokens that belong to it.
func (s *seating) drain(p seat.Step) {
	now := s.ledger.Clock.Now()
	s.mutex.Lock()
	using := slices.Contains(s.active, p.Seat())
	s.table.StepApplied(now, p, 0)
	delete(s.starts, p.Seat())
	domain := s.table.Domain
	s.mutex.Unlock()
	tokens := make(map[string]float64)
	for name, e := range load(&s.ledger.accounts) {
		if !using {
			break
		}
		if n := e.handBack(now, domain, p.Seat()); n > 0 {
			tokens[name] = n
		}
	}
	s.mutex.Lock()
	if s.left == nil {
		s.left = make(map[int]map[string]float64)
	}
	s.left[p.Seat()] = tokens
	s.mutex.Unlock()
	s.ledger.apply()
}

// release hands a draining seat back, once no connection needs its rights.
func (s *seating) release(ctx context.Context, n int) {
	now := s.ledger.Clock.Now()
	settle, ok := s.settled(now, n)
	if !ok {
		return
	}
	s.mutex.Lock()
	changes := s.table.Release(now, n, settle, s.left[n])
	s.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.ledger.Store.Apply(call, changes)
	s.note(err)
	if err != nil && !errors.Is(err, coltsfootloft.ErrConflict) {
		return
	}
	s.ledger.Log.Info("seat handed back", "seat", n, "settle", settle.String())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.SeatReleased(s.ledger.Clock.Now(), n)
	delete(s.left, n)
}

// settled returns how long the last loan lasts that was made from a seat, and
// false while connections are open that needed its rights.
func (s *seating) settled(now time.Time, n int) (time.Duration, bool) {
	var longest time.Duration
	domain := s.ledger.Members.Self().Domain()
	for _, e := range load(&s.ledger.accounts) {
		e.mutex.Lock()
		if e.isHome(domain, n) {
			longest = max(longest, e.rate.Book().LongestLoan(now).Sub(now))
		}
		e.mutex.Unlock()
	}
	for _, d := range load(&s.ledger.databases) {
		excess := 0
		d.mutex.Lock()
		if isHome(d.homes, domain, n) {
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

// changed reports whether the seats in use differ from those last applied.
func (s *seating) changed() bool {
	numbers, until := s.held()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !slices.Equal(numbers, s.active) || !until.Equal(s.until)
}

// hasSeats reports whether seats are still to be handed back.
func (s *seating) hasSeats() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Session() != "" && len(s.table.HeldVersions())+len(s.table.Draining()) > 0
}

// leave hands all seats back and ends the session.
func (s *seating) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	s.mutex.Lock()
	s.table.DrainAll()
	s.mutex.Unlock()
	for ctx.Err() == nil && s.hasSeats() {
		s.hold(ctx)
		s.ledger.pause(ctx, leaveEvery)
	}
	s.mutex.Lock()
	session := s.table.Session()
	s.table.SessionEnded(session)
	s.mutex.Unlock()
	s.ledger.apply()
	if session != "" {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeRetry)
		defer cancel()
		_ = s.ledger.Store.CloseSession(last, session)
	}
}
