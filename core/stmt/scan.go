package stmt

import "strings"

// space holds the bytes that separate tokens. Others, such as a no-break space, are letters for a
// database.
const space = " \t\n\r\f\v"

// split cuts the text at semicolons outside of quotes, comments and dollar quotes. It drops space
// and comments at both ends of the parts, and parts that contain nothing else.
func split(sql string) []string {
	var parts []string
	start, end := 0, 0 // of the present part, without space and comments
	for i := 0; i < len(sql); {
		next := skipToken(sql, i)
		switch {
		case sql[i] == ';':
			parts = appendPart(parts, sql[start:end])
			start, end = next, next
		case isSeparator(sql[i:]):
			if start == end {
				start, end = next, next
			}
		default:
			end = next
		}
		i = next
	}
	return appendPart(parts, sql[start:end])
}

// isSeparator reports whether sql, which begins with a token, begins with space or a comment.
func isSeparator(sql string) bool {
	return strings.IndexByte(space, sql[0]) >= 0 || strings.HasPrefix(sql, "--") || strings.HasPrefix(sql, "/*")
}

func appendPart(parts []string, part string) []string {
	if part == "" {
		return parts
	}
	return append(parts, part)
}

// skipToken returns the index after the token at i: a quoted string, a comment, a word,
// or a single byte.
func skipToken(sql string, i int) int {
	switch c := sql[i]; {
	case isWord(c) && !isDigit(c):
		return skipWord(sql, i)
	case c == '\'' || c == '"':
		return skipPast(sql, i+1, string(c))
	case c == '$':
		return skipDollar(sql, i)
	case strings.HasPrefix(sql[i:], "--"):
		return skipLineComment(sql, i)
	case strings.HasPrefix(sql[i:], "/*"):
		return skipComment(sql, i)
	}
	return i + 1
}

func skipPast(sql string, i int, end string) int {
	j := strings.Index(sql[i:], end)
	if j < 0 {
		return len(sql)
	}
	return i + j + len(end)
}

// skipWord skips a name or keyword, in which there may be dollar signs, or a string with escapes,
// which begins with the word E.
func skipWord(sql string, i int) int {
	j := i + 1
	for j < len(sql) && (isWord(sql[j]) || sql[j] == '$') {
		j++
	}
	if j < len(sql) && sql[j] == '\'' && strings.EqualFold(sql[i:j], "e") {
		return skipEscaped(sql, j)
	}
	return j
}

func skipEscaped(sql string, i int) int {
	for i++; i < len(sql); i++ {
		switch sql[i] {
		case '\\':
			i++
		case '\'':
			return i + 1
		}
	}
	return len(sql)
}

func skipDollar(sql string, i int) int {
	j := i + 1
	for j < len(sql) && isWord(sql[j]) {
		j++
	}
	isQuote := j < len(sql) && sql[j] == '$' && (j == i+1 || !isDigit(sql[i+1]))
	if !isQuote {
		return j
	}
	return skipPast(sql, j+1, sql[i:j+1])
}

// skipLineComment returns the index of the end of the line, which is a line feed or a carriage
// return, as for the database.
func skipLineComment(sql string, i int) int {
	j := strings.IndexAny(sql[i:], "\r\n")
	if j < 0 {
		return len(sql)
	}
	return i + j
}

func skipComment(sql string, i int) int {
	depth := 0
	for i < len(sql) {
		switch {
		case strings.HasPrefix(sql[i:], "/*"):
			depth++
			i += 2
		case strings.HasPrefix(sql[i:], "*/"):
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return len(sql)
}

// trim drops space and comments from the beginning of a statement, and space from its end.
func trim(sql string) string {
	for {
		sql = strings.Trim(sql, space)
		switch {
		case strings.HasPrefix(sql, "--"):
			sql = sql[skipLineComment(sql, 0):]
		case strings.HasPrefix(sql, "/*"):
			sql = sql[skipComment(sql, 0):]
		default:
			return sql
		}
	}
}

// firstWord returns the first word of sql in upper case and the rest of sql.
func firstWord(sql string) (first, rest string) {
	sql = trim(sql)
	i := 0
	for i < len(sql) && isWord(sql[i]) {
		i++
	}
	return strings.ToUpper(sql[:i]), sql[i:]
}

func isWord(c byte) bool {
	isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
	return isLetter || isDigit(c) || c == '_' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
