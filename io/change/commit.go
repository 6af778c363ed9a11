package change

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

// transaction is a change made for one state of the settings. However often it
// is sent, it takes effect at most once.
type transaction struct {
	record   Record
	head     uint64
	seen     uint64
	versions map[string]uint64
	changes  []coltsfootloft.Change
}

// plan returns the transaction for the state s, or nil if it would change nothing.
func (e *Editor) plan(s *Snapshot, d Edit) (*transaction, error) {
	if err := d.valid(); err != nil {
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
		head:     s.versions[conf.HeadPath],
		seen:     s.revision,
		versions: make(map[string]uint64, len(delta)),
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
		coltsfootloft.Put(headKey, encode(h), t.head),
		coltsfootloft.Put(HistoryPrefix+t.record.Change, encode(t.record), 0),
	)
	return t, nil
}

// commit sends the transaction until its outcome is known. ErrConflict means that
// it has not taken effect and never will.
func (e *Editor) commit(ctx context.Context, t *transaction) (Receipt, error) {
	deadline := e.clock().Now().Add(e.patience())
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
		if !e.again(ctx, deadline) {
			return Receipt{}, t.unknown(err)
		}
	}
}

// resolve finds out, after a lost answer and then a conflict, which of the two
// the transaction met first.
func (e *Editor) resolve(ctx context.Context, t *transaction, deadline time.Time) (Receipt, error) {
	for {
		o, revision, err := e.outcome(ctx, t)
		switch o {
		case tookEffect:
			return t.receipt(revision), nil
		case neverWill:
			return Receipt{}, errors.Wrap(coltsfootloft.ErrConflict, "after a lost answer")
		case open:
		}
		if !e.again(ctx, deadline) {
			return Receipt{}, t.unknown(err)
		}
	}
}

// outcome reads the settings once. The head moves from the transaction's own
// version once only: to the transaction, or to one that rules it out. An old
// state, in which neither has happened, says nothing.
func (e *Editor) outcome(ctx context.Context, t *transaction) (outcome, uint64, error) {
	s, err := e.Read(ctx)
	if err != nil {
		return open, 0, err
	}
	if s.versions[conf.HeadPath] > t.head {
		return e.follow(ctx, t, s.head.Change)
	}
	for p, v := range t.versions {
		if s.revision > t.seen && s.versions[p] != v {
			return neverWill, 0, nil
		}
	}
	return open, 0, errors.New("the store still shows the state before the change")
}

// follow goes back from a change to the one that took the transaction's number.
func (e *Editor) follow(ctx context.Context, t *transaction, id string) (outcome, uint64, error) {
	for id != "" {
		r, err := e.Find(ctx, id)
		if err != nil {
			return open, 0, err
		}
		if r.Change == t.record.Change {
			return tookEffect, r.Revision, nil
		}
		if r.Number <= t.record.Number {
			break
		}
		id = r.Previous
	}
	return neverWill, 0, nil
}

func (e *Editor) again(ctx context.Context, deadline time.Time) bool {
	if e.clock().Now().After(deadline) {
		return false
	}
	return e.pause(ctx, silenceWait) == nil
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

// outcome is what is known of a transaction.
type outcome uint8

const (
	// open: it may have taken effect, or may still do so.
	open outcome = iota
	// tookEffect: it has taken effect.
	tookEffect
	// neverWill: it has not taken effect and never will.
	neverWill
)
