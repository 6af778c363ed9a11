package main

import (
	"context"
	"math/rand/v2"
	"time"

	"coltsfootloft/stand/opset"
)

// maxContactDelay is the longest delay of the store in each direction with which hosts are in contact with
// it: a call that opens a connection first takes four times as long, and times out after 700 ms.
const maxContactDelay = 150 * time.Millisecond

// evacuate evacuates a failure domain up to three times in a row, each time for a while. It does nothing if
// another move evacuates the domain.
func evacuate(ctx context.Context, s *soak, random *rand.Rand) {
	number := random.IntN(databases)
	if !s.claimDomain(number) {
		return
	}
	defer s.releaseDomain(number)
	for range 1 + random.IntN(3) {
		s.store.Put(opset.EvacuationKey(s.domain(number)), struct{}{})
		for _, g := range s.groups {
			g.Close(g.ids[number], time.Now().Add(evacuation))
		}
		rest(ctx, between(random, 200*time.Millisecond, 12*time.Second))
		for _, g := range s.groups {
			g.Reopen(g.ids[number])
		}
		s.store.Remove(opset.EvacuationKey(s.domain(number)))
		rest(ctx, between(random, 20*time.Millisecond, 2*time.Second))
	}
}

// claimDomain reserves a domain for one move, and reports whether it was free.
func (s *soak) claimDomain(number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := !s.evacuated[s.domain(number)]
	s.evacuated[s.domain(number)] = true
	return free
}

func (s *soak) releaseDomain(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.evacuated, s.domain(number))
}

// noteAway notes that hosts may be out of contact with the platform for a time.
func (s *soak) noteAway(d time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = append(s.away, span{
		from: now,
		to:   now.Add(d),
	})
}

// wasAway reports whether hosts may have been out of contact in a span, or within a second before it.
func (s *soak) wasAway(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.away {
		if to.After(p.from) && from.Before(p.to.Add(time.Second)) {
			return true
		}
	}
	return false
}

// checkEvacuations reports what has arrived at databases of evacuated domains after the bound, from hosts
// that were in contact with the platform since the evacuation began.
func (s *soak) checkEvacuations() {
	numbers := make(map[string]int, len(s.hosts))
	for _, h := range s.hosts {
		numbers[h.ip] = h.number
	}
	excused := 0
	for _, g := range s.groups {
		for _, a := range g.Late() {
			began := a.From.Add(-evacuation)
			if s.wasAway(began, a.At) || s.isImpaired(numbers[a.Origin], began, a.At) {
				excused++
				continue
			}
			s.report("EVACUATED: host %d reached %s, at %.3f", numbers[a.Origin], a.Text, a.At.Sub(s.begun).Seconds())
		}
	}
	s.printf("%d arrivals at evacuated domains from hosts out of contact", excused)
}
