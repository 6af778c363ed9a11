package front

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzCaller: whatever a caller sends, its session comes to an end, its answer is
// well-formed, no connection is left inside of a transaction and the host goes on.
// An input is what follows a good startup message, or the whole if asked.
func FuzzCaller(f *testing.F) {
	s := newStand(f)
	messages := func(all ...pgproto3.FrontendMessage) []byte {
		var b []byte
		for _, m := range all {
			b = add(b, m)
		}
		return b
	}
	f.Add(true, hi("open"))
	f.Add(true, hi("keyed"))
	f.Add(true, add(nil, &pgproto3.CancelRequest{SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(true, add(nil, &pgproto3.GSSEncRequest{}))
	f.Add(false, messages(query("BEGIN"), query("INSERT 1"), query("syntax"), query("COMMIT")))
	f.Add(false, messages(query("SET coltsfootloft.request_id = 'x'"), query("INSERT 1")))
	f.Add(false, messages(query("SHOW coltsfootloft.token; SELECT 1"), query("DISCARD ALL")))
	f.Add(false, messages(parse("a", "INSERT 1"), bind("a"), execute, flush, closing("a"), endBatch))
	f.Add(false, messages(parse("", "syntax"), flush, parse("", "SELECT 1"), query("SELECT 1"), endBatch))
	f.Add(false, messages(query("BEGIN READ ONLY"), parse("", "SELECT 1"), flush, &pgproto3.Terminate{}))
	f.Add(false, messages(&pgproto3.CopyDone{}, &pgproto3.Describe{ObjectType: 'S'}, endBatch)[:12])
	f.Fuzz(func(t *testing.T, whole bool, input []byte) {
		s.t = t
		if whole {
			s.send(input)
		} else {
			s.words(s.send(append(hi("open"), input...)))
		}
		s.settled()
	})
}
