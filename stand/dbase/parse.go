package dbase

import (
	"strconv"
	"strings"
)

// verb is the kind of a statement, as far as the stand-in distinguishes them.
type verb uint8

const (
	verbQuery verb = iota
	verbCall
	verbBegin
	verbCommit
	verbRollback
	verbSavepoint
	verbRelease
	verbRollbackTo
	verbSet
	verbShow
	verbDiscard
	verbDeallocate
	verbCopy
)

// statement is a parsed statement.
type statement struct {
	verb verb
	// tag is the first word, in upper case.
	tag string
	// source is the text as the client sent it.
	source string
	// text is the text for the engine.
	text   string
	tokens []token
	// casts maps parameter numbers to the type OIDs that they are cast to.
	casts map[int]uint32
}

// param is a parameter of an engine statement. Its number starts at 1.
type param struct {
	number int
}

func parseParam(name string) param {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "$"))
	return param{
		number: n,
	}
}

// verbs maps first words to verbs. Other statements are queries.
var verbs = map[string]verb{
	"BEGIN":      verbBegin,
	"START":      verbBegin,
	"COMMIT":     verbCommit,
	"END":        verbCommit,
	tagRollback:  verbRollback,
	"ABORT":      verbRollback,
	"SAVEPOINT":  verbSavepoint,
	"RELEASE":    verbRelease,
	"SET":        verbSet,
	"RESET":      verbSet,
	"SHOW":       verbShow,
	"DISCARD":    verbDiscard,
	"DEALLOCATE": verbDeallocate,
	"COPY":       verbCopy,
}

// parse splits text into parsed statements.
func parse(text string) []*statement {
	var out []*statement
	for _, p := range split(lex(text)) {
		out = append(out, parseOne(p))
	}
	return out
}

func parseOne(tokens []token) *statement {
	w := words(tokens)
	s := &statement{
		tag:    strings.ToUpper(w[0].text),
		source: join(tokens),
		tokens: w,
		casts:  make(map[int]uint32),
	}
	s.verb = verbs[s.tag]
	switch {
	case s.verb == verbRollback && isRollbackTo(w):
		s.verb = verbRollbackTo
	case s.verb == verbQuery && isCall(w):
		s.verb = verbCall
	case s.verb == verbQuery:
		s.text = join(s.rewrite(tokens))
	}
	return s
}

func isRollbackTo(w []token) bool {
	for _, t := range w[1:] {
		if t.is("to") {
			return true
		}
	}
	return false
}

// isCall reports whether the statement only calls one of the functions in calls:
// SELECT f(...) or SELECT * FROM f(...).
func isCall(w []token) bool {
	i := callNameIndex(w)
	return i > 0 && i+1 < len(w) && w[i+1].is("(") && w[len(w)-1].is(")") && calls[strings.ToLower(w[i].text)] != nil
}

// callNameIndex returns the index of the function's name in a call, or 0.
func callNameIndex(w []token) int {
	if len(w) < 4 || !w[0].is("select") {
		return 0
	}
	if w[1].is("*") && w[2].is("from") {
		return 3
	}
	return 1
}

// call returns the function's lower-case name and the texts of its arguments.
// The values of parameters come from args.
func (s *statement) call(args []any) (name string, values []string) {
	i := callNameIndex(s.tokens)
	for _, t := range s.tokens[i+2 : len(s.tokens)-1] {
		switch t.kind {
		case tokenString, tokenNumber:
			values = append(values, unquote(t))
		case tokenParam:
			values = append(values, argumentText(t, args))
		default:
		}
	}
	return strings.ToLower(s.tokens[i].text), values
}

func argumentText(t token, args []any) string {
	n := parseParam(t.text).number
	if n < 1 || n > len(args) {
		return ""
	}
	switch v := args[n-1].(type) {
	case string:
		return v
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return ""
}

// changesSchema reports whether the statement changes the schema.
func (s *statement) changesSchema() bool {
	return s.tag == "CREATE" || s.tag == "DROP" || s.tag == "ALTER"
}

// params returns the highest parameter number in the statement.
func (s *statement) params() int {
	most := 0
	for _, t := range s.tokens {
		if t.kind == tokenParam {
			most = max(most, parseParam(t.text).number)
		}
	}
	return most
}

// currentTime is the engine's expression for now(). It gives a timestamptz text.
const currentTime = "(strftime('%Y-%m-%d %H:%M:%f+00','now'))"

// rewrite converts PostgreSQL's syntax to the engine's where they differ.
func (s *statement) rewrite(tokens []token) []token {
	var out []token
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		switch {
		case t.is("::"):
			i = s.cast(out, tokens, i)
		case startsWith(tokens[i:], "public", "."):
			i++
		case startsWith(tokens[i:], "now", "(", ")"):
			out = append(out, wordToken(currentTime))
			i += 2
		case s.tag == "SELECT" && isLocking(tokens[i:]):
			return out
		case t.is("truncate") && len(out) == 0:
			out = append(out, wordToken("DELETE FROM"))
			i = skipWord(tokens, i, "table")
		case t.is("key") && followsSerial(words(tokens[:i])):
			out = append(out, t, wordToken(" AUTOINCREMENT"))
		default:
			out = append(out, replaceWord(t))
		}
	}
	return out
}

// replaceWord replaces a single word that the engine does not know.
func replaceWord(t token) token {
	switch {
	case t.is("current_timestamp"):
		return wordToken(currentTime)
	case t.is("serial") || t.is("bigserial"):
		return wordToken("INTEGER")
	}
	return t
}

func wordToken(s string) token {
	return token{
		kind: tokenWord,
		text: s,
	}
}

// cast skips the type name after the :: at i and returns the index of its last
// token. If a parameter is cast, it notes the type.
func (s *statement) cast(before, tokens []token, i int) int {
	if i+1 >= len(tokens) {
		return i
	}
	name := tokens[i+1].text
	if w := words(before); len(w) > 0 && w[len(w)-1].kind == tokenParam {
		s.casts[parseParam(w[len(w)-1].text).number] = typeOf(name)
	}
	i++
	if strings.EqualFold(name, "double") {
		i = skipWord(tokens, i, "precision")
	}
	if i+3 < len(tokens) && tokens[i+1].is("(") && tokens[i+3].is(")") {
		i += 3
	}
	return i
}

// skipWord returns the index of word if it is the next token after i other than
// space, else i.
func skipWord(tokens []token, i int, word string) int {
	j := i + 1
	for j < len(tokens) && tokens[j].kind == tokenSpace {
		j++
	}
	if j < len(tokens) && tokens[j].is(word) {
		return j
	}
	return i
}

func startsWith(t []token, want ...string) bool {
	for i, s := range want {
		if i >= len(t) || !t[i].is(s) {
			return false
		}
	}
	return true
}

func followsSerial(w []token) bool {
	n := len(w)
	return n > 1 && w[n-1].is("primary") && (w[n-2].is("serial") || w[n-2].is("bigserial"))
}

func isLocking(tokens []token) bool {
	if !tokens[0].is("for") {
		return false
	}
	w := words(tokens)
	return len(w) > 1 && (w[1].is("update") || w[1].is("share") || w[1].is("no") || w[1].is("key"))
}
