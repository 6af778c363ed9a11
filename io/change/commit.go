package change

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

// transaction is a change made for one state of the settings. However often it is
// sent, it takes effect at most once.
type transaction struct {
	record Record
	// headVersion is the version of the head key that the transaction requires.
	headVersion uint64
	// revision is the store's revision of the snapshot for which it was made.
	revision uint64
	// versions holds the versions of the changed paths that it requires.
	versions map[string]uint64
	changes  []coltsfootloft.Change
}

// plan returns the transaction that makes the edit on the snapshot s, or nil if it
// would change nothing.
func (e *Editor) plan(s *Snapshot, d Edit) (*transaction, error) {
	if err := d.validate(); err != nil {
		return nil, err
	}
	if p := s.check(d); len(p) > 0 {
		return nil, &ProblemsError{problems: p}
	}
	delta := s.delta(d)
	switch {
	case len(delta) == 0:
		return nil, nil
	case len(delta) > MaxPaths:
		return nil, &SizeError{count: len(delta)}
	}
	t := &transaction{
		headVersion: s.versions[conf.HeadPath],
		revision:    s.revision,
		versions:    make(map[string]uint64, len(delta)),
		record: Record{
			Change:   newID(s.head.Number + 1),
			Number:   s.head.Number + 1,
			Previous: s.head.Change,
			Author:   e.Author,
			At:       e.clock().Now().UTC(),
			Note:     d.Note,
			Paths:    delta,
		},
	}
	for _, c := range delta {
		version := s.versions[c.Path]
		t.versions[c.Path] = version
		if v, put := d.Put[c.Path]; put {
			t.changes = append(t.changes, coltsfootloft.Put(conf.StorePrefix+c.Path, v, version))
			continue
		}
		t.changes = append(t.changes, coltsfootloft.Remove(conf.StorePrefix+c.Path, version))
	}
	h := head{
		Change: t.record.Change,
		Number: t.record.Number,
	}
	t.changes = append(t.changes,
		coltsfootloft.Put(headKey, encode(h), t.headVersion),
		coltsfootloft.Put(HistoryPrefix+t.record.Change, encode(t.record), 0),
	)
	return t, nil
}

// commit sends the transaction until its outcome is known. ErrConflict means that it
// has not taken effect and never will.
func (e *Editor) commit(ctx context.Context, t *transaction) (Receipt, error) {
	deadline := e.clock().Now().Add(e.outcomeTimeout())
	uncertain := false
	for {
		revision, err := e.Store.Apply(ctx, t.changes)
		switch {
		case err == nil:
			return t.receipt(revision), nil
		case errors.Is(err, coltsfootloft.ErrConflict) && !uncertain:
			return Receipt{}, err
		case errors.Is(err, coltsfootloft.ErrConflict):
			return e.resolve(ctx, t, deadline)
		case errors.Is(err, coltsfootloft.ErrOutcomeUnknown):
			uncertain = true
		case !uncertain:
			return Receipt{}, errors.Wrap(err, "nothing written")
		}
		if !e.waitRetry(ctx, deadline) {
			return Receipt{}, t.unknown(err)
		}
	}
}

// resolve determines the outcome of a transaction that met a conflict after an answer
// was lost: the conflict is either with another change or with the transaction's own
// earlier attempt.
func (e *Editor) resolve(ctx context.Context, t *transaction, deadline time.Time) (Receipt, error) {
	for {
		o, revision, err := e.outcome(ctx, t)
		switch o {
		case applied:
			return t.receipt(revision), nil
		case neverApplied:
			return Receipt{}, errors.Wrap(coltsfootloft.ErrConflict, "after a lost answer")
		case undecided:
		}
		if !e.waitRetry(ctx, deadline) {
			return Receipt{}, t.unknown(err)
		}
	}
}

// outcome reads the settings once. The head leaves the version that the transaction
// requires exactly once: either by the transaction, or by a change that rules it out.
// A stale read that shows neither leaves the outcome undecided.
func (e *Editor) outcome(ctx context.Context, t *transaction) (outcome, uint64, error) {
	s, err := e.Read(ctx)
	if err != nil {
		return undecided, 0, err
	}
	if s.versions[conf.HeadPath] > t.headVersion {
		return e.searchChain(ctx, t, s.head.Change)
	}
	for p, v := range t.versions {
		if s.revision > t.revision && s.versions[p] != v {
			return neverApplied, 0, nil
		}
	}
	return undecided, 0, errors.New("the store still shows the state before the change")
}

// searchChain follows the records back from the change id to the one that has the
// transaction's number, and reports whether that is the transaction.
func (e *Editor) searchChain(ctx context.Context, t *transaction, id string) (outcome, uint64, error) {
	for id != "" {
		r, err := e.Find(ctx, id)
		if err != nil {
			return undecided, 0, err
		}
		if r.Change == t.record.Change {
			return applied, r.Revision, nil
		}
		if r.Number <= t.record.Number {
			break
		}
		id = r.Previous
	}
	return neverApplied, 0, nil
}

// waitRetry pauses before the next attempt. It returns false if the deadline has
// passed or ctx has ended.
func (e *Editor) waitRetry(ctx context.Context, deadline time.Time) bool {
	if e.clock().Now().After(deadline) {
		return false
	}
	return e.pause(ctx, uncertainWait) == nil
}

func (t *transaction) receipt(revision uint64) Receipt {
	t.record.Revision = revision
	return Receipt{
		record:   t.record,
		revision: revision,
	}
}

func (t *transaction) unknown(cause error) error {
	return &UnknownError{
		change: t.record.Change,
		cause:  cause,
	}
}

// outcome is what is known about whether a transaction has taken effect.
type outcome uint8

const (
	// undecided: it may have taken effect, or may still do so.
	undecided outcome = iota
	// applied: it has taken effect.
	applied
	// neverApplied: it has not taken effect and never will.
	neverApplied
)
