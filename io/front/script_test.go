package front

import (
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// TestSettingAmongSeveralStatementsStaysInItsSession guards against a SET in a simple query of
// several statements that stays on the pooled connection: the next session would run with it.
func TestSettingAmongSeveralStatementsStaysInItsSession(t *testing.T) {
	for _, sql := range []string{
		"SELECT 1; SET a = 1",
		"SET a = 1; SET b = 2",
		"SELECT SET_CONFIG('a', '1', false)",
	} {
		s := newTestServer(t)
		s.runSession(query(sql))
		s.awaitCleanup()
		s.runSession(query("SELECT 2"))
		s.awaitCleanup()
		assert.Equal(t, s.upstream.resetCount(), 1, "%s: the second session runs with the first one's settings", sql)
	}
}

// TestSettingAmongSeveralStatementsIsKept guards against a session that loses a setting that it made
// in a simple query of several statements, when it is next served by a connection that was reset.
func TestSettingAmongSeveralStatementsIsKept(t *testing.T) {
	s := newTestServer(t)
	s.runSession(query("SET a = 1; SELECT 1; SET b = 2"), query("SELECT 2"))
	s.awaitCleanup()
	assert.DeepEqual(t, s.upstream.statements(),
		[]string{"SET a = 1", "SELECT 1", "SET b = 2", "SET a = 1", "SET b = 2", "SELECT 2"})
}

// TestSettingOfFailedBatchIsNotKept guards against a session that is taken to have a setting which
// the database rolled back with the rest of its batch.
func TestSettingOfFailedBatchIsNotKept(t *testing.T) {
	for _, failed := range [][]pgproto3.FrontendMessage{
		{query("SET a = 1; syntax")},
		{parse("", "SET a = 1"), bind(""), execute, parse("", "syntax"), endBatch},
	} {
		s := newTestServer(t)
		s.runSession(append(slices.Clone(failed), query("SELECT 2"))...)
		s.awaitCleanup()
		ran := s.upstream.statements()
		assert.Equal(t, ran[len(ran)-1], "SELECT 2")
		assert.Equal(t, slices.Index(ran, "SET a = 1"), 0)
		assert.Assert(t, !slices.Contains(ran[1:], "SET a = 1"), "%q", ran)
		assert.Equal(t, s.upstream.resetCount(), 1)
	}
}
