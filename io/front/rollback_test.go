package front

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// TestRolledBackWriteIsRunAgain has a database roll back a write outside of a
// transaction, as one does that is fenced between the write and its commit. The host
// must run the write again, once, and answer with that outcome alone.
func TestRolledBackWriteIsRunAgain(t *testing.T) {
	s := newTestServer(t)
	s.upstream.conflicts = 1
	replies := s.runSession(&pgproto3.Query{String: "INSERT INTO a VALUES (1)"})
	assert.DeepEqual(t, replies, []string{"INSERT", "Z I"})
	assert.Equal(t, s.upstream.committed(), 1)
	s.awaitCleanup()
}

// TestRolledBackWriteIsToldAsNotRun has the same happen without a retry left in the
// budget. The caller must be told that the write has not run.
func TestRolledBackWriteIsToldAsNotRun(t *testing.T) {
	s := newTestServer(t)
	s.server.Env.RetryBudget = noRetries{}
	s.upstream.conflicts = 1
	replies := s.runSession(&pgproto3.Query{String: "INSERT INTO a VALUES (1)"})
	assert.DeepEqual(t, replies, []string{"ERROR 40001 not run", "Z I"})
	assert.Equal(t, s.upstream.committed(), 0)
	s.awaitCleanup()
}

// TestRolledBackAfterACommitIsPassedOn has a simple query commit a transaction of its own
// before a write that is rolled back. The host must not run the query again.
func TestRolledBackAfterACommitIsPassedOn(t *testing.T) {
	s := newTestServer(t)
	s.upstream.conflicts = 1
	replies := s.runSession(&pgproto3.Query{String: "BEGIN; INSERT INTO a VALUES (1); COMMIT; INSERT INTO a VALUES (2)"})
	assert.DeepEqual(t, replies, []string{"BEGIN", "INSERT", "COMMIT", "ERROR 40001", "Z I"})
	s.awaitCleanup()
}
