package linedb_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/linedb"
)

// TestMessagesThatNobodySentAreNoted guards against a stand-in that runs, or drops unseen, a message that
// no caller and no proxy can have sent.
func TestMessagesThatNobodySentAreNoted(t *testing.T) {
	for query, broken := range map[string]bool{
		"1 READ a\tb":              false,
		"1 WRITE a\n \r":           false,
		"1 EXEC s a":               false,
		"1 EXEC s a ":              false,
		"1 AFTERLSN 1.0 READ a":    false,
		"1 AFTERLSN 1.0 BEGIN":     false,
		"1 BEGIN READ":             false,
		"- PREPARE s READ \n":      false,
		"- ROLLBACK":               false,
		"- DEMOTE 3":               false,
		"1 ydbd":                   true,
		"1 READ":                   true,
		"1 READ ":                  true,
		"1 WRITE a":                true,
		"1 WRITE  a":               true,
		"1 BEGIN\nREAD":            true,
		"1 COMMIT ":                true,
		"1 PREPARE s NONE a":       true,
		"1 EXEC s":                 true,
		"1 AFTERLSN - READ a":      true,
		"1 AFTERLSN 1.0 COMMIT":    true,
		"1 AFTERLSN 1.0 WRITE a b": true,
		"1 RESET":                  true,
		"- READ a":                 true,
		"- STATUS now":             true,
	} {
		g, p := start(t, linedb.Faults{})
		p.send("QUERY " + query)
		p.send("QUERY 9 READ end")
		for line := ""; line != "DONE db-1.9"; {
			var err error
			line, err = p.r.Line()
			assert.NilError(t, err)
		}
		assert.Equal(t, len(g.Violations()) == 1, broken, "%q: %v", query, g.Violations())
	}
	for _, line := range []string{"QUERY 1", "QUERY  READ a", "HELLO", "READY I -", ""} {
		g, p := start(t, linedb.Faults{})
		p.send(line)
		p.expect("ERR MALFORMED db-1")
		assert.Equal(t, len(g.Violations()), 1, line)
	}
}
