package steward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/reign"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/steward/stewardpb"
)

const (
	// changeTimeout bounds one try at a change; the next goes on from the record.
	changeTimeout = 12 * time.Second
	// pollEvery is how often databases are asked during a change.
	pollEvery = 25 * time.Millisecond
	// missedTimeout bounds the try to demote a primary that most hosts miss: hosts
	// take about as long to let go of it.
	missedTimeout = 150 * time.Millisecond
	// promoteTimeout is how long a promoted database may take to lead: 600 ms
	// to 1 s at the users' places, and a call that the platform was slow with.
	promoteTimeout = 2500 * time.Millisecond
	// catchUp is how long a change of a primary that still answers waits for a
	// replica to receive all that the old one has.
	catchUp = 1500 * time.Millisecond
	// minLease is what the holder's lease must still last for a call to the
	// platform to be made.
	minLease = 800 * time.Millisecond
)

// errNotHolder ends a change of a host that has lost the duty.
var errNotHolder = errors.New("duty lost")

// found writes the first record of a group, for the database that leads it.
func (s *Steward) found(ctx context.Context, name string) {
	all := s.look(ctx, name)
	leader, ok := reign.Leader(all)
	if !ok {
		s.Log.Info("group without a primary", "group", name, "databases", len(all))
		pause.For(ctx, watchEvery)
		return
	}
	r := reign.Record{
		Epoch:   1,
		Primary: leader.ID,
		Term:    leader.Health.Term,
		Start:   leader.Health.Received.Offset(),
	}
	if _, err := s.write(ctx, name, r, 0); err != nil {
		s.Log.Info("record not written", "group", name, "reason", err.Error())
	}
}

// look asks all databases of a group for their state, but for the missed ones.
func (s *Steward) look(ctx context.Context, name string, missed ...string) []reign.Seen {
	v := s.Mirror.View()
	members := v.Members(name)
	primary := v.Upstreams[v.Groups[name].Primary].Upstream
	all := make([]reign.Seen, len(members))
	var group sync.WaitGroup
	for i, u := range members {
		all[i] = reign.Seen{
			ID:      u.Upstream.Name(),
			Leaving: u.Leaving || u.Gone,
			Near:    u.Upstream.Domain() == primary.Domain(),
		}
		if slices.Contains(missed, all[i].ID) {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			h, err := s.status(ctx, u.Target())
			all[i].Answered = err == nil
			all[i].Health = h
		}()
	}
	group.Wait()
	return all
}

// write replaces the record of a group, if this host still holds the duty and the
// record has the version. It returns the new version.
func (s *Steward) write(ctx context.Context, name string, r reign.Record, version uint64) (uint64, error) {
	fence, ok := s.Duty.Holds()
	if !ok {
		return 0, errNotHolder
	}
	revision, err := s.Store.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put(mirror.GroupKey(name), r.Encode(), version),
		coltsfootloft.Require(mirror.DutyKey(s.Duty.Name), fence),
	})
	if err != nil {
		return 0, errors.Wrap(err, "write the record")
	}
	return revision, errors.Wrap(s.Mirror.Await(ctx, revision), "see the record")
}

// change takes a group through a change of primary. It gives up on any doubt; the
// next look at the record goes on from there.
func (s *Steward) change(ctx context.Context, name, why string) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := s.Clock.Elapsed()
	g := s.Mirror.View().Groups[name]
	s.Log.Info("change of primary begins", "group", name, "primary", g.Primary, "epoch", g.Epoch, "why", why, "closing", g.Closing)
	var missed []string
	if why == lostPrimary {
		missed = []string{g.Primary}
	}
	primary, err := s.replace(ctx, name, g, missed)
	took := s.Clock.Elapsed() - started
	if err != nil {
		s.Log.Info("change of primary not done", "group", name, "why", why, "reason", err.Error(), "took_ms", took.Milliseconds())
		s.Metrics.GetOrCreateCounter(`coltsfootloft_primary_changes_total{outcome="failed"}`).Inc()
		pause.For(ctx, 4*pollEvery)
		return
	}
	s.mu.Lock()
	s.of(name).changed = s.Clock.Elapsed()
	s.mu.Unlock()
	s.Log.Info("change of primary done", "group", name, "primary", primary, "took_ms", took.Milliseconds())
	s.Metrics.GetOrCreateCounter(`coltsfootloft_primary_changes_total{outcome="done"}`).Inc()
}

