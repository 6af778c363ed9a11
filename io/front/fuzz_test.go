package front

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzCaller checks that for any input the session ends, the answer is well-formed,
// no connection is left inside a transaction, and the host keeps running. If whole is
// set, the input is all that the caller sends; otherwise it follows a valid startup
// message.
func FuzzCaller(f *testing.F) {
	s := newTestServer(f)
	messages := func(all ...pgproto3.FrontendMessage) []byte {
		var b []byte
		for _, m := range all {
			b = appendMessage(b, m)
		}
		return b
	}
	f.Add(true, startupMessage("open"))
	f.Add(true, startupMessage("keyed"))
	f.Add(true, appendMessage(nil, &pgproto3.CancelRequest{SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(true, appendMessage(nil, &pgproto3.GSSEncRequest{}))
	f.Add(false, messages(query("BEGIN"), query("INSERT 1"), query("syntax"), query("COMMIT")))
	f.Add(false, messages(query("SET coltsfootloft.request_id = 'x'"), query("INSERT 1")))
	f.Add(false, messages(query("SHOW coltsfootloft.token; SELECT 1"), query("DISCARD ALL")))
	f.Add(false, messages(parse("a", "INSERT 1"), bind("a"), execute, flush, closeStatement("a"), endBatch))
	f.Add(false, messages(parse("", "syntax"), flush, parse("", "SELECT 1"), query("SELECT 1"), endBatch))
	f.Add(false, messages(query("BEGIN READ ONLY"), parse("", "SELECT 1"), flush, &pgproto3.Terminate{}))
	f.Add(false, messages(&pgproto3.CopyDone{}, &pgproto3.Describe{ObjectType: 'S'}, endBatch)[:12])
	f.Fuzz(func(t *testing.T, whole bool, input []byte) {
		s.t = t
		if whole {
			s.send(input)
		} else {
			s.replies(s.send(append(startupMessage("open"), input...)))
		}
		s.awaitCleanup()
	})
}
