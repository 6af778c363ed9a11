package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/crlf"
)

// TestLinesOutOfPlaceAreFound guards against a caller that takes what belongs to no answer, or is out of
// order in one, for a part of its answer.
func TestLinesOutOfPlaceAreFound(t *testing.T) {
	for text, stray := range map[string]string{
		"ROW a\nDONE 1.2\r\nDONE 7.7\r\nREADY I 1.1\r\n":          "",
		"ERR BUSY a b\r\nREADY E -\r\n":                           "",
		"DONE 7.7\r\nDONE 7.7\r\nREADY I -\r\n":                   "DONE 7.7",
		"DONE 7.7\r\nERR BUSY x\r\nREADY I -\r\n":                 "ERR BUSY x",
		"ERR BUSY x\r\nROW a\r\nREADY I -\r\n":                    "ROW a",
		"READY I -\r\nDONE 7.7\r\nREADY I -\r\n":                  "READY I -",
		"DONE 7.7 8\r\nREADY I -\r\n":                             "DONE 7.7 8",
		"DONE 7.7\nREADY I -\r\nREADY I -\r\n":                    "DONE 7.7\nREADY I -",
		"DONE 7.7\r\nREADY I\r\nREADY I -\r\n":                    "READY I",
		"DONE 7.7\r\nREADY I - -\r\nREADY I -\r\n":                "READY I - -",
		"DONE 7.7\r\nREADY X -\r\nREADY I -\r\n":                  "READY X -",
		"WHAT\r\nDONE 7.7\r\nREADY I -\r\n":                       "WHAT",
		"ERR\r\n" + "ERR BUSY\r\nREADY I -\r\n":                   "ERR",
		"ROW a\r\nDONE \r\n" + "DONE 7.7\r\nREADY T 1.1\r\n":      "DONE ",
		"ROW \r\n" + "ROW  a \r\nDONE 7.7\r\nREADY T 1.1\r\n":     "",
		"ROW \rDONE 1\r\nROW \x00\xff\r\nDONE 7\r\nREADY I -\r\n": "",
	} {
		a, found := Receive(crlf.New(strings.NewReader(text)), func() {})
		assert.Equal(t, found, stray, "%q", text)
		assert.Assert(t, !a.Lost && !a.Silent, "%q", text)
	}
}
