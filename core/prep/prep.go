// Package prep decides what a pooled connection lacks before a session's statement
// can run on it.
//
// A session's values and prepared statements are kept by the host and brought to
// whichever connection the session borrows. Values of an earlier session that the
// new one does not have are dropped by a reset, which drops prepared statements
// too. Prepared statements are shared between sessions: a connection prepares a
// shape once, under a name that the host gives it.
package prep

import (
	"maps"
	"slices"
	"strconv"

	"coltsfootloft"
)

// maxPrepared bounds the shapes that one connection holds; past it the connection
// is reset before a statement that needs none of them, never inside a transaction.
const maxPrepared = 256

// Shape is a prepared statement without its name.
type Shape struct {
	// Writes tells a write from a read.
	Writes bool
	// Text is the shape itself.
	Text string
}

// Wishes is what a session expects of its connection. The zero value expects
// nothing.
type Wishes struct {
	values   map[string]string
	prepared map[string]Shape
}

// Set changes a session value.
func (w *Wishes) Set(name, value string) {
	if w.values == nil {
		w.values = make(map[string]string)
	}
	w.values[name] = value
}

// Prepare gives a shape a name in the session.
func (w *Wishes) Prepare(name string, s Shape) {
	if w.prepared == nil {
		w.prepared = make(map[string]Shape)
	}
	w.prepared[name] = s
}

// Deallocate forgets a name and reports whether it was known.
func (w *Wishes) Deallocate(name string) bool {
	_, ok := w.prepared[name]
	delete(w.prepared, name)
	return ok
}

// Shape returns the shape that the session knows by a name.
func (w *Wishes) Shape(name string) (Shape, bool) {
	s, ok := w.prepared[name]
	return s, ok
}

// Len counts values and names, to bound a session.
func (w *Wishes) Len() int { return len(w.values) + len(w.prepared) }

// ConnState is what a connection holds. The zero value holds nothing, as a new
// connection does.
type ConnState struct {
	values   map[string]string
	prepared map[Shape]string
	next     int
}

// Align returns the commands that bring the connection to the session's wishes and
// to one shape, if that is not nil, and the shape's name there. It records them as
// done: a connection on which one of them fails must be closed.
func (h *ConnState) Align(w *Wishes, s *Shape) (commands []coltsfootloft.Command, name string) {
	if h.hasMore(w) || s == nil && len(h.prepared) >= maxPrepared {
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

// Fits reports whether the connection needs no reset for the session.
func (h *ConnState) Fits(w *Wishes) bool { return !h.hasMore(w) }

// hasMore reports whether the connection has a value that the session has not.
func (h *ConnState) hasMore(w *Wishes) bool {
	for n := range h.values {
		if _, ok := w.values[n]; !ok {
			return true
		}
	}
	return false
}
