package coltsfootloft

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Term identifies one period in which a database is the primary of its group. Terms
// are ordered by counter and then by proposer, so that two proposers never share a
// term. The zero Term precedes all others.
type Term struct {
	counter  uint64
	proposer string
}

// NewTerm returns the term with this counter and proposer. The proposer must be
// unique to one run of one host.
func NewTerm(counter uint64, proposer string) Term {
	return Term{
		counter:  counter,
		proposer: proposer,
	}
}

// ParseTerm parses the format of [Term.String]. The empty string is the zero Term.
func ParseTerm(s string) (Term, error) {
	if s == "" {
		return Term{}, nil
	}
	n, p, ok := strings.Cut(s, "@")
	if !ok {
		return Term{}, errors.Errorf("term %q: no @ between counter and proposer", s)
	}
	c, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		return Term{}, errors.Wrapf(err, "term %q: counter", s)
	}
	return NewTerm(c, p), nil
}

// Counter is the number that a proposer sets above the highest one that it knows.
func (t Term) Counter() uint64 { return t.counter }

// Proposer identifies the run of the host that proposed the term.
func (t Term) Proposer() string { return t.proposer }

// IsZero reports whether t is the zero Term.
func (t Term) IsZero() bool { return t == Term{} }

// Next returns the lowest term of proposer whose counter is above that of t.
func (t Term) Next(proposer string) Term { return NewTerm(t.counter+1, proposer) }

// Compare returns -1, 0 or 1 as t is before, equal to or after o.
func (t Term) Compare(o Term) int {
	return cmp.Or(
		cmp.Compare(t.counter, o.counter),
		cmp.Compare(t.proposer, o.proposer),
	)
}

// String returns counter@proposer, and the empty string for the zero Term.
func (t Term) String() string {
	if t.IsZero() {
		return ""
	}
	return strconv.FormatUint(t.counter, 10) + "@" + t.proposer
}