func (s *Steward) replace(ctx context.Context, name string, g mirror.Group, missed []string) (string, error) {
	r := g.Record
	version := g.Revision
	if !r.Closing {
		if _, ok := r.Successor(s.look(ctx, name, missed...)); !ok {
			return "", errors.New("no database can take over")
		}
		r.Closing = true
		v, err := s.write(ctx, name, r, version)
		if err != nil {
			return "", err
		}
		version = v
	}
	demoted := s.demoteMissed(ctx, r, missed)
	if err := s.fence(ctx, version); err != nil {
		return "", err
	}
	if <-demoted {
		missed = nil
	}
	leader, err := s.promote(ctx, name, r, &version, missed)
	if err != nil {
		return "", err
	}
	_, err = s.write(ctx, name, reign.Record{
		Epoch:   r.Epoch + 1,
		Primary: leader.ID,
		Term:    leader.Health.Term,
		Start:   leader.Health.Received.Offset(),
	}, version)
	return leader.ID, err
}

// demoteMissed tries to demote a primary that most hosts miss, while they let go of
// it. One that answers after all keeps nothing to itself then, and what it has can be
// waited for; one that does not must not hold the change up.
func (s *Steward) demoteMissed(ctx context.Context, r reign.Record, missed []string) <-chan bool {
	done := make(chan bool, 1)
	old, ok := s.Mirror.View().Upstreams[r.Primary]
	if !ok || !slices.Contains(missed, r.Primary) {
		done <- false
		return done
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, missedTimeout)
		defer cancel()
		_, err := s.Prober.Demote(ctx, old.Target(), r.Term+1)
		if err != nil {
			s.Log.Info("missed primary not demoted", "database", r.Primary, "reason", err.Error())
		}
		done <- err == nil
	}()
	return done
}

// fence waits until no host uses the old primary: each has seen the closing
// record, or its lease has ended.
func (s *Steward) fence(ctx context.Context, revision uint64) error {
	started := s.Clock.Elapsed()
	pending := s.Mirror.View().Hosts
	request := &stewardpb.Request{Confirm: &stewardpb.Confirm{Revision: revision}}
	var group sync.WaitGroup
	errs := make(chan error, len(pending))
	for name, p := range pending {
		if p.Revision > revision {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			if err := s.confirmed(ctx, name, p, request); err != nil {
				errs <- err
			}
		}()
	}
	group.Wait()
	close(errs)
	err := <-errs
	s.Log.Info("hosts have let go of the primary", "revision", revision, "hosts", len(pending), "ok", err == nil,
		"took_ms", (s.Clock.Elapsed() - started).Milliseconds())
	return err
}

// confirmed waits for one host.
func (s *Steward) confirmed(ctx context.Context, name string, p mirror.Presence, r *stewardpb.Request) error {
	for {
		changed := s.Mirror.Changed()
		if now, ok := s.Mirror.View().Hosts[name]; !ok || now.Revision != p.Revision {
			return nil
		}
		within, cancel := context.WithTimeout(ctx, statusTimeout)
		yes, err := s.call(within, name, r)
		cancel()
		if err == nil && yes {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "host %s has not let go", name)
		}
		if _, ok := s.Duty.Holds(); !ok {
			return errNotHolder
		}
		pause.Until(ctx, changed, pollEvery)
	}
}

