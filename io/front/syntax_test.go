package front

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// TestStringSyntaxStaysTheHosts guards against a statement that the host takes for a part of a string
// though the database runs it, or the reverse, and against a request id that ends its string in the
// host's own SQL: with standard_conforming_strings off, a backslash escapes a quote.
func TestStringSyntaxStaysTheHosts(t *testing.T) {
	s := newTestServer(t)
	for _, sql := range []string{
		"SET standard_conforming_strings = off",
		"SET standard_conforming_strings TO 'False' -- note",
		"SET SESSION Standard_Conforming_Strings = 0",
		"SET LOCAL standard_conforming_strings = off",
		"SELECT Set_Config('standard_conforming_strings', 'off', false)",
		"SELECT set_config('client_encoding', 'SJIS', false)",
		"SELECT 1; SET standard_conforming_strings = off",
	} {
		assert.DeepEqual(t, s.runSession(query(sql)), []string{"ERROR 22023 not run", "Z I"})
	}
	for _, sql := range []string{
		"SET standard_conforming_strings = on",
		"SET standard_conforming_strings TO DEFAULT",
		"RESET standard_conforming_strings",
	} {
		assert.Equal(t, s.runSession(query(sql))[1], "Z I", sql)
	}
	for _, sql := range s.upstream.statements() {
		assert.Assert(t, sql != "SET standard_conforming_strings = off")
	}
	input := appendMessage(nil, &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters: map[string]string{
			"user":                        "alpha.app",
			"database":                    "alpha.open",
			"standard_conforming_strings": "off",
		},
	})
	assert.DeepEqual(t, s.replies(s.send(input)), []string{"FATAL 22023 not run"})
	s.awaitCleanup()
}
