package dbase

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxApply is the maximum number of records applied in one engine transaction.
const maxApply = 256

// newDataFile switches to a new, empty data file. Handles of the old file stay
// valid.
func (s *Server) newDataFile() error {
	s.fileCount++
	p := filepath.Join(s.tmp, fmt.Sprintf("data-%d.db", s.fileCount))
	h, err := openHandle(p)
	if err != nil {
		return err
	}
	defer h.close()
	s.path.Store(&p)
	return nil
}

// recover applies the whole log that was read from the directory.
func (s *Server) recover() error {
	h, err := openHandle(*s.path.Load())
	if err != nil {
		return err
	}
	defer h.close()
	return s.applyRecords(h, s.state.log, func() error {
		s.state.applied = uint64(len(s.state.log))
		return errors.Wrap(h.exec("COMMIT"), "recover")
	})
}

// applyRecords executes the statements of records in one engine transaction.
// done commits it.
func (s *Server) applyRecords(h *handle, records []*record, done func() error) error {
	if err := h.exec("BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "apply")
	}
	for _, r := range records {
		for _, c := range r.Changes {
			if err := h.exec(c.Text, c.Args...); err != nil {
				s.Log.Error(err, "statement failed on the replica, its data differs from the primary", "name", s.Name, "offset", r.Offset, "statement", c.Text)
			}
		}
	}
	if err := done(); err != nil {
		_ = h.exec(tagRollback)
		return err
	}
	return nil
}

// apply applies received records once their lag has passed, until ctx ends.
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

// awaitDue waits until a record is due to be applied.
func (s *Server) awaitDue(ctx context.Context) error {
	for {
		if err := s.awaitUnfrozen(ctx); err != nil {
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

// untilDue returns the time until the next record is due, or -1 if there is none.
// The caller holds s.mu.
func (s *Server) untilDue() time.Duration {
	if s.state.applied == uint64(len(s.state.log)) {
		return -1
	}
	if s.skipLag || s.state.applied < s.syncTo {
		return 0
	}
	return max(0, s.arrivals[0].Add(s.lag).Sub(s.Clock.Now()))
}

// isDue reports whether the record with index n among those not yet applied is
// due. The caller holds s.mu.
func (s *Server) isDue(n int) bool {
	if s.skipLag || s.state.applied+uint64(n) < s.syncTo {
		return true
	}
	return !s.arrivals[n].Add(s.lag).After(s.Clock.Now())
}

// applyDue applies the records that are due now. The caller holds the write lock,
// so that neither the data file nor the applied offset changes meanwhile.
func (s *Server) applyDue(h *handle) error {
	s.mu.Lock()
	from := s.state.applied
	to := from
	for to < uint64(len(s.state.log)) && to < from+maxApply && s.isDue(int(to-from)) {
		to++
	}
	records := s.state.log[from:to]
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.applyRecords(h, records, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := h.exec("COMMIT"); err != nil {
			return errors.Wrap(err, "apply")
		}
		for _, r := range records {
			if slices.ContainsFunc(r.Changes, func(c change) bool { return c.Schema }) {
				s.schemaVersion.Add(1)
			}
		}
		s.state.applied = to
		s.arrivals = s.arrivals[len(records):]
		s.notify()
		return nil
	})
}

// lockWriter acquires the write lock for a session, or for the database itself if
// x is nil.
func (s *Server) lockWriter(ctx context.Context, x *session) error {
	select {
	case s.writeLock <- struct{}{}:
		s.lockHolder.Store(x)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) tryLockWriter(x *session) bool {
	select {
	case s.writeLock <- struct{}{}:
		s.lockHolder.Store(x)
		return true
	default:
		return false
	}
}

func (s *Server) unlockWriter() {
	s.lockHolder.Store(nil)
	<-s.writeLock
}
