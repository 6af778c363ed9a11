package caller

import (
	"net"
	"strings"

	"github.com/pkg/errors"

	"coltsfootloft/stand/crlf"
)

// Greet reads the answer to the start of a session, and returns the code of a refusal. It
// calls arm before each line that it waits for.
func Greet(r *crlf.Reader, arm func()) (code string, err error) {
	arm()
	line, err := r.Line()
	if err != nil {
		return "", errors.Wrap(err, "read")
	}
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case word == "READY" && isReady(line):
		return "", nil
	case word == "ERR":
		code, _, _ = strings.Cut(rest, " ")
		return code, nil
	}
	return "", errors.Errorf("started with %q", line)
}

// Receive reads the answer to a statement. It calls arm before each line that it waits for.
// Stray is the first line that was no part of an answer, or out of its order.
func Receive(r *crlf.Reader, arm func()) (a Answer, stray string) {
	for ended := false; ; {
		arm()
		line, err := r.Line()
		if err != nil {
			var timeout net.Error
			a.Silent = errors.As(err, &timeout) && timeout.Timeout()
			a.Lost = !a.Silent
			return a, stray
		}
		if ended && isReady(line) {
			a.State = line[len("READY "):][:1]
			return a, stray
		}
		if sound := a.add(line); (!sound || ended) && stray == "" {
			stray = line
		}
		ended = ended || a.Digest != "" || a.Code != ""
	}
}

// add adds a line before READY to the answer, and reports whether it is one.
func (a *Answer) add(line string) bool {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "ROW":
		a.Rows = append(a.Rows, rest)
		return true
	case "DONE":
		a.Digest = rest
		return isPlain(rest)
	case "ERR":
		a.Code, _, _ = strings.Cut(rest, " ")
		return isPlain(a.Code)
	}
	return false
}

// isReady reports whether a line is READY with a state and a position.
func isReady(line string) bool {
	f, ok := crlf.Split(line, 3)
	return ok && f[0] == "READY" && (f[1] == "I" || f[1] == "T" || f[1] == "E") && isPlain(f[2])
}

// isPlain reports whether a field has no blanks and no control characters, and is not empty.
func isPlain(field string) bool {
	return field != "" && !strings.ContainsFunc(field, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
