package crlf

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestLinesEndAtCRLFOnly guards against a reader that ends a line at a CR or LF alone, or trims it.
func TestLinesEndAtCRLFOnly(t *testing.T) {
	lines := []string{"", "a\nDONE 1.2", "\r", "\n", "a\r\rb", " a  b ", "tab\t\x00\x85\xff", strings.Repeat("\n", 3000) + strings.Repeat("\r", 3000)}
	for _, source := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
		r := New(source(strings.NewReader(strings.Join(lines, "\r\n") + "\r\nrest\n")))
		for _, want := range lines {
			line, err := r.Line()
			assert.NilError(t, err)
			assert.Equal(t, line, want)
		}
		_, err := r.Line()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	_, err := New(strings.NewReader("")).Line()
	assert.ErrorIs(t, err, io.EOF)
	_, err = New(strings.NewReader(strings.Repeat("x", maxLine+1))).Line()
	assert.ErrorIs(t, err, ErrTooLong)
}

// TestFieldsAreSplitAtBlanksOnly guards against fields that end at other white space, and empty ones.
func TestFieldsAreSplitAtBlanksOnly(t *testing.T) {
	for line, want := range map[string][]string{
		"QUERY 1 READ a\tb\u0085c":  {"QUERY", "1", "READ a\tb\u0085c"},
		"QUERY 1 WRITE a  b ":       {"QUERY", "1", "WRITE a  b "},
		"QUERY 1":                   nil,
		"QUERY  1 READ a":           nil,
		"QUERY 1 ":                  nil,
		" QUERY 1 READ":             nil,
		"QUERY\n1 \r \x00WRITE\n  ": {"QUERY\n1", "\r", "\x00WRITE\n  "},
	} {
		fields, ok := Split(line, 3)
		assert.Equal(t, ok, want != nil, line)
		if ok {
			assert.DeepEqual(t, fields, want)
		}
	}
}
