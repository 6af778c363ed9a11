package caller

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/pool"
)

// errEnded means that the host ended the session between requests.
var errEnded = errors.New("session ended by the host")

// shutdown is the host's request to end a session.
type shutdown struct {
	message string
}

// pastDeadline is a deadline that interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// awaitRequest waits for the first byte of the caller's next message. The host can
// end the session here if no transaction is open.
func (s *Session) awaitRequest() error {
	for {
		s.setBusy(false)
		if s.isEnding() && s.isIdle() {
			return s.sendShutdown()
		}
		err := s.peek()
		s.setBusy(true)
		if err != nil && dial.IsTimeout(err) && s.isIdleTooLong() {
			return s.rejectMalformed(errIdleTransaction)
		}
		if err == nil || !s.isEnding() || !dial.IsTimeout(err) {
			return err
		}
	}
}

// setBusy records whether a request is being read or run. If so, it removes a read
// deadline that End may have set, which would interrupt the request.
func (s *Session) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	if busy {
		_ = s.Conn.SetReadDeadline(time.Time{})
		return
	}
	s.idleUntil = time.Time{}
	if s.idleLimit > 0 && !s.isIdle() {
		s.idleUntil = time.Now().Add(s.idleLimit)
		_ = s.Conn.SetReadDeadline(s.idleUntil)
	}
}

// errIdleTransaction ends a session whose transaction or batch has waited too long for its caller.
var errIdleTransaction = coltsfootloft.Refuse("25P03", "the transaction waited too long for its next message")

// isIdleTooLong reports whether the limit of the present wait has passed.
func (s *Session) isIdleTooLong() bool {
	return !s.idleUntil.IsZero() && !time.Now().Before(s.idleUntil)
}

// peek waits for a byte without consuming it.
func (s *Session) peek() error {
	p, ok := s.Conn.(interface{ Peek() error })
	if !ok {
		return nil
	}
	return p.Peek()
}

// isIdle reports whether no transaction is open and no batch has begun.
func (s *Session) isIdle() bool {
	return s.tx == txIdle && s.pinned == nil && len(s.batch.steps) == 0
}

func (s *Session) isEnding() bool { return s.shutdown.Load() != nil }

// End asks the session to end as soon as no transaction is open. The caller receives
// the message. End may be called from any goroutine.
func (s *Session) End(message string) {
	s.shutdown.Store(&shutdown{message: message})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy {
		_ = s.Conn.SetReadDeadline(pastDeadline)
	}
}

// Kill ends the session at once. A running request is aborted, and the caller does
// not learn its outcome. Kill may be called from any goroutine.
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

// sendShutdown tells the caller why the session ends.
func (s *Session) sendShutdown() error {
	_ = s.Conn.SetDeadline(s.now().Add(time.Second))
	s.out.wait = 0 // it would replace this deadline
	if err := s.out.add(ShutdownResponse(s.shutdown.Load().message)); err != nil {
		return err
	}
	if err := s.out.flush(); err != nil {
		return err
	}
	return errEnded
}

// setCurrent stores the connection that the session uses, for Kill and ConnToCancel.
// It returns false if the session was killed while it waited for the connection.
func (s *Session) setCurrent(c *pool.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return false
	}
	s.current = c
	return true
}

// unpin returns the session's connection to its pool.
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

// ConnToCancel returns the connection that a cancel request must be sent to; ok is
// false if the session uses none. It marks the connection as broken first, so that
// the cancel request can't affect the next session that uses it.
func (s *Session) ConnToCancel() (c *pool.Conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, false
	}
	s.current.MarkBroken()
	return s.current, true
}

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
