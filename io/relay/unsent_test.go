package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// unnamed opens no session, since the name of the account can't be encoded.
type unnamed struct{ err error }

func (u unnamed) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	return nil, coltsfootloft.Position{}, u.err
}

// TestOwnerTellsThatNothingCanBeSent guards against a statement that no database can be sent and that the
// host which asked the owner takes for one that may have run, or tries again elsewhere.
func TestOwnerTellsThatNothingCanBeSent(t *testing.T) {
	for _, unsent := range []error{coltsfootloft.ErrNotSent, coltsfootloft.ErrTooLarge} {
		owner := newRelay(t)
		owner.Pools.Opener = unnamed{errors.Wrap(unsent, "field 2")}
		a, _ := owner.exchange("other", &relaypb.Exchange{
			Database: "db-1",
			Account:  "Ana Maria",
			Id:       []byte("a1"),
			Text:     []byte("WRITE x y"),
			Verb:     uint32(coltsfootloft.VerbWrite),
			WaitMs:   1000,
			AnswerMs: 1000,
		})
		b, err := proto.Marshal(a)
		assert.NilError(t, err)
		r := newRelay(t)
		r.Peers = answeringPeers{answer: b}
		n := &Conn{
			relay:  r,
			target: dbpool.Target{ID: "db-1"},
			owner:  "other",
		}
		_, err = n.Exchange(dbpool.Request{Deadline: time.Now().Add(time.Second)}, time.Now().Add(time.Second), false)
		assert.Check(t, errors.Is(err, unsent), "%v", err)
		assert.Check(t, errors.Is(err, coltsfootloft.ErrTooLarge) == errors.Is(unsent, coltsfootloft.ErrTooLarge), "%v", err)
		assert.Check(t, !errors.Is(err, dbpool.ErrBusy) && !errors.Is(err, dbpool.ErrDown), "%v", err)
	}
}
