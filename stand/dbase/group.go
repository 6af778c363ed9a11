package dbase

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// errLost refuses what needs the state that a database has lost.
var errLost = failure(codeFenced, "database has lost its state and takes no part in its group")

// status reads the state now.
func (s *Server) status() coltsfootloft.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.reading(s.version)
}

// await returns the first reading with another version than seen, or the current
// one after d.
func (s *Server) await(ctx context.Context, seen uint64, d time.Duration) (coltsfootloft.Reading, error) {
	t := s.Clock.NewTimer(d)
	defer t.Stop()
	for {
		s.mu.Lock()
		r, changed := s.ledger.reading(s.version), s.changed
		s.mu.Unlock()
		if r.Version() != seen {
			return r, nil
		}
		select {
		case <-changed:
		case <-t.Chan():
			return s.status(), nil
		case <-ctx.Done():
			return r, failure(codeCancelled, "canceling statement due to user request")
		}
	}
}

// update runs one step of the ledger and keeps the new state in the journal.
func (s *Server) update(step func(l *ledger) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return errLost
	}
	if err := step(&s.ledger); err != nil {
		return err
	}
	if err := s.journal.state(&s.ledger); err != nil {
		return err
	}
	s.notify()
	return nil
}

func (s *Server) raise(term coltsfootloft.Term) error {
	return s.update(func(l *ledger) error { return l.raise(term) })
}

func (s *Server) follow(term coltsfootloft.Term, primary string) error {
	if _, ok := s.Peers[primary]; !ok {
		return failure(codeUndefinedTable, "no peer is named %q", primary)
	}
	err := s.update(func(l *ledger) error {
		l.meet(primary)
		s.hurry = false
		return l.follow(term, primary)
	})
	if err == nil {
		s.abandonWriter()
	}
	return err
}

// promote applies the whole log without lag and then starts the term.
func (s *Server) promote(ctx context.Context, term coltsfootloft.Term) error {
	reigns := false
	err := s.update(func(l *ledger) error {
		var err error
		if reigns, err = l.startPromotion(term); err == nil && !reigns {
			s.hurry = true
		}
		return err
	})
	if err != nil || reigns {
		return err
	}
	s.abandonWriter()
	for {
		s.mu.Lock()
		changed, applied, overtaken := s.changed, s.ledger.applied == uint64(len(s.ledger.log)), s.ledger.fence != term
		s.mu.Unlock()
		if applied || overtaken {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return failure(codeCancelled, "canceling statement due to user request")
		}
	}
	return s.update(func(l *ledger) error {
		r, err := l.finishPromotion(term)
		if err != nil {
			return err
		}
		s.hurry = false
		s.syncTo = 0
		return s.journal.record(r)
	})
}

// abandonWriter ends the transaction of the session that has the write lock.
func (s *Server) abandonWriter() {
	if x := s.holder.Load(); x != nil {
		go x.abandon()
	}
}

// commit makes an engine transaction of this reign final, if the reign still
// holds. Check and commit are one step against every change of the fence.
func (s *Server) commit(h *handle, reign coltsfootloft.Term, changes []change) (coltsfootloft.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.writable(reign) {
		return coltsfootloft.Position{}, failure(codeSerialization, "commit refused: term %s was fenced by term %s", reign, s.ledger.fence)
	}
	r := s.ledger.write(changes)
	if err := s.journal.record(r); err != nil {
		s.ledger.undo()
		return coltsfootloft.Position{}, err
	}
	if err := h.exec("COMMIT"); err != nil {
		s.ledger.undo()
		_ = s.journal.cut(r.Offset - 1)
		return coltsfootloft.Position{}, errors.Wrap(err, "commit")
	}
	s.notify()
	return coltsfootloft.NewPosition(reign, r.Offset), nil
}

// reign is the term in which the database takes writes now.
func (s *Server) reign() (coltsfootloft.Term, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.writable(s.ledger.reign) || s.lost {
		return coltsfootloft.Term{}, failure(codeReadOnly, "cannot execute this statement in a read-only transaction: %s, fence term %s",
			s.ledger.role, s.ledger.fence)
	}
	return s.ledger.reign, nil
}