// promote has a replica take over and waits until it leads.
func (s *Steward) promote(ctx context.Context, name string, r reign.Record, version *uint64, missed []string) (reign.Seen, error) {
	refused := make(map[string]bool)
	for ctx.Err() == nil {
		all := s.settle(ctx, name, r, missed)
		if leader, ok := reign.Leader(all); ok && leader.ID != r.Primary && leader.Health.Term > r.Term {
			return leader, nil
		}
		c, ok := r.Successor(without(all, refused))
		if !ok {
			clear(refused)
			pause.For(ctx, 4*pollEvery)
			continue
		}
		if r.Candidate != c.ID {
			r.Candidate = c.ID
			v, err := s.write(ctx, name, r, *version)
			if err != nil {
				return reign.Seen{}, err
			}
			*version = v
		}
		err := s.order(ctx, name, c)
		if errors.Is(err, coltsfootloft.ErrRefused) {
			refused[c.ID] = true
			continue
		}
		if errors.Is(err, errNotHolder) {
			return reign.Seen{}, err
		}
		if leader, ok := s.leads(ctx, name, c.ID, r.Term); ok {
			return leader, nil
		}
	}
	return reign.Seen{}, errors.Wrap(ctx.Err(), "no database leads")
}

func without(all []reign.Seen, refused map[string]bool) []reign.Seen {
	r := make([]reign.Seen, 0, len(all))
	for _, s := range all {
		if !refused[s.ID] {
			r = append(r, s)
		}
	}
	return r
}

// settle demotes the old primary, if it answers, and then waits for a replica that
// has received all that it has.
func (s *Steward) settle(ctx context.Context, name string, r reign.Record, missed []string) []reign.Seen {
	old, ok := s.Mirror.View().Upstreams[r.Primary]
	if !ok || slices.Contains(missed, r.Primary) {
		return s.look(ctx, name, missed...)
	}
	within, cancel := context.WithTimeout(ctx, statusTimeout)
	last, err := s.Prober.Demote(within, old.Target(), r.Term+1)
	cancel()
	if err != nil {
		s.Log.Info("old primary not demoted", "group", name, "database", r.Primary, "reason", err.Error())
		return s.look(ctx, name)
	}
	s.Log.Info("old primary demoted", "group", name, "database", r.Primary, "term", last.Term, "received", last.Received.Offset())
	deadline := s.Clock.Elapsed() + catchUp
	for {
		all := s.look(ctx, name)
		c, ok := r.Successor(all)
		if ok && c.Health.Received.Compare(last.Received) >= 0 {
			return all
		}
		if ctx.Err() != nil || s.Clock.Elapsed() > deadline {
			s.Log.Info("no replica has received all", "group", name, "found", ok, "received", c.Health.Received.Offset(), "of", last.Received.Offset())
			return all
		}
		pause.For(ctx, pollEvery)
	}
}

// order makes the call, which must end before the holder's lease does.
func (s *Steward) order(ctx context.Context, name string, c reign.Seen) error {
	fence, ok := s.Duty.Holds()
	left := s.Tenure.Left()
	if !ok {
		return errNotHolder
	}
	if left < minLease {
		pause.For(ctx, 4*pollEvery)
		return errors.New("lease too short for a call")
	}
	within, cancel := context.WithTimeout(ctx, left-pollEvery)
	defer cancel()
	err := s.Promoter.Promote(within, name, c.ID, s.Self, fence)
	s.Log.Info("promotion ordered", "group", name, "database", c.ID, "fence", fence, "received", c.Health.Received.Offset(),
		"answer", errorText(err))
	return err
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// leads waits until a database calls itself primary in a later term.
func (s *Steward) leads(ctx context.Context, name, id string, term uint64) (reign.Seen, bool) {
	deadline := s.Clock.Elapsed() + promoteTimeout
	for ctx.Err() == nil && s.Clock.Elapsed() < deadline {
		u, ok := s.Mirror.View().Upstreams[id]
		if !ok {
			return reign.Seen{}, false
		}
		h, err := s.status(ctx, u.Target())
		if err == nil && h.Role == coltsfootloft.Primary && h.Term > term {
			return reign.Seen{
				ID:       id,
				Answered: true,
				Health:   h,
			}, true
		}
		pause.For(ctx, pollEvery)
	}
	s.Log.Info("promoted database does not lead", "group", name, "database", id)
	return reign.Seen{}, false
}
