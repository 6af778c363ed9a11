package dbase

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// errStateLost refuses operations that need the state that the database has lost.
var errStateLost = sqlErrorf(codeFenced, "database has lost its state and takes no part in its group")

// status returns the current reading.
func (s *Server) status() coltsfootloft.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.reading(s.version)
}

// await returns the first reading whose version differs from version, or the
// current one after d.
func (s *Server) await(ctx context.Context, version uint64, d time.Duration) (coltsfootloft.Reading, error) {
	t := s.Clock.NewTimer(d)
	defer t.Stop()
	for {
		s.mu.Lock()
		r, changed := s.state.reading(s.version), s.changed
		s.mu.Unlock()
		if r.Version() != version {
			return r, nil
		}
		select {
		case <-changed:
		case <-t.Chan():
			return s.status(), nil
		case <-ctx.Done():
			return r, sqlErrorf(codeCancelled, "canceling statement due to user request")
		}
	}
}

// update runs step on the replication state and writes the new state to the
// journal.
func (s *Server) update(step func(st *replState) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stateLost {
		return errStateLost
	}
	if err := step(&s.state); err != nil {
		return err
	}
	if err := s.journal.state(&s.state); err != nil {
		return err
	}
	s.notify()
	return nil
}

func (s *Server) raiseFence(term coltsfootloft.Term) error {
	return s.update(func(st *replState) error { return st.raiseFence(term) })
}

func (s *Server) follow(term coltsfootloft.Term, primary string) error {
	if _, ok := s.Peers[primary]; !ok {
		return sqlErrorf(codeUndefinedTable, "no peer is named %q", primary)
	}
	err := s.update(func(st *replState) error {
		st.addPeer(primary)
		s.skipLag = false
		return st.follow(term, primary)
	})
	if err == nil {
		s.abortWriter()
	}
	return err
}

// promote applies the whole log without lag and then starts term as its primary.
func (s *Server) promote(ctx context.Context, term coltsfootloft.Term) error {
	isPrimary := false
	err := s.update(func(st *replState) error {
		var err error
		if isPrimary, err = st.startPromotion(term); err == nil && !isPrimary {
			s.skipLag = true
		}
		return err
	})
	if err != nil || isPrimary {
		return err
	}
	s.abortWriter()
	for {
		s.mu.Lock()
		changed, applied, overtaken := s.changed, s.state.applied == uint64(len(s.state.log)), s.state.fence != term
		s.mu.Unlock()
		if applied || overtaken {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return sqlErrorf(codeCancelled, "canceling statement due to user request")
		}
	}
	return s.update(func(st *replState) error {
		r, err := st.finishPromotion(term)
		if err != nil {
			return err
		}
		s.skipLag = false
		s.syncTo = 0
		return s.journal.record(r)
	})
}

// abortWriter ends the transaction of the session that holds the write lock.
func (s *Server) abortWriter() {
	if x := s.lockHolder.Load(); x != nil {
		go x.abort()
	}
}

// commit logs and commits an engine transaction, if the database is still the
// primary of the term that the transaction began in. Check and commit both run
// under s.mu, so that no change of the fence can come between them.
func (s *Server) commit(h *handle, term coltsfootloft.Term, changes []change) (coltsfootloft.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.writable(term) {
		return coltsfootloft.Position{}, sqlErrorf(codeSerialization, "commit refused: term %s was fenced by term %s", term, s.state.fence)
	}
	r := s.state.write(changes)
	if err := s.journal.record(r); err != nil {
		s.state.undo()
		return coltsfootloft.Position{}, err
	}
	if err := h.exec("COMMIT"); err != nil {
		s.state.undo()
		_ = s.journal.truncate(r.Offset - 1)
		return coltsfootloft.Position{}, errors.Wrap(err, "commit")
	}
	s.notify()
	return coltsfootloft.NewPosition(term, r.Offset), nil
}

// primaryTerm returns the term in which the database is primary, or an error if it
// does not accept writes.
func (s *Server) primaryTerm() (coltsfootloft.Term, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.writable(s.state.primaryTerm) || s.stateLost {
		return coltsfootloft.Term{}, sqlErrorf(codeReadOnly, "cannot execute this statement in a read-only transaction: %s, fence term %s",
			s.state.role, s.state.fence)
	}
	return s.state.primaryTerm, nil
}
