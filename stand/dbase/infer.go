package dbase

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// paramTypes returns the type OIDs of parameters $1, $2 and so on. A type comes,
// in this order, from the client, from a cast, or from the column that the
// parameter is stored in or compared with. It is 0 if it is unknown.
func (s *statement) paramTypes(given []uint32, schema *tables) []uint32 {
	out := make([]uint32, max(s.params(), len(given)))
	copy(out, given)
	set := func(t token, oid uint32) {
		if n := parseParam(t.text).number; n >= 1 && n <= len(out) && out[n-1] == 0 {
			out[n-1] = oid
		}
	}
	for n, oid := range s.casts {
		if n >= 1 && n <= len(out) && out[n-1] == 0 {
			out[n-1] = oid
		}
	}
	s.insertTypes(schema, set)
	s.compareTypes(schema, set)
	return out
}

// insertTypes infers types from INSERT INTO t (a, b) VALUES ($1, $2), with or
// without column names.
func (s *statement) insertTypes(schema *tables, set func(token, uint32)) {
	w := s.tokens
	if s.tag != "INSERT" || len(w) < 4 || schema == nil {
		return
	}
	names, rest := insertColumns(w[3:])
	if names == nil {
		names = schema.columnsOf(w[2])
	}
	var v valueList
	for _, t := range rest {
		if t.is("on") || t.is("returning") {
			return
		}
		v.next(t)
		if t.kind == tokenParam && v.depth == 1 && v.index < len(names) {
			set(t, schema.types[names[v.index]])
		}
	}
}

// insertColumns returns the names in parentheses at the start of w, if there are
// any, and the tokens after them.
func insertColumns(w []token) (names []string, rest []token) {
	if !w[0].is("(") {
		return nil, w
	}
	for i, t := range w {
		if t.is(")") {
			return names, w[i+1:]
		}
		if t.kind == tokenWord {
			names = append(names, strings.ToLower(unquote(t)))
		}
	}
	return names, nil
}

// valueList tracks the index of the current value in a list in parentheses.
type valueList struct {
	depth int
	index int
}

func (v *valueList) next(t token) {
	switch {
	case t.is("("):
		v.depth++
		if v.depth == 1 {
			v.index = 0
		}
	case t.is(")"):
		v.depth--
	case t.is(",") && v.depth == 1:
		v.index++
	}
}

// compareTypes infers types from expressions such as a = $1, $1 < a, a + $1,
// a IN ($1, $2) and LIMIT $1.
func (s *statement) compareTypes(schema *tables, set func(token, uint32)) {
	w := s.tokens
	for i, t := range w {
		if t.kind != tokenParam {
			continue
		}
		if i > 0 && (w[i-1].is("limit") || w[i-1].is("offset")) {
			set(t, pgtype.Int8OID)
			continue
		}
		for j := i - 1; j >= max(0, i-24) && isOperator(w[j]); j-- {
			if j > 0 && w[j-1].kind == tokenWord {
				set(t, schema.typeOf(w[j-1]))
			}
		}
		for j := i + 1; j < min(len(w), i+4) && isOperator(w[j]); j++ {
			if j+1 < len(w) && w[j+1].kind == tokenWord {
				set(t, schema.typeOf(w[j+1]))
			}
		}
	}
}

// operators are the symbols that may stand between a column and a parameter.
const operators = "=<>!+-*/%(,|"

func isOperator(t token) bool {
	switch t.kind {
	case tokenParam:
		return true
	case tokenSymbol:
		return strings.Contains(operators, t.text)
	case tokenWord:
		return t.is("in") || t.is("like") || t.is("between") || t.is("is")
	default:
		return false
	}
}

