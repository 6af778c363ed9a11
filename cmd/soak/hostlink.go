package main

import (
	"context"
	"math/rand/v2"
	"time"

	"coltsfootloft/stand/relay"
)

// impairHostLinks holds up the links between some pairs of hosts, in one direction or in both, or cuts them. What was
// held up arrives later in order, also if the process that sent it has ended. The hosts do not count as impaired:
// whatever happens between hosts excuses nothing.
func impairHostLinks(ctx context.Context, s *soak, random *rand.Rand) {
	linked := min(len(s.hosts), maxLinked)
	if linked < 2 {
		return
	}
	cut := random.IntN(4) == 0
	d := between(random, 50*time.Millisecond, 2*time.Second)
	for range 1 + random.IntN(4) {
		i := random.IntN(linked)
		j := (i + 1 + random.IntN(linked-1)) % linked
		p := s.links.Between(s.hosts[i].settings.Name, s.hosts[j].settings.Name)
		if cut {
			p.Cut(true)
			defer p.Cut(false)
			continue
		}
		direction := relay.Direction(random.IntN(3))
		p.Hold(direction, true)
		defer p.Hold(direction, false)
	}
	rest(ctx, d)
}
