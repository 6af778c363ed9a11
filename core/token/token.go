// Package token carries the session consistency state of a caller between hosts.
//
// A token holds, for each database group that the session wrote to or read from,
// the position that its reads must reach. It travels with the caller, so hosts
// share no session state. A forged token harms only the caller that presents it:
// its reads wait for a position that never arrives and are refused as not run.
package token

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// MaxLength is the greatest length of a token, in bytes.
const MaxLength = 8 << 10

// Token maps database groups to positions. The zero value is an empty token.
type Token struct {
	positions map[string]coltsfootloft.Position
}

// Parse parses the output of String. It fails if s is malformed or longer than
// [MaxLength].
func Parse(s string) (Token, error) {
	t := Token{}
	if s == "" {
		return t, nil
	}
	if len(s) > MaxLength {
		return t, errors.Errorf("token is longer than %d bytes", MaxLength)
	}
	for _, e := range strings.Split(s, ",") {
		group, position, err := parseEntry(e)
		if err != nil {
			return Token{}, err
		}
		t = t.Advance(group, position)
	}
	return t, nil
}

// Position returns the position that reads of the group must reach, and whether
// the token has one for the group.
func (t Token) Position(group string) (coltsfootloft.Position, bool) {
	p, ok := t.positions[group]
	return p, ok
}

// Advance returns a token that also covers p. The position of a group never moves
// back.
func (t Token) Advance(group string, p coltsfootloft.Position) Token {
	old, ok := t.positions[group]
	if ok && old.Covers(p) {
		return t
	}
	m := maps.Clone(t.positions)
	if m == nil {
		m = make(map[string]coltsfootloft.Position, 1)
	}
	m[group] = p
	return Token{positions: m}
}

// Merge returns a token that covers both t and o.
func (t Token) Merge(o Token) Token {
	for g, p := range o.positions {
		t = t.Advance(g, p)
	}
	return t
}

// String returns group=counter@proposer:offset entries, sorted and joined by
// commas.
func (t Token) String() string {
	var b strings.Builder
	for i, g := range slices.Sorted(maps.Keys(t.positions)) {
		if i > 0 {
			b.WriteByte(',')
		}
		p := t.positions[g]
		b.WriteString(g)
		b.WriteByte('=')
		b.WriteString(p.Term().String())
		b.WriteByte(':')
		b.WriteString(strconv.FormatUint(p.Offset(), 10))
	}
	return b.String()
}

func parseEntry(e string) (string, coltsfootloft.Position, error) {
	group, rest, ok := strings.Cut(e, "=")
	i := strings.LastIndexByte(rest, ':')
	if !ok || group == "" || i < 0 {
		return "", coltsfootloft.Position{}, errors.Errorf("token entry %q: want group=counter@proposer:offset", e)
	}
	term, err := coltsfootloft.ParseTerm(rest[:i])
	if err != nil {
		return "", coltsfootloft.Position{}, err
	}
	offset, err := strconv.ParseUint(rest[i+1:], 10, 64)
	if err != nil {
		return "", coltsfootloft.Position{}, errors.Wrapf(err, "token entry %q: offset", e)
	}
	return group, coltsfootloft.NewPosition(term, offset), nil
}
