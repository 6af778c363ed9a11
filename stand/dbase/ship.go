package dbase

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

// hello is the first message on a replication connection, from the replica. Name
// is the replica, Term the term that it follows and Runs the runs of its log. gob
// stores the names of the types and their fields.
type hello struct {
	Name string
	// Ask only asks whether the peer has replicated with the database Name before.
	Ask  bool
	Term string
	Runs []run
}

// answer is the reply to a hello. Refused is the reason of a refusal, Met answers
// Ask, Common is the offset of the last record that both logs have in common, and
// End the last offset of the primary's log.
type answer struct {
	Refused string
	Met     bool
	Common  uint64
	End     uint64
}

// shipment is a batch of records in log order.
type shipment struct {
	Records []*record
}

// maxShip is the maximum number of records in a shipment.
const maxShip = 512

// helloTimeout limits the wait for a hello and for its answer.
const helloTimeout = 2 * time.Second

// askTimeout limits how long a starting database waits for peers that do not
// answer.
const askTimeout = 250 * time.Millisecond

// ship sends the log to one replica for as long as the database is the primary of
// the term that the replica asked for.
func (s *Server) ship(ctx context.Context, c net.Conn) {
	var h hello
	if c.SetReadDeadline(time.Now().Add(helloTimeout)) != nil || gob.NewDecoder(c).Decode(&h) != nil {
		return
	}
	if s.awaitUnfrozen(ctx) != nil {
		return
	}
	reply, epoch := s.answerHello(&h)
	sd := newSender(c)
	if sd.send(&reply) != nil || reply.Refused != "" || h.Ask {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchClose(c, cancel)
	s.stream(ctx, sd, reply.Common, epoch)
}

// stream sends the records after offset, and new ones as they are written.
func (s *Server) stream(ctx context.Context, sd *sender, offset, epoch uint64) {
	for ctx.Err() == nil {
		records, changed, ok := s.recordsAfter(offset, epoch)
		if !ok {
			return
		}
		if len(records) == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		batch := &shipment{
			Records: records,
		}
		if s.awaitUnfrozen(ctx) != nil || sd.send(batch) != nil {
			return
		}
		offset += uint64(len(records))
	}
}

// sender encodes values to one connection.
type sender struct {
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newSender(c net.Conn) *sender {
	w := bufio.NewWriterSize(c, 1<<16)
	return &sender{
		buffer:  w,
		encoder: gob.NewEncoder(w),
	}
}

func (sd *sender) send(v any) error {
	if err := sd.encoder.Encode(v); err != nil {
		return errors.Wrap(err, "ship")
	}
	return errors.Wrap(sd.buffer.Flush(), "ship")
}

// watchClose calls closed once the connection ends. The peer sends nothing more.
func watchClose(c net.Conn, closed func()) {
	defer closed()
	_ = c.SetReadDeadline(time.Time{})
	_, _ = c.Read(make([]byte, 1))
}

// answerHello returns the answer to a hello and the epoch in which the log may be
// sent.
func (s *Server) answerHello(h *hello) (answer, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Ask {
		return answer{
			Met: s.state.knownPeers[h.Name],
		}, 0
	}
	term, err := coltsfootloft.ParseTerm(h.Term)
	if err != nil || s.state.role != coltsfootloft.Primary || s.state.primaryTerm != term {
		return answer{
			Refused: "not the primary of term " + h.Term,
		}, 0
	}
	if s.state.addPeer(h.Name) {
		if err := s.journal.state(&s.state); err != nil {
			s.Log.Error(err, "journal", "name", s.Name)
		}
	}
	return answer{
		Common: commonPrefix(s.state.runs, h.Runs),
		End:    uint64(len(s.state.log)),
	}, s.state.epoch
}

// recordsAfter returns records after offset. ok is false once the database is no
// longer primary in this epoch.
func (s *Server) recordsAfter(offset, epoch uint64) (records []*record, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.role != coltsfootloft.Primary || s.state.epoch != epoch {
		return nil, nil, false
	}
	end := min(uint64(len(s.state.log)), offset+maxShip)
	return s.state.log[offset:end], s.changed, true
}

// isKnown reports whether a peer has replicated with this database before. It asks
// all of them.
func (s *Server) isKnown(ctx context.Context) bool {
	answers := make(chan bool, len(s.Peers))
	for _, address := range s.Peers {
		go func() { answers <- s.ask(ctx, address) }()
	}
	known := false
	for range s.Peers {
		known = <-answers || known
	}
	return known
}

func (s *Server) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := dial.From(s.Listen, 0)(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(askTimeout))
	h := hello{
		Name: s.Name,
		Ask:  true,
	}
	var a answer
	if gob.NewEncoder(c).Encode(&h) != nil || gob.NewDecoder(c).Decode(&a) != nil {
		return false
	}
	return a.Met
}
