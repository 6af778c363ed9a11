package failov

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/failov/stewardpb"
	"coltsfootloft/io/mirror"
)

// noStore has not answered yet.
type noStore struct{ coltsfootloft.EventStore }

func (noStore) Era() uint64 { return 0 }

func (noStore) Snapshot(context.Context) ([]coltsfootloft.Event, uint64, error) {
	return nil, 0, coltsfootloft.ErrStoreDown
}

// noPeers are other hosts that can't be reached.
type noPeers struct{ coltsfootloft.Peers }

func (noPeers) Register(string, coltsfootloft.Handler) {}

func (noPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, context.DeadlineExceeded
}

func newController() *Controller {
	c := &Controller{
		Peers: noPeers{},
		Clock: boot.Clock{},
		Log:   logr.Discard(),
		Mirror: &mirror.Mirror{
			Store: noStore{},
			Peers: noPeers{},
			Clock: boot.Clock{},
			Log:   logr.Discard(),
		},
	}
	c.Register()
	return c
}

// TestNamesThatAreNotUTF8EndNoHost guards against a panic on the name of a group or database.
func TestNamesThatAreNotUTF8EndNoHost(t *testing.T) {
	_, err := newController().call(t.Context(), "other", &stewardpb.Request{Reach: &stewardpb.Reach{Database: "caf\xe9"}})
	assert.ErrorContains(t, err, "UTF-8")
}

// FuzzHandle passes arbitrary bytes as requests of other hosts.
func FuzzHandle(f *testing.F) {
	for _, q := range []*stewardpb.Request{
		{Confirm: &stewardpb.Confirm{Era: 1 << 60}},
		{Reach: &stewardpb.Reach{Database: "x"}},
		{Missing: &stewardpb.Missing{Group: "x"}},
	} {
		b, err := proto.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, _ = newController().handle(ctx, "other", b)
	})
}
