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
	// MaxOperations is the number of operations that every version of Consul accepts
	// in one transaction.
	MaxOperations = 64
	// MaxPaths is the maximum number of paths in one change. The head and the record
	// take one operation each.
	MaxPaths = MaxOperations - 2
	// DefaultOutcomeTimeout is the default of [Editor.OutcomeTimeout].
	DefaultOutcomeTimeout = 15 * time.Second
	// maxAttempts is how often a change is attempted while other changes update the
	// head first.
	maxAttempts = 50
	// conflictWait is the mean pause before a change is attempted again.
	conflictWait = 20 * time.Millisecond
	// uncertainWait is the mean pause before the store is called again after a lost
	// answer.
	uncertainWait = 200 * time.Millisecond
)

// Editor changes settings on behalf of one operator. Its fields must be set before
// the first call and not changed afterwards.
type Editor struct {
	// Store is the platform's store, which holds the settings.
	Store coltsfootloft.Store
	// Author is the operator's name; it is recorded with each change.
	Author string
	// Clock is the time source; the system clock if nil.
	Clock clockwork.Clock
	// OutcomeTimeout is how long Apply tries to determine the outcome of a change
	// after a lost answer; DefaultOutcomeTimeout if 0.
	OutcomeTimeout time.Duration
}

// Edit is a requested change of settings.
type Edit struct {
	// Put holds the new values by path.
	Put map[string][]byte
	// Remove lists the paths to remove.
	Remove []string
	// Base is the revision on which the operator based the edit. If it is 0, only
	// changes since Apply's first read conflict.
	Base uint64
	// Note is the operator's comment on the change.
	Note string
}

// validate rejects an edit that contradicts itself or touches the head.
func (d Edit) validate() error {
	for _, p := range d.Remove {
		if _, both := d.Put[p]; both {
			return errors.Errorf("%s is both put and removed, nothing written", p)
		}
	}
	if slices.Contains(editedPaths(d), conf.HeadPath) {
		return errors.Errorf("%s is kept by the system and no setting, nothing written", conf.HeadPath)
	}
	return nil
}

// Receipt describes a change that has taken effect.
type Receipt struct {
	record   Record
	revision uint64
}

// Record returns the record of the change, with its id. It is empty if there was
// nothing to change.
func (r Receipt) Record() Record { return r.record }

// Revision returns a revision of the store that has the change: the one at which it
// took effect or, if there was nothing to change, that of the settings read.
func (r Receipt) Revision() uint64 { return r.revision }

// Changed reports whether there was anything to change.
func (r Receipt) Changed() bool { return r.record.Change != "" }

// Read returns a snapshot of all settings.
func (e *Editor) Read(ctx context.Context) (*Snapshot, error) {
	list, _, err := e.Store.List(ctx, conf.StorePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return newSnapshot(list)
}

// Check returns the problems that an edit would cause. It writes nothing.
func (e *Editor) Check(ctx context.Context, d Edit) (conf.Problems, error) {
	s, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	return s.check(d), nil
}

// Apply makes the edit in one transaction. An error means that nothing was written,
// unless it is an [*UnknownError]. It may be a [*ProblemsError], a [*ConflictError], a
// [*SizeError] or an error of the store.
func (e *Editor) Apply(ctx context.Context, d Edit) (Receipt, error) {
	first, err := e.Read(ctx)
	if err != nil {
		return Receipt{}, err
	}
	touched := editedPaths(d)
	if d.Base != 0 {
		if err := e.checkBase(ctx, first, d.Base, touched); err != nil {
			return Receipt{}, err
		}
	}
	s := first
	for range maxAttempts {
		r, err := e.attempt(ctx, s, d)
		if !errors.Is(err, coltsfootloft.ErrConflict) {
			return r, err
		}
		if err := e.pause(ctx, conflictWait); err != nil {
			return Receipt{}, err
		}
		if s, err = e.Read(ctx); err != nil {
			return Receipt{}, err
		}
		if conflicting := first.changedPaths(s, touched); len(conflicting) > 0 {
			return Receipt{}, &ConflictError{
				paths:  conflicting,
				reason: "changed since they were read",
			}
		}
	}
	return Receipt{}, &ConflictError{
		paths:  touched,
		reason: "other changes keep coming first",
	}
}

// attempt makes the edit on the snapshot s. If there is nothing to change, it only
// checks that s is the current state.
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

// checkBase fails with a ConflictError if one of the touched paths has changed since
// the base revision. It reads the records back to base, as a removed path has no
// version that would show the change.
func (e *Editor) checkBase(ctx context.Context, s *Snapshot, base uint64, touched []string) error {
	var conflicting []string
	for _, p := range touched {
		if s.versions[p] > base {
			conflicting = append(conflicting, p)
		}
	}
	for id := s.head.Change; id != "" && len(conflicting) == 0; {
		r, err := e.Find(ctx, id)
		if err != nil {
			return err
		}
		if r.Revision <= base {
			break
		}
		conflicting = r.changedAmong(touched)
		id = r.Previous
	}
	if len(conflicting) == 0 {
		return nil
	}
	return &ConflictError{
		paths:  conflicting,
		reason: "changed since the base revision",
	}
}

// pause waits for d/2 to 3d/2, at random so that racing operators don't collide again.
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

func (e *Editor) outcomeTimeout() time.Duration {
	return cmp.Or(e.OutcomeTimeout, DefaultOutcomeTimeout)
}

// editedPaths returns the paths that the edit touches, sorted.
func editedPaths(d Edit) []string {
	r := make([]string, 0, len(d.Put)+len(d.Remove))
	for p := range d.Put {
		r = append(r, p)
	}
	r = append(r, d.Remove...)
	slices.Sort(r)
	return r
}

// changedAmong returns those of the touched paths that the recorded change has changed.
func (r Record) changedAmong(touched []string) []string {
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
