// Package token carries a session's reads-follow-writes state between hosts.
//
// A token names, for each database group that the session wrote to or read
// from, the position its reads must reach. It travels with the caller, so hosts
// share no session state. A forged token costs only its bearer: reads wait for a
// position that never comes and are refused as not run.
package token

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// MaxLength is the longest token accepted, in bytes.
const MaxLength = 8 << 10

// Token maps database groups to positions. The zero value is an empty token.
type Token struct {
	positions map[string]coltsfootloft.Position
}

// Parse reads the form that String writes.
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

// Position returns what reads of the group must reach, and whether the token
// says anything of it.
func (t Token) Position(group string) (coltsfootloft.Position, bool) {
	p, ok := t.positions[group]
	return p, ok
}

// Advance returns a token that also covers p. It never goes back.
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

// Merge returns a token that covers both.
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
