package coltsfootloft

import "cmp"

// Position is a place in the log of a database group: the term of a record and
// its offset, counted in records from 1. The zero Position precedes all records.
type Position struct {
	term   Term
	offset uint64
}

// NewPosition returns the position of the record at offset, written in term.
func NewPosition(term Term, offset uint64) Position {
	return Position{
		term:   term,
		offset: offset,
	}
}

// Term is the term of the record.
func (p Position) Term() Term { return p.term }

// Offset is the number of the record, counted from 1 at the start of the log.
func (p Position) Offset() uint64 { return p.offset }

// IsZero reports whether p precedes all records.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term and then by offset.
func (p Position) Compare(o Position) int {
	return cmp.Or(p.term.Compare(o.term), cmp.Compare(p.offset, o.offset))
}

// Covers reports whether a database whose log has reached p holds every acknowledged
// write up to o.
func (p Position) Covers(o Position) bool { return p.Compare(o) >= 0 }
