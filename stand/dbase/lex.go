package dbase

import "strings"

// tokenKind is the kind of a token. Comments count as space, quoted identifiers as
// words.
type tokenKind uint8

const (
	tokenSpace tokenKind = iota
	tokenWord
	tokenString
	tokenNumber
	tokenParam
	tokenSymbol
)

// token is a lexical token of SQL text, with its text as written.
type token struct {
	kind tokenKind
	text string
}

// is reports whether the token is this lower-case word or symbol.
func (t token) is(s string) bool {
	if t.kind == tokenWord {
		return strings.EqualFold(t.text, s)
	}
	return t.kind == tokenSymbol && t.text == s
}

// lex splits SQL text into tokens. It never fails, because the engine rejects
// invalid text.
func lex(s string) []token {
	var out []token
	for s != "" {
		k, n := nextToken(s)
		out = append(out, token{
			kind: k,
			text: s[:n],
		})
		s = s[n:]
	}
	return out
}

// nextToken returns the kind and the length in bytes of the first token of s.
func nextToken(s string) (kind tokenKind, size int) {
	c := s[0]
	switch {
	case isSpace(c):
		return tokenSpace, span(s, isSpace)
	case strings.HasPrefix(s, "--"):
		return tokenSpace, until(s, "\n", 2)
	case strings.HasPrefix(s, "/*"):
		return tokenSpace, until(s, "*/", 2)
	case c == '\'':
		return tokenString, quoted(s, '\'')
	case c == '"':
		return tokenWord, quoted(s, '"')
	case c == '$' && len(s) > 1 && isDigit(s[1]):
		return tokenParam, 1 + span(s[1:], isDigit)
	case isDigit(c):
		return tokenNumber, span(s, func(c byte) bool { return isWord(c) || c == '.' })
	case isWord(c):
		return tokenWord, span(s, isWord)
	case strings.HasPrefix(s, "::"):
		return tokenSymbol, 2
	}
	return tokenSymbol, 1
}

func span(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func until(s, end string, from int) int {
	if i := strings.Index(s[from:], end); i >= 0 {
		return from + i + len(end)
	}
	return len(s)
}

func quoted(s string, quote byte) int {
	for i := 1; i < len(s); i++ {
		if s[i] != quote {
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return c == '_' || c >= 0x80 || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// split splits tokens into statements at semicolons and drops empty ones.
// Semicolons inside CREATE TRIGGER are not supported.
func split(tokens []token) [][]token {
	var out [][]token
	var part []token
	for _, t := range tokens {
		if t.is(";") {
			out = appendPart(out, part)
			part = nil
			continue
		}
		part = append(part, t)
	}
	return appendPart(out, part)
}

func appendPart(out [][]token, part []token) [][]token {
	for _, t := range part {
		if t.kind != tokenSpace {
			return append(out, part)
		}
	}
	return out
}

// words returns the tokens without space and comments.
func words(tokens []token) []token {
	out := make([]token, 0, len(tokens))
	for _, t := range tokens {
		if t.kind != tokenSpace {
			out = append(out, t)
		}
	}
	return out
}

func join(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.text)
	}
	return strings.TrimSpace(b.String())
}

// unquote returns the value of a string or quoted identifier, or the text of any
// other token.
func unquote(t token) string {
	if len(t.text) < 2 || t.kind != tokenString && t.text[0] != '"' {
		return t.text
	}
	q := t.text[:1]
	return strings.ReplaceAll(t.text[1:len(t.text)-1], q+q, q)
}
