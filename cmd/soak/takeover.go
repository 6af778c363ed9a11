package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// takeovers are the hosts that are killed as soon as they have ordered a promotion, and the databases that crash then.
type takeovers struct {
	mu     sync.Mutex
	random *rand.Rand
	left   int // hosts still to kill
}

// takeOver kills the host that orders the next promotion of any group right after its order, and up to two that
// order one after it. Half of the ordered databases crash as well. The primary of a group crashes to begin with.
func takeOver(ctx context.Context, s *soak, random *rand.Rand) {
	s.takeovers.set(1+random.IntN(3), rand.New(rand.NewPCG(random.Uint64(), 0)))
	g := s.groups[random.IntN(len(s.groups))]
	g.kill(g.Primary(), between(random, 200*time.Millisecond, 6*time.Second))
	rest(ctx, between(random, 2*time.Second, 6*time.Second))
	s.takeovers.set(0, nil)
}

func (t *takeovers) set(count int, random *rand.Rand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = count
	t.random = random
}

// ordered is called once a host has ordered the promotion of a database.
func (s *soak) ordered(g *group, database, holder string) {
	t := &s.takeovers
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == 0 {
		return
	}
	t.left--
	if t.random.IntN(2) == 0 {
		g.crash(database, between(t.random, 100*time.Millisecond, 4*time.Second))
	}
	again := between(t.random, 50*time.Millisecond, 2*time.Second)
	for _, h := range s.hosts {
		if h.settings.Name == holder {
			go h.stop(syscall.SIGKILL, plan{after: again})
		}
	}
}

// drawPromotions returns a function that draws the time which each promotion takes.
func drawPromotions(seed uint64) func() time.Duration {
	const least, most = 100 * time.Millisecond, 1500 * time.Millisecond
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return between(random, least, most)
	}
}
