package caller

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/io/dial"
	"coltsfootloft/io/pool"
)

// errEnded: the host ended the session between requests.
var errEnded = errors.New("session ended by the host")

// goodbye is why and how the host ends a session.
type goodbye struct {
	message string
}

// longAgo interrupts a read at once when set as its deadline.
var longAgo = time.Unix(1, 0)

// awaitRequest waits for the first byte of the caller's next message. Between
// transactions it is where the host may end the session.
func (s *Session) awaitRequest() error {
	for {
		s.setBusy(false)
		if s.ended() && s.mayEnd() {
			return s.farewell()
		}
		err := s.peek()
		s.setBusy(true)
		if err == nil || !s.ended() || !dial.IsTimeout(err) {
			return err
		}
	}
}

// setBusy tells End whether a request is being read or run. A deadline that End
// has set must not cut a request.
func (s *Session) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	if busy {
		_ = s.Conn.SetReadDeadline(time.Time{})
	}
}

// peek waits for a byte without taking it.
func (s *Session) peek() error {
	p, ok := s.Conn.(interface{ Peek() error })
	if !ok {
		return nil
	}
	return p.Peek()
}

// mayEnd reports whether the session is between transactions and batches.
func (s *Session) mayEnd() bool {
	return s.tx == txIdle && s.pinned == nil && len(s.batch.steps) == 0
}

func (s *Session) ended() bool { return s.ending.Load() != nil }

// End asks the session to end as soon as no transaction is open. It may be called
// from any goroutine.
func (s *Session) End(message string) {
	s.ending.Store(&goodbye{message: message})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy {
		_ = s.Conn.SetReadDeadline(longAgo)
	}
}

// Kill ends the session at once: a running request is cut off, and its outcome is
// unknown to the caller. It may be called from any goroutine.
func (s *Session) Kill() {
	s.mu.Lock()
	s.killed = true
	c := s.current
	s.mu.Unlock()
	if c != nil {
		c.Abort()
	}
	s.Conn.Close()
}

// farewell tells the caller why the session ends.
func (s *Session) farewell() error {
	_ = s.Conn.SetDeadline(s.now().Add(time.Second))
	if err := s.out.add(Farewell(s.ending.Load().message)); err != nil {
		return err
	}
	if err := s.out.flush(); err != nil {
		return err
	}
	return errEnded
}

// borrow notes the connection that the session uses, for Kill and Cancel. It
// reports false if the session was killed while it waited for the connection.
func (s *Session) borrow(c *pool.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return false
	}
	s.current = c
	return true
}

// unpin gives the session's connection back.
func (s *Session) unpin() {
	c := s.pinned
	s.pinned = nil
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
	if c != nil {
		c.Release()
	}
}

// Running returns the connection that a cancel request has to reach. It is marked
// as broken before, so that the cancel can't hit its next borrower.
func (s *Session) Running() (c *pool.Conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, false
	}
	s.current.Break()
	return s.current, true
}

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
