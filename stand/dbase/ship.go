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

// hello opens a replication connection.
type hello struct {
	Name string
	// Ask wants only to know whether the peer has met Name.
	Ask  bool
	Term string
	Runs []run
}

// answer replies to a hello. Records up to Common are shared; End is the end of
// the primary's log.
type answer struct {
	Refused string
	Met     bool
	Common  uint64
	End     uint64
}

// shipment carries records in the order of the log.
type shipment struct {
	Records []*record
}

// maxShip bounds the records of a shipment.
const maxShip = 512

// helloTimeout bounds the wait for a hello and its answer.
const helloTimeout = 2 * time.Second

// askTimeout bounds what a start waits for peers that do not answer.
const askTimeout = 250 * time.Millisecond

// ship serves the log to one replica while the reign lasts that it asked for.
func (s *Server) ship(ctx context.Context, c net.Conn) {
	var h hello
	if c.SetReadDeadline(time.Now().Add(helloTimeout)) != nil || gob.NewDecoder(c).Decode(&h) != nil {
		return
	}
	if s.thaw(ctx) != nil {
		return
	}
	reply, epoch := s.welcome(&h)
	o := newOutlet(c)
	if o.send(&reply) != nil || reply.Refused != "" || h.Ask {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchClose(c, cancel)
	s.stream(ctx, o, reply.Common, epoch)
}

// stream sends the records past an offset as they come.
func (s *Server) stream(ctx context.Context, o *outlet, offset, epoch uint64) {
	for ctx.Err() == nil {
		records, changed, ok := s.after(offset, epoch)
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
		if s.thaw(ctx) != nil || o.send(batch) != nil {
			return
		}
		offset += uint64(len(records))
	}
}

// outlet sends values on one connection.
type outlet struct {
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newOutlet(c net.Conn) *outlet {
	w := bufio.NewWriterSize(c, 1<<16)
	return &outlet{
		buffer:  w,
		encoder: gob.NewEncoder(w),
	}
}

func (o *outlet) send(v any) error {
	if err := o.encoder.Encode(v); err != nil {
		return errors.Wrap(err, "ship")
	}
	return errors.Wrap(o.buffer.Flush(), "ship")
}

// watchClose calls closed once the peer, which sends nothing more, has gone.
func watchClose(c net.Conn, closed func()) {
	defer closed()
	_ = c.SetReadDeadline(time.Time{})
	_, _ = c.Read(make([]byte, 1))
}

// welcome answers a hello and returns the epoch that the shipping lasts for.
func (s *Server) welcome(h *hello) (answer, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Ask {
		return answer{
			Met: s.ledger.met[h.Name],
		}, 0
	}
	term, err := coltsfootloft.ParseTerm(h.Term)
	if err != nil || s.ledger.role != coltsfootloft.Primary || s.ledger.reign != term {
		return answer{
			Refused: "not the primary of term " + h.Term,
		}, 0
	}
	if s.ledger.meet(h.Name) {
		if err := s.journal.state(&s.ledger); err != nil {
			s.Log.Error(err, "journal", "name", s.Name)
		}
	}
	return answer{
		Common: common(s.ledger.runs, h.Runs),
		End:    uint64(len(s.ledger.log)),
	}, s.ledger.epoch
}

// after returns records past an offset. It is not ok once the database has
// stopped to be the primary of this epoch's reign.
func (s *Server) after(offset, epoch uint64) (records []*record, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.role != coltsfootloft.Primary || s.ledger.epoch != epoch {
		return nil, nil, false
	}
	end := min(uint64(len(s.ledger.log)), offset+maxShip)
	return s.ledger.log[offset:end], s.changed, true
}

// isKnown asks all peers whether one has met this database before.
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
