package change

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

const (
	// MaxOperations is how many operations Consul takes in one transaction in
	// all its versions.
	MaxOperations = 64
	// MaxPaths is how many paths one change may touch; the head and the record
	// take an operation each.
	MaxPaths = MaxOperations - 2
	// DefaultPatience is how long the outcome of a change is looked for after a
	// lost answer.
	DefaultPatience = 15 * time.Second
	// maxRaces is how often a change is made again because another one moved the
	// head first.
	maxRaces = 50
	// raceWait is the mean pause before a change is made again.
	raceWait = 20 * time.Millisecond
	// silenceWait is the pause before the store is asked again after silence.
	silenceWait = 200 * time.Millisecond
)

// Editor changes settings on behalf of one operator. Its fields are set before
// the first call.
type Editor struct {
	// Store holds the settings.
	Store coltsfootloft.Store
	// Author is recorded with each change.
	Author string
	// Clock tells the time; the system's if nil.
	Clock clockwork.Clock
	// Patience bounds the search for the outcome after a lost answer;
	// DefaultPatience if 0.
	Patience time.Duration
}

// Edit is a change to make.
type Edit struct {
	// Put holds the new values by path.
	Put map[string][]byte
	// Remove are paths to remove.
	Remove []string
	// Base is the revision that the operator has seen; 0 stands for the
	// present one.
	Base uint64
	// Note is the operator's own word on the change.
	Note string
}

// valid refuses an edit that contradicts itself.
func (d Edit) valid() error {
	for _, p := range d.Remove {
		if _, both := d.Put[p]; both {
			return errors.Errorf("%s is both put and removed, nothing written", p)
		}
	}
	if slices.Contains(paths(d), conf.HeadPath) {
		return errors.Errorf("%s is kept by the system and no setting, nothing written", conf.HeadPath)
	}
	return nil
}

// Receipt tells of a change that has taken effect.
type Receipt struct {
	record   Record
	revision uint64
}

// Record is the record of the change, with its id. It is empty if there was
// nothing to change.
func (r Receipt) Record() Record { return r.record }

// Revision is the store's revision that has the change.
func (r Receipt) Revision() uint64 { return r.revision }

// Changed tells whether there was anything to change.
func (r Receipt) Changed() bool { return r.record.Change != "" }

// Read returns all settings.
func (e *Editor) Read(ctx context.Context) (*Snapshot, error) {
	list, _, err := e.Store.List(ctx, conf.StorePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return newSnapshot(list)
}

// Check returns the problems that an edit would bring, without writing anything.
func (e *Editor) Check(ctx context.Context, d Edit) (conf.Problems, error) {
	s, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	return s.check(d), nil
}

// Apply makes the edit in one transaction. Unless it returns an [*UnknownError],
// an error means that nothing was written: [*ProblemsError], [*ConflictError],
// [*SizeError], or an error of the store.
func (e *Editor) Apply(ctx context.Context, d Edit) (Receipt, error) {
	first, err := e.Read(ctx)
	if err != nil {
		return Receipt{}, err
	}
	touched := paths(d)
	if d.Base != 0 {
		if err := e.checkBase(ctx, first, d.Base, touched); err != nil {
			return Receipt{}, err
		}
	}
	s := first
	for range maxRaces {
		r, err := e.attempt(ctx, s, d)
		if !errors.Is(err, coltsfootloft.ErrConflict) {
			return r, err
		}
		if err := e.pause(ctx, raceWait); err != nil {
			return Receipt{}, err
		}
		if s, err = e.Read(ctx); err != nil {
			return Receipt{}, err
		}
		if moved := first.moved(s, touched); len(moved) > 0 {
			return Receipt{}, &ConflictError{
				paths: moved,
				why:   "changed since they were read",
			}
		}
	}
	return Receipt{}, &ConflictError{
		paths: touched,
		why:   "other changes keep coming first",
	}
}

// attempt makes the edit on the state s. With nothing to change it only makes
// sure that s is the present state.
func (e *Editor) attempt(ctx context.Context, s *Snapshot, d Edit) (Receipt, error) {
	t, err := e.plan(s, d)
	if err != nil {
		return Receipt{}, err
	}
	if t != nil {
		return e.commit(ctx, t)
	}
	require := coltsfootloft.Require(headKey, s.versions[conf.HeadPath])
	if _, err := e.Store.Apply(ctx, []coltsfootloft.Change{require}); err != nil {
		return Receipt{}, errors.Wrap(err, "nothing to change, nothing written")
	}
	return Receipt{revision: s.revision}, nil
}

// checkBase follows the records back to base.
func (e *Editor) checkBase(ctx context.Context, s *Snapshot, base uint64, touched []string) error {
	var late []string
	for _, p := range touched {
		if s.versions[p] > base {
			late = append(late, p)
		}
	}
	for id := s.head.Change; id != "" && len(late) == 0; {
		r, err := e.Find(ctx, id)
		if err != nil {
			return err
		}
		if r.Revision <= base {
			break
		}
		late = r.touches(touched)
		id = r.Previous
	}
	if len(late) == 0 {
		return nil
	}
	return &ConflictError{
		paths: late,
		why:   "changed since the base revision",
	}
}

// pause waits for about d, so that racing operators part.
func (e *Editor) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "nothing written")
	case <-e.clock().After(d/2 + rand.N(d)):
		return nil
	}
}

func (e *Editor) clock() clockwork.Clock {
	if e.Clock == nil {
		return clockwork.NewRealClock()
	}
	return e.Clock
}

func (e *Editor) patience() time.Duration { return cmp.Or(e.Patience, DefaultPatience) }

// paths are what the edit touches, sorted.
func paths(d Edit) []string {
	r := make([]string, 0, len(d.Put)+len(d.Remove))
	for p := range d.Put {
		r = append(r, p)
	}
	r = append(r, d.Remove...)
	slices.Sort(r)
	return r
}

func (r Record) touches(touched []string) []string {
	var both []string
	for _, p := range touched {
		for _, c := range r.Paths {
			if c.Path == p {
				both = append(both, p)
			}
		}
	}
	return both
}
