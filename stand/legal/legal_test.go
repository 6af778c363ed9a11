package legal

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTextsAreLegalAndOdd guards against texts that end a message, and against a source that leaves out what
// it is for.
func TestTextsAreLegalAndOdd(t *testing.T) {
	s := Source{Random: rand.New(rand.NewPCG(1, 0))}
	seen := make(map[string]int)
	for range 5000 {
		text, name := s.Text(), s.Name()
		assert.Assert(t, text != "" && name != "")
		assert.Assert(t, !strings.Contains(text, "\r\n") && !strings.Contains(name, "\r\n"))
		assert.Assert(t, !strings.Contains(name, " "))
		for what, ok := range map[string]bool{
			"LF":            strings.Contains(text, "\n"),
			"CR":            strings.Contains(text, "\r"),
			"CR at the end": strings.HasSuffix(text, "\r"),
			"blank at end":  strings.HasSuffix(text, " "),
			"blank first":   strings.HasPrefix(text, " "),
			"NUL":           strings.Contains(text, "\x00"),
			"not UTF-8":     strings.ToValidUTF8(text, "") != text,
			"4096":          len(text) > 4000 && len(text) < 4100,
			"64 KiB":        len(text) >= 64<<10-20,
			"message":       strings.Contains(text, "\nDONE 1.2.3"),
			"LF in a name":  strings.Contains(name, "\n"),
		} {
			if ok {
				seen[what]++
			}
		}
	}
	assert.Equal(t, len(seen), 11, "%v", seen)
}
