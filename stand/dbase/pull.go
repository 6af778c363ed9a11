package dbase

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/io/dial"
)

// redialDelay is the pause between attempts to connect to the followed primary.
const redialDelay = 20 * time.Millisecond

// pull fetches the log from the currently followed primary until ctx ends.
func (s *Server) pull(ctx context.Context) error {
	for ctx.Err() == nil {
		primary, epoch, changed := s.source()
		if primary == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := s.pullFrom(ctx, primary, epoch); err != nil {
			s.Log.V(1).Info("replication ended", "name", s.Name, "primary", primary, "cause", err.Error())
		}
		_ = s.sleep(ctx, redialDelay)
	}
	return nil
}

// source returns the primary to pull from, with the epoch of its replication, or
// an empty name if there is none.
func (s *Server) source() (primary string, epoch uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.state.primary
	if s.blockedPeers[p] || s.stateLost || !s.state.replicates(s.state.epoch) {
		p = ""
	}
	return p, s.state.epoch, s.changed
}

// pullFrom replicates until the connection or the epoch ends.
func (s *Server) pullFrom(ctx context.Context, primary string, epoch uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.endWithEpoch(ctx, cancel, primary, epoch)
	c, err := dial.From(s.Listen, helloTimeout)(ctx, "tcp", s.Peers[primary])
	if err != nil {
		return errors.Wrap(err, "replication")
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	dec := gob.NewDecoder(bufio.NewReaderSize(c, 1<<16))
	a, err := s.sendHello(c, dec)
	if err != nil {
		return err
	}
	if err := s.truncateDiverged(ctx, epoch, a); err != nil {
		return err
	}
	for {
		var batch shipment
		if err := dec.Decode(&batch); err != nil {
			return errors.Wrap(err, "replication")
		}
		if err := s.awaitUnfrozen(ctx); err != nil {
			return err
		}
		if err := s.receive(epoch, primary, batch.Records); err != nil {
			return err
		}
	}
}

// endWithEpoch calls cancel once primary is no longer the source of replication or
// the epoch has changed.
func (s *Server) endWithEpoch(ctx context.Context, cancel context.CancelFunc, primary string, epoch uint64) {
	defer cancel()
	for {
		p, e, changed := s.source()
		if p != primary || e != epoch {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendHello opens a replication connection and waits for the primary's answer.
func (s *Server) sendHello(c net.Conn, dec *gob.Decoder) (answer, error) {
	s.mu.Lock()
	h := hello{
		Name: s.Name,
		Term: s.state.followed.String(),
		Runs: append([]run{}, s.state.runs...),
	}
	s.mu.Unlock()
	var a answer
	if err := gob.NewEncoder(c).Encode(&h); err != nil {
		return a, errors.Wrap(err, "replication")
	}
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	if err := dec.Decode(&a); err != nil {
		return a, errors.Wrap(err, "replication")
	}
	if a.Refused != "" {
		return a, errors.New(a.Refused)
	}
	return a, errors.Wrap(c.SetReadDeadline(time.Time{}), "replication")
}

// truncateDiverged truncates the log to the prefix that it has in common with the
// primary's. If applied records are dropped, it switches to a new data file and
// ends the sessions of clients.
func (s *Server) truncateDiverged(ctx context.Context, epoch uint64, a answer) error {
	if err := s.lockWriter(ctx, nil); err != nil {
		return err
	}
	defer s.unlockWriter()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.replicates(epoch) {
		return errors.New("replication epoch has ended")
	}
	if a.Common == uint64(len(s.state.log)) {
		return nil
	}
	if err := s.journal.truncate(a.Common); err != nil {
		return err
	}
	rebuild := s.state.truncate(a.Common)
	s.notify()
	if !rebuild {
		s.arrivals = s.arrivals[:a.Common-s.state.applied]
		return nil
	}
	s.arrivals = make([]time.Time, a.Common)
	s.syncTo = a.End
	s.Log.Info("log diverged from the primary, rebuilding the data", "name", s.Name, "common", a.Common, "end", a.End)
	for _, x := range s.sessions {
		if !x.platform {
			go x.terminate()
		}
	}
	s.schemaVersion.Add(1)
	return s.newDataFile()
}

// receive appends records to the log and the journal.
func (s *Server) receive(epoch uint64, primary string, records []*record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, r := range records {
		if s.blockedPeers[primary] || !s.state.appendReceived(epoch, r) {
			return errors.Errorf("record %d is not the next one or its replication has ended", r.Offset)
		}
		s.arrivals = append(s.arrivals, now)
		if err := s.journal.record(r); err != nil {
			return err
		}
	}
	s.notify()
	return nil
}