// columnsOf returns the columns of a statement's result. If sample is set, the
// cursor is at a row, whose values give the types that are unknown otherwise.
func (s *statement) columnsOf(c *cursor, schema *tables, sample bool) []column {
	items := s.items()
	out := make([]column, c.columns)
	for i := range out {
		out[i] = column{
			name: c.name(i),
			oid:  typeOf(c.declared(i)),
		}
		if out[i].oid == 0 && i < len(items) && len(items) == c.columns {
			out[i].oid = s.itemType(items[i], schema)
		}
		if out[i].oid == 0 && sample {
			out[i].oid = typeOfValue(c.value(i))
		}
		if out[i].oid == 0 {
			out[i].oid = pgtype.TextOID
		}
		if function, _, ok := strings.Cut(out[i].name, "("); ok {
			out[i].name = strings.ToLower(function)
		}
	}
	return out
}

// items splits the list of a SELECT or RETURNING into its expressions.
func (s *statement) items() [][]token {
	start := -1
	for i, t := range s.tokens {
		if i == 0 && t.is("select") || t.is("returning") {
			start = i + 1
			break
		}
	}
	if start < 0 {
		return nil
	}
	var out [][]token
	depth, from := 0, start
	for i := start; i <= len(s.tokens); i++ {
		end := i == len(s.tokens) || depth == 0 && s.tokens[i].is("from")
		if end || depth == 0 && s.tokens[i].is(",") {
			out = append(out, s.tokens[from:i])
			from = i + 1
		}
		if end {
			break
		}
		if s.tokens[i].is("(") {
			depth++
		}
		if s.tokens[i].is(")") {
			depth--
		}
	}
	return out
}

// wordTypes maps the first word of an expression to its type.
var wordTypes = map[string]uint32{
	"true":              pgtype.BoolOID,
	"false":             pgtype.BoolOID,
	"exists":            pgtype.BoolOID,
	"not":               pgtype.BoolOID,
	"count":             pgtype.Int8OID,
	"length":            pgtype.Int8OID,
	"row_number":        pgtype.Int8OID,
	"avg":               pgtype.Float8OID,
	"random":            pgtype.Float8OID,
	"current_timestamp": pgtype.TimestamptzOID,
	"now":               pgtype.TimestamptzOID,
}

// sameType are functions whose result has the type of their first argument.
var sameType = map[string]bool{
	"max":      true,
	"min":      true,
	"coalesce": true,
	"abs":      true,
}

// itemType infers the type of an expression from its first tokens. It is 0 if it
// is unknown.
func (s *statement) itemType(item []token, schema *tables) uint32 {
	if len(item) == 0 {
		return 0
	}
	if isCondition(item) {
		return pgtype.BoolOID
	}
	switch t := item[0]; t.kind {
	case tokenNumber:
		if strings.Contains(t.text, ".") {
			return pgtype.Float8OID
		}
		return pgtype.Int4OID
	case tokenString:
		return pgtype.TextOID
	case tokenParam:
		return s.casts[parseParam(t.text).number]
	case tokenWord:
		return s.wordType(item, schema)
	default:
		return 0
	}
}

// wordType infers the type of an expression that starts with a word.
func (s *statement) wordType(item []token, schema *tables) uint32 {
	word := strings.ToLower(item[0].text)
	if oid, ok := wordTypes[word]; ok {
		return oid
	}
	switch {
	case len(item) > 2 && item[1].is("."):
		return schema.typeOf(item[2])
	case len(item) > 2 && sameType[word]:
		return s.itemType(item[2:], schema)
	case len(item) > 2 && word == "sum":
		return sumType(s.itemType(item[2:], schema))
	case len(item) == 1 || !item[1].is("("):
		return schema.typeOf(item[0])
	}
	return 0
}

// sumType returns the type of a sum over values of type oid.
func sumType(oid uint32) uint32 {
	switch oid {
	case pgtype.Float4OID, pgtype.Float8OID:
		return pgtype.Float8OID
	case pgtype.NumericOID:
		return oid
	}
	return pgtype.Int8OID
}

// isCondition reports whether an expression has a comparison or a logical operator
// outside of parentheses.
func isCondition(item []token) bool {
	if item[0].is("case") {
		return false
	}
	depth := 0
	for _, t := range item {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
			if depth < 0 {
				return false
			}
		case depth > 0:
		case t.is("="), t.is("<"), t.is(">"), t.is("like"), t.is("in"), t.is("is"), t.is("and"), t.is("or"):
			return true
		}
	}
	return false
}
