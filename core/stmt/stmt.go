package stmt

import "strings"

// SettingPrefix starts the names of the session settings that the proxy itself handles.
const SettingPrefix = "coltsfootloft."

// Statement is one classified statement.
type Statement struct {
	kind  Kind
	name  string
	value string
	text  string
}

// Kind returns the class of the statement.
func (s Statement) Kind() Kind { return s.kind }

// Name is the lower-case name of the setting in a Set, Reset or Show; empty for other
// kinds.
func (s Statement) Name() string { return s.name }

// Value is the value that a Set assigns, without quotes.
func (s Statement) Value() string { return s.value }

// Text is the statement without surrounding space, comments and semicolon.
func (s Statement) Text() string { return s.text }

// IsProxy reports whether the statement sets, resets or shows a setting of the
// proxy itself.
func (s Statement) IsProxy() bool {
	return strings.HasPrefix(s.name, SettingPrefix)
}

// Script is the classified text of one simple query or prepared statement.
type Script struct {
	statements        []Statement
	mayChangeSettings bool
}

// Parse classifies sql.
func Parse(sql string) Script {
	parts := split(sql)
	s := Script{
		statements:        make([]Statement, 0, len(parts)),
		mayChangeSettings: containsFold(sql, "set_config"),
	}
	for _, p := range parts {
		t := classify(p)
		s.statements = append(s.statements, t)
		s.mayChangeSettings = s.mayChangeSettings || len(parts) > 1 && t.kind.changesSettings()
	}
	return s
}

// Statements returns the statements in order. The slice must not be changed.
func (s Script) Statements() []Statement { return s.statements }

// Len is the number of statements.
func (s Script) Len() int { return len(s.statements) }

// Single returns the single statement of a script, or false if it does not have exactly
// one.
func (s Script) Single() (Statement, bool) {
	if len(s.statements) != 1 {
		return Statement{}, false
	}
	return s.statements[0], true
}

// IsRead reports whether a replica may be tried: no statement is known to write.
func (s Script) IsRead() bool {
	for _, t := range s.statements {
		if t.kind != Read && t.kind != Show {
			return false
		}
	}
	return true
}

// MayChangeSettings reports whether the script may change settings of its connection in a way
// that the kind of a single statement does not show: it contains set_config, or a SET among
// several statements, which share a transaction.
func (s Script) MayChangeSettings() bool { return s.mayChangeSettings }

// Has reports whether any statement is of the kind.
func (s Script) Has(k Kind) bool {
	for _, t := range s.statements {
		if t.kind == k {
			return true
		}
	}
	return false
}

func classify(text string) Statement {
	first, rest := firstWord(text)
	s := Statement{
		kind: classifyKeyword(first, rest),
		text: text,
	}
	switch s.kind {
	case Set:
		s.name, s.value = assignment(rest)
	case Reset, Show:
		s.name, _ = settingName(rest)
	default:
	}
	return s
}

func classifyKeyword(first, rest string) Kind {
	switch first {
	case "SELECT", "VALUES", "TABLE", "EXPLAIN", "":
		return readKind(rest)
	case "WITH":
		return withKind(rest)
	case "BEGIN", "START":
		return beginKind(rest)
	case "COMMIT", "END":
		return Commit
	case "ROLLBACK", "ABORT":
		return rollbackKind(rest)
	case "SAVEPOINT", "RELEASE":
		return Savepoint
	case "SET":
		return setKind(rest)
	case "RESET":
		return Reset
	case "DISCARD":
		return Discard
	case "SHOW":
		return Show
	case "CREATE":
		return createKind(rest)
	case "DECLARE":
		return declareKind(rest)
	case "COPY":
		return Copy
	case "LISTEN", "UNLISTEN", "NOTIFY", "PREPARE", "EXECUTE", "DEALLOCATE", "LOAD":
		return Unsupported
	}
	return Write
}

// readKind separates reads from those that take advisory locks, which belong to one
// server session.
func readKind(rest string) Kind {
	if containsFold(rest, "pg_advisory") || containsFold(rest, "pg_try_advisory") {
		return Unsupported
	}
	return Read
}

// withKind classifies a statement as a Write if it contains any keyword that changes
// data. If the word is only part of a name or text, a read runs on the primary
// without need, which is correct but slower.
func withKind(rest string) Kind {
	for _, w := range [...]string{"insert", "update", "delete", "merge"} {
		if containsFold(rest, w) {
			return Write
		}
	}
	return readKind(rest)
}

// containsFold reports whether s contains the lower-case text, ignoring case.
func containsFold(s, lower string) bool {
	for i := 0; i+len(lower) <= len(s); i++ {
		if s[i]|0x20 == lower[0] && strings.EqualFold(s[i:i+len(lower)], lower) {
			return true
		}
	}
	return false
}

// createKind separates temporary objects, which are visible only to their server
// session.
func createKind(rest string) Kind {
	first, after := firstWord(rest)
	if first == "LOCAL" || first == "GLOBAL" {
		first, _ = firstWord(after)
	}
	if first == "TEMP" || first == "TEMPORARY" {
		return Unsupported
	}
	return Write
}

// declareKind separates cursors that outlive their transaction.
func declareKind(rest string) Kind {
	head, _, _ := strings.Cut(strings.ToUpper(rest), "FOR")
	words := strings.Fields(head)
	for i, w := range words {
		if w == "HOLD" && i > 0 && words[i-1] == "WITH" {
			return Unsupported
		}
	}
	return Write
}

func beginKind(rest string) Kind {
	if strings.Contains(strings.ToUpper(rest), "READ ONLY") {
		return BeginReadOnly
	}
	return Begin
}

func rollbackKind(rest string) Kind {
	upper := strings.ToUpper(rest)
	if strings.Contains(upper, "PREPARED") {
		return Unsupported
	}
	for _, f := range strings.Fields(upper) {
		if f == "TO" {
			return Savepoint
		}
	}
	return Rollback
}

func setKind(rest string) Kind {
	first, _ := firstWord(rest)
	switch first {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return SetLocal
	}
	return Set
}

// assignment reads "[SESSION] name = value" or "name TO value".
func assignment(rest string) (name, value string) {
	if first, after := firstWord(rest); first == "SESSION" {
		rest = after
	}
	name, rest = settingName(rest)
	rest = strings.TrimSpace(rest)
	if after, ok := strings.CutPrefix(rest, "="); ok {
		rest = after
	} else if first, after := firstWord(rest); first == "TO" {
		rest = after
	}
	return name, unquote(strings.TrimSpace(rest))
}

func settingName(rest string) (name, after string) {
	rest = trim(rest)
	i := 0
	for i < len(rest) && (isWord(rest[i]) || rest[i] == '.' || rest[i] == '"') {
		i++
	}
	return strings.ToLower(strings.ReplaceAll(rest[:i], `"`, "")), rest[i:]
}

func unquote(s string) string {
	if len(s) < 2 || s[0] != '\'' || s[len(s)-1] != '\'' {
		return s
	}
	return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
}
