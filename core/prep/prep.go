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
}

// Set changes a session value.
func (w *SessionState) Set(name, value string) {
	if w.values == nil {
		w.values = make(map[string]string)
	}
	w.values[name] = value
}

// Prepare registers a shape under a name in the session.
func (w *SessionState) Prepare(name string, s Shape) {
	if w.prepared == nil {
		w.prepared = make(map[string]Shape)
	}
	w.prepared[name] = s
}

// Deallocate removes a name and reports whether it was registered.
func (w *SessionState) Deallocate(name string) bool {
	_, ok := w.prepared[name]
	delete(w.prepared, name)
	return ok
}

// Shape returns the shape that is registered under a name in the session.
func (w *SessionState) Shape(name string) (Shape, bool) {
	s, ok := w.prepared[name]
	return s, ok
}

// Len returns the number of values and names, so that callers can limit the memory of
// a session.
func (w *SessionState) Len() int { return len(w.values) + len(w.prepared) }

// ConnState is the current state of a connection: its session values and prepared
// statements. The zero value is the state of a new connection.
type ConnState struct {
	values   map[string]string
	prepared map[Shape]string
	next     int
}

// Align returns the commands that bring the connection to the state that the session
// expects and, if s is not nil, prepare that shape, with the name of the shape on the
// connection. It records the commands as done, so a connection on which one of them
// fails must be closed.
func (h *ConnState) Align(w *SessionState, s *Shape) (commands []coltsfootloft.Command, name string) {
	if h.hasExtraValues(w) || s == nil && len(h.prepared) >= maxPrepared {
		commands = append(commands, coltsfootloft.Command{Kind: coltsfootloft.CommandReset})
		*h = ConnState{next: h.next}
	}
	for _, n := range slices.Sorted(maps.Keys(w.values)) {
		v := w.values[n]
		if old, ok := h.values[n]; ok && old == v {
			continue
		}
		if h.values == nil {
			h.values = make(map[string]string)
		}
		h.values[n] = v
		commands = append(commands, coltsfootloft.Command{
			Kind:   coltsfootloft.CommandSet,
			Name:   n,
			Detail: v,
		})
	}
	if s == nil {
		return commands, ""
	}
	if name, ok := h.prepared[*s]; ok {
		return commands, name
	}
	h.next++
	name = "c" + strconv.Itoa(h.next)
	if h.prepared == nil {
		h.prepared = make(map[Shape]string)
	}
	h.prepared[*s] = name
	return append(commands, coltsfootloft.Command{
		Kind:   coltsfootloft.CommandPrepare,
		Name:   name,
		Detail: s.Text,
		Writes: s.Writes,
	}), name
}

// Fits reports whether the connection can serve the session without a reset.
func (h *ConnState) Fits(w *SessionState) bool { return !h.hasExtraValues(w) }

// hasExtraValues reports whether the connection has a value that the session lacks.
func (h *ConnState) hasExtraValues(w *SessionState) bool {
	for n := range h.values {
		if _, ok := w.values[n]; !ok {
			return true
		}
	}
	return false
}
