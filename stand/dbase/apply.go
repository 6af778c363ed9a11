package dbase

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxApply bounds the records that are applied in one engine transaction.
const maxApply = 256

// freshFile starts an empty data file; handles to the old one stay valid.
func (s *Server) freshFile() error {
	s.files++
	p := filepath.Join(s.tmp, fmt.Sprintf("data-%d.db", s.files))
	h, err := openHandle(p)
	if err != nil {
		return err
	}
	defer h.close()
	s.path.Store(&p)
	return nil
}

// recover applies the whole log that the directory held.
func (s *Server) recover() error {
	h, err := openHandle(*s.path.Load())
	if err != nil {
		return err
	}
	defer h.close()
	return s.run(h, s.ledger.log, func() error {
		s.ledger.applied = uint64(len(s.ledger.log))
		return errors.Wrap(h.exec("COMMIT"), "recover")
	})
}

// run repeats records in one engine transaction; done runs with its commit.
func (s *Server) run(h *handle, records []*record, done func() error) error {
	if err := h.exec("BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "apply")
	}
	for _, r := range records {
		for _, c := range r.Changes {
			if err := h.exec(c.Text, c.Args...); err != nil {
				s.Log.Error(err, "replica differs from its primary", "name", s.Name, "offset", r.Offset, "statement", c.Text)
			}
		}
	}
	if err := done(); err != nil {
		_ = h.exec(tagRollback)
		return err
	}
	return nil
}

// apply makes received records visible once their lag is over.
func (s *Server) apply(ctx context.Context) error {
	var h *handle
	var path *string
	defer func() {
		if h != nil {
			h.close()
		}
	}()
	for {
		if err := s.awaitDue(ctx); err != nil {
			return nil
		}
		if err := s.lockWriter(ctx, nil); err != nil {
			return nil
		}
		if p := s.path.Load(); p != path {
			if h != nil {
				h.close()
			}
			var err error
			if h, err = openHandle(*p); err != nil {
				s.unlockWriter()
				return err
			}
			path = p
		}
		err := s.applyDue(h)
		s.unlockWriter()
		if err != nil {
			return err
		}
	}
}

// awaitDue waits until a record is due.
func (s *Server) awaitDue(ctx context.Context) error {
	for {
		if err := s.thaw(ctx); err != nil {
			return err
		}
		s.mu.Lock()
		changed := s.changed
		wait := s.untilDue()
		s.mu.Unlock()
		switch {
		case wait == 0:
			return nil
		case wait < 0:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		default:
			t := s.Clock.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-changed:
			case <-t.Chan():
			}
			t.Stop()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// untilDue is the time until the next record is due, or -1 if there is none. The
// caller holds the lock.
func (s *Server) untilDue() time.Duration {
	if s.ledger.applied == uint64(len(s.ledger.log)) {
		return -1
	}
	if s.hurry || s.ledger.applied < s.syncTo {
		return 0
	}
	return max(0, s.arrivals[0].Add(s.lag).Sub(s.Clock.Now()))
}

// isDue reports whether the record that is n places after the applied one may be
// applied. The caller holds the lock.
func (s *Server) isDue(n int) bool {
	if s.hurry || s.ledger.applied+uint64(n) < s.syncTo {
		return true
	}
	return !s.arrivals[n].Add(s.lag).After(s.Clock.Now())
}

// applyDue applies the records that are due now. The caller has the write lock,
// so that neither the file nor the applied offset changes meanwhile.
func (s *Server) applyDue(h *handle) error {
	s.mu.Lock()
	from := s.ledger.applied
	to := from
	for to < uint64(len(s.ledger.log)) && to < from+maxApply && s.isDue(int(to-from)) {
		to++
	}
	records := s.ledger.log[from:to]
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.run(h, records, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := h.exec("COMMIT"); err != nil {
			return errors.Wrap(err, "apply")
		}
		for _, r := range records {
			if slices.ContainsFunc(r.Changes, func(c change) bool { return c.Schema }) {
				s.ddl.Add(1)
			}
		}
		s.ledger.applied = to
		s.arrivals = s.arrivals[len(records):]
		s.notify()
		return nil
	})
}

// lockWriter takes the write lock for a session, or for the database itself if
// x is nil.
func (s *Server) lockWriter(ctx context.Context, x *session) error {
	select {
	case s.writer <- struct{}{}:
		s.holder.Store(x)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) tryLockWriter(x *session) bool {
	select {
	case s.writer <- struct{}{}:
		s.holder.Store(x)
		return true
	default:
		return false
	}
}

func (s *Server) unlockWriter() {
	s.holder.Store(nil)
	<-s.writer
}
