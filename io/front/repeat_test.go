package front

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// TestAnswerThatDoesNotBelongToItsRequest guards against a request that is answered with a late second
// answer to the one before it. An answer of another form than the request's must break the
// connection, and the caller must not get it.
func TestAnswerThatDoesNotBelongToItsRequest(t *testing.T) {
	for _, c := range []messageTest{
		{
			name: "a batch, then a simple query",
			send: []pgproto3.FrontendMessage{query("BEGIN"), parse("", "SELECT 1"), bind(""), execute, endBatch, query("INSERT 1")},
			want: []string{"BEGIN", "Z T", "1", "2", "SELECT", "Z T", "ERROR 08007 outcome unknown", "Z E"},
		},
		{
			name: "a simple query, then a batch",
			send: []pgproto3.FrontendMessage{query("BEGIN"), query("SELECT 1"), parse("", "INSERT 1"), bind(""), execute, endBatch},
			want: []string{"BEGIN", "Z T", "SELECT", "Z T", "ERROR 08007 outcome unknown", "Z E"},
		},
		{
			name: "a longer batch, then a shorter one",
			send: []pgproto3.FrontendMessage{
				query("BEGIN"), parse("a", "SELECT 1"), bind("a"), execute, endBatch,
				bind("a"), execute, endBatch,
			},
			want: []string{"BEGIN", "Z T", "1", "2", "SELECT", "Z T", "ERROR 08007 outcome unknown", "Z E"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestServer(t)
			s.runSession(query("SELECT 0")) // the connection is open
			s.awaitCleanup()
			s.upstream.repeatAnswer(2) // the first is that to BEGIN
			assert.DeepEqual(t, s.runSession(c.send...), c.want)
			s.awaitCleanup()
			assert.Equal(t, s.upstream.committed(), 0)
		})
	}
}
