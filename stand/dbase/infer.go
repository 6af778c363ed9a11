package dbase

import (
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// schema finds the declared types of the columns of all tables by their names.
// A name with different types in several tables has the type of one of them.
func schema(h *handle) map[string]uint32 {
	out := make(map[string]uint32)
	c, err := h.prepare("SELECT lower(c.name), c.type FROM sqlite_master t, pragma_table_info(t.name) c WHERE t.type = 'table'")
	if err != nil {
		return out
	}
	defer c.release()
	for {
		more, err := c.step()
		if err != nil || !more {
			return out
		}
		name, _ := c.value(0).(string)
		declared, _ := c.value(1).(string)
		out[name] = typeOf(declared)
	}
}

// paramTypes returns the OIDs of parameters $1, $2 and so on: as the caller says,
// as a cast says, or as the column's that the parameter is compared with or
// stored in; 0 where none tells.
func (s *statement) paramTypes(given []uint32, types map[string]uint32) []uint32 {
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
	s.insertTypes(types, set)
	s.compareTypes(types, set)
	return out
}

// insertTypes reads INSERT INTO t (a, b) VALUES ($1, $2).
func (s *statement) insertTypes(types map[string]uint32, set func(token, uint32)) {
	w := s.tokens
	if s.tag != "INSERT" || len(w) < 4 || !w[3].is("(") {
		return
	}
	var names []string
	i := 4
	for ; i < len(w) && !w[i].is(")"); i++ {
		if w[i].kind == tokenWord {
			names = append(names, strings.ToLower(unquote(w[i])))
		}
	}
	var v valueList
	for _, t := range w[min(i+1, len(w)):] {
		if t.is("on") || t.is("returning") {
			return
		}
		v.next(t)
		if t.kind == tokenParam && v.depth == 1 && v.place < len(names) {
			set(t, types[names[v.place]])
		}
	}
}

// valueList tells which place of a list in parentheses a token is in.
type valueList struct {
	depth int
	place int
}

func (v *valueList) next(t token) {
	switch {
	case t.is("("):
		v.depth++
		if v.depth == 1 {
			v.place = 0
		}
	case t.is(")"):
		v.depth--
	case t.is(",") && v.depth == 1:
		v.place++
	}
}

// compareTypes reads a = $1, $1 < a, a + $1, a IN ($1, $2), LIMIT $1.
func (s *statement) compareTypes(types map[string]uint32, set func(token, uint32)) {
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
				set(t, types[strings.ToLower(unquote(w[j-1]))])
			}
		}
		for j := i + 1; j < min(len(w), i+4) && isOperator(w[j]); j++ {
			if j+1 < len(w) && w[j+1].kind == tokenWord {
				set(t, types[strings.ToLower(unquote(w[j+1]))])
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

// columnsOf names and types the columns of a statement's result. With sample set,
// the cursor stands on a row whose values may tell more.
func (s *statement) columnsOf(c *cursor, types map[string]uint32, sample bool) []column {
	items := s.items()
	out := make([]column, c.columns)
	for i := range out {
		out[i] = column{
			name: c.name(i),
			oid:  typeOf(c.declared(i)),
		}
		if out[i].oid == 0 && i < len(items) && len(items) == c.columns {
			out[i].oid = s.itemType(items[i], types)
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

// items cuts the list of a SELECT or of RETURNING into its expressions.
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

// wordTypes are the types of expressions that start with these words.
var wordTypes = map[string]uint32{
	"true":              pgtype.BoolOID,
	"false":             pgtype.BoolOID,
	"exists":            pgtype.BoolOID,
	"not":               pgtype.BoolOID,
	"count":             pgtype.Int8OID,
	"length":            pgtype.Int8OID,
	"sum":               pgtype.Int8OID,
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

// itemType guesses the type of an expression from its first token.
func (s *statement) itemType(item []token, types map[string]uint32) uint32 {
	if len(item) == 0 {
		return 0
	}
	t := item[0]
	switch t.kind {
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
	default:
		return 0
	}
	word := strings.ToLower(t.text)
	if oid, ok := wordTypes[word]; ok {
		return oid
	}
	if sameType[word] && len(item) > 2 {
		return s.itemType(item[2:], types)
	}
	if len(item) == 1 || !item[1].is("(") {
		return types[strings.ToLower(unquote(t))]
	}
	return 0
}
