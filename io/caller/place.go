package caller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/events"
	"coltsfootloft/core/route"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// MaxSilence is the longest time without an answer from a database, as seen by its
// observer, during which requests are still sent to it.
const MaxSilence = time.Second

// recheckPeriod is how often a waiting request checks its group again. The group's
// change notification does not cover a database that stops answering.
const recheckPeriod = 250 * time.Millisecond

// need returns the requirements of the batch on its database.
func (s *Session) need(ctx context.Context, write bool) (route.Requirements, error) {
	n := route.Requirements{
		Write:        write,
		MaxAge:       s.Route.MaxAge(),
		Domain:       s.Env.Domain,
		LastDatabase: s.lastDatabase,
		Avoid:        make(map[string]bool),
	}
	p, ok := s.Token.Position(s.Route.Group())
	if ok || n.MaxAge > 0 {
		n.Position = p
		return n, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.Env.Fleet().Defaults().BarrierWait())
	defer cancel()
	wait := s.trace.Start(trace.FreshnessWait)
	p, err := s.Env.Groups.Barrier(ctx, s.Route.Group())
	wait.End(err)
	if err != nil {
		return n, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "no majority of group "+s.Route.Group()+" can be reached")
	}
	s.Token = s.Token.Advance(s.Route.Group(), p)
	n.Position = p
	return n, nil
}

// place chooses a database that meets the need and returns a connection to it. It
// waits until there is one or ctx ends.
func (s *Session) place(ctx context.Context, n *route.Requirements) (*pool.Conn, error) {
	started := s.Env.Clock.Now()
	for {
		v := s.Env.view(s.Route.Group())
		c := s.choose(v, *n, s.Env.Clock.Since(started))
		switch c.Verdict() {
		case route.ToReplica, route.ToPrimary:
			conn, err := s.acquire(ctx, c.Database())
			if err == nil {
				countPlaced(*n, c.Verdict())
				s.observe(placeSeconds, started)
				s.onPrimary = c.Verdict() == route.ToPrimary
				s.recordEvent(events.Routed, c.Verdict().String(), c.Database())
				return conn, nil
			}
			if ctx.Err() != nil || !isUnavailable(err) {
				return nil, err
			}
			n.Avoid[c.Database()] = true
		default:
			s.recordEvent(events.Held, c.Verdict().String(), "")
			wait := s.trace.Start(trace.FreshnessWait)
			err := s.awaitChange(ctx, v.changed, c.Verdict(), started)
			wait.End(err)
			if err != nil {
				return nil, err
			}
			if c.Verdict() == route.NoPrimary {
				clear(n.Avoid)
			}
		}
	}
}

// choose picks a database. It falls back to the primary for a read that has waited
// long enough for a replica.
func (s *Session) choose(v *view, n route.Requirements, waited time.Duration) route.Choice {
	all := s.candidates(v)
	if s.Env.PrimaryOnly {
		return route.Fallback(n, all)
	}
	c := route.Pick(n, all)
	if c.Verdict() == route.ReplicasBehind && waited >= s.Env.Fleet().Defaults().ReadWait() {
		f := route.Fallback(n, all)
		if f.Verdict() == route.ToPrimary {
			return f
		}
	}
	return c
}

// awaitChange waits until the group changes or it is time to check again.
func (s *Session) awaitChange(ctx context.Context, changed <-chan struct{}, v route.Verdict, started time.Time) error {
	wait := s.Env.Fleet().Defaults().ReadWait() - s.Env.Clock.Since(started)
	if v == route.NoPrimary || wait <= 0 {
		wait = recheckPeriod
	}
	timer := s.Env.Clock.NewTimer(wait)
	defer timer.Stop()
	s.Env.Groups.Expedite(s.Route.Group())
	select {
	case <-changed:
	case <-timer.Chan():
	case <-ctx.Done():
		return coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "no database of group "+s.Route.Group()+" could serve in time: "+v.String())
	}
	return nil
}

func (s *Session) acquire(ctx context.Context, database string) (*pool.Conn, error) {
	p, ok := s.Env.Pool(database)
	if !ok {
		return nil, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, "database "+database+" is not in the settings")
	}
	wait := s.startSpan(trace.PoolWait, database)
	c, err := p.Acquire(ctx, s.Account)
	wait.End(err)
	return c, err
}

// candidates returns the state of the databases in the group that answer.
func (s *Session) candidates(v *view) []route.Candidate {
	group := s.Route.Group()
	all := s.scratch[:0]
	for i, c := range v.candidates {
		name := c.Upstream.Name()
		silence, hasAnswered := s.Env.Groups.SilentFor(group, name)
		if !hasAnswered || silence > MaxSilence {
			continue
		}
		c.Leaving = s.Env.Members.Leaving(name)
		c.Load = v.pools[i].Load()
		if s.Route.MaxAge() > 0 {
			c.Age, c.AgeKnown = s.Env.Groups.Age(group, name)
		}
		all = append(all, c)
	}
	s.scratch = all
	return all
}

// isUnavailable reports whether the error concerns one database only, so that another
// one may serve the request.
func isUnavailable(err error) bool {
	var r *coltsfootloft.RefusalError
	return errors.As(err, &r) && r.Code() == coltsfootloft.CodeUnavailable
}
