package dbops_test

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/dbops"
)

// answerTwice serves a database that answers each call twice, with the number of the call as its
// version.
func answerTwice(l net.Listener) {
	var calls atomic.Int64
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			b := pgproto3.NewBackend(c, c)
			if _, err := b.ReceiveStartupMessage(); err != nil {
				return
			}
			b.Send(&pgproto3.AuthenticationOk{})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			for b.Flush() == nil {
				if _, err := b.Receive(); err != nil {
					return
				}
				version := strconv.FormatInt(calls.Add(1), 10)
				for range 2 {
					sendReading(b, version)
				}
			}
		}()
	}
}

func sendReading(b *pgproto3.Backend, version string) {
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for _, v := range []string{"primary", "1@x", "1@x", "1", "1@x", "1", "", version} {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte("c")})
		r.Values = append(r.Values, []byte(v))
	}
	b.Send(d)
	b.Send(r)
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// TestReadingOfAnEarlierCallIsNotUsed guards against a database's reading that is taken for the answer
// to a later call, such as one from before a fence: a database that answers a call twice leaves
// the second answer on the connection.
func TestReadingOfAnEarlierCallIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go answerTwice(l)
	d := &dbops.Database{Address: l.Addr().String()}
	defer d.Close()
	for call := range 3 {
		r, err := d.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, r.Version(), uint64(call+1), "the version of the call's own answer")
	}
}
