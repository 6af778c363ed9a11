// Package prep computes the commands that bring a pooled connection to the state that
// a session expects, before a statement of the session runs on it.
//
// The host keeps the session values and prepared statements of each session and
// applies them to whichever connection the session borrows. If the connection has
// values of an earlier session that this one does not have, it is reset first, which
// drops its prepared statements too. Prepared statements are shared between sessions:
// a connection prepares each [Shape] once, under a name chosen by the host.
package prep

import (
	"maps"
	"slices"
	"strconv"

	"coltsfootloft"
)

// maxPrepared limits the number of shapes prepared on one connection. A connection at
// the limit is reset before a statement that needs no shape, and never inside a
// transaction.
const maxPrepared = 256

// entryOverhead is what a value or a prepared statement takes besides its bytes, at least.
const entryOverhead = 64

// EntrySize is the number of bytes that a value or a prepared statement takes in a session.
func EntrySize(name, detail string) int { return len(name) + len(detail) + entryOverhead }

// Shape is a prepared statement without its name. Shapes that are equal share one
// prepared statement on a connection.
type Shape struct {
	// Writes reports whether the statement writes.
	Writes bool
	// Text is the text of the statement.
	Text string
}

// SessionState is the state that a session expects of its connection: its session values
// and prepared statements. The zero value expects nothing.
type SessionState struct {
	values   map[string]string
	prepared map[string]Shape
	size     int
}

// Set changes a session value.
func (s *SessionState) Set(name, value string) {
	if s.values == nil {
		s.values = make(map[string]string)
	}
	if old, ok := s.values[name]; ok {
		s.size -= EntrySize(name, old)
	}
	s.size += EntrySize(name, value)
	s.values[name] = value
}

// Prepare registers a shape under a name in the session.
func (s *SessionState) Prepare(name string, shape Shape) {
	if s.prepared == nil {
		s.prepared = make(map[string]Shape)
	}
	s.Deallocate(name)
	s.size += EntrySize(name, shape.Text)
	s.prepared[name] = shape
}

// Deallocate removes a name and reports whether it was registered.
func (s *SessionState) Deallocate(name string) bool {
	shape, ok := s.prepared[name]
	if ok {
		s.size -= EntrySize(name, shape.Text)
		delete(s.prepared, name)
	}
	return ok
}

// Shape returns the shape that is registered under a name in the session.
func (s *SessionState) Shape(name string) (Shape, bool) {
	shape, ok := s.prepared[name]
	return shape, ok
}

// Len returns the number of values and names, so that callers can limit the memory of
// a session.
func (s *SessionState) Len() int { return len(s.values) + len(s.prepared) }

// Size is the number of bytes that the values and prepared statements take.
func (s *SessionState) Size() int { return s.size }

// ConnState is the current state of a connection: its session values and prepared
// statements. The zero value is the state of a new connection.
type ConnState struct {
	values   map[string]string
	prepared map[Shape]string
	next     int
	size     int
}

// Size is the number of bytes that the values and prepared statements take. They stay on a
// connection after the session that they are from.
func (c *ConnState) Size() int { return c.size }

// Align returns the commands that bring the connection to the state that the session
// expects and, if shape is not nil, prepare that shape, with the name of the shape on the
// connection. It records the commands as done, so a connection on which one of them
// fails must be closed.
func (c *ConnState) Align(s *SessionState, shape *Shape) (commands []coltsfootloft.Command, name string) {
	if c.hasExtraValues(s) || shape == nil && len(c.prepared) >= maxPrepared {
		commands = append(commands, coltsfootloft.Command{Kind: coltsfootloft.CommandReset})
		*c = ConnState{next: c.next}
	}
	for _, n := range slices.Sorted(maps.Keys(s.values)) {
		v := s.values[n]
		if old, ok := c.values[n]; ok && old == v {
			continue
		}
		if c.values == nil {
			c.values = make(map[string]string)
		}
		if old, ok := c.values[n]; ok {
			c.size -= EntrySize(n, old)
		}
		c.size += EntrySize(n, v)
		c.values[n] = v
		commands = append(commands, coltsfootloft.Command{
			Kind:   coltsfootloft.CommandSet,
			Name:   n,
			Detail: v,
		})
	}
	if shape == nil {
		return commands, ""
	}
	if name, ok := c.prepared[*shape]; ok {
		return commands, name
	}
	c.next++
	name = "c" + strconv.Itoa(c.next)
	if c.prepared == nil {
		c.prepared = make(map[Shape]string)
	}
	c.prepared[*shape] = name
	c.size += EntrySize(name, shape.Text)
	return append(commands, coltsfootloft.Command{
		Kind:   coltsfootloft.CommandPrepare,
		Name:   name,
		Detail: shape.Text,
		Writes: shape.Writes,
	}), name
}

// Fits reports whether the connection can serve the session without a reset.
func (c *ConnState) Fits(s *SessionState) bool { return !c.hasExtraValues(s) }

// hasExtraValues reports whether the connection has a value that the session lacks.
func (c *ConnState) hasExtraValues(s *SessionState) bool {
	for n := range c.values {
		if _, ok := s.values[n]; !ok {
			return true
		}
	}
	return false
}
