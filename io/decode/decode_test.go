package decode_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/decode"
	"coltsfootloft/io/quota/quotapb"
	"coltsfootloft/io/relay/relaypb"
)

// TestEmptyElementsAreCounted guards against a message that takes a hundred times the bytes that
// it has on the wire.
func TestEmptyElementsAreCounted(t *testing.T) {
	assert.ErrorIs(t, decode.Message(bytes.Repeat([]byte{0x0a, 0}, 1<<20), &quotapb.Report{}), decode.ErrTooMany)
	values := make([]*relaypb.Value, decode.MaxElements+1)
	for i := range values {
		values[i] = &relaypb.Value{}
	}
	b, err := proto.Marshal(&relaypb.Request{Exchange: &relaypb.Exchange{Values: values}})
	assert.NilError(t, err)
	assert.ErrorIs(t, decode.Message(b, &relaypb.Request{}), decode.ErrTooMany)
	b, err = proto.Marshal(&relaypb.Request{Exchange: &relaypb.Exchange{Values: values[:100]}})
	assert.NilError(t, err)
	var q relaypb.Request
	assert.NilError(t, decode.Message(b, &q))
	assert.Equal(t, len(q.GetExchange().GetValues()), 100)
	assert.Assert(t, decode.Message([]byte{0xff}, &q) != nil)
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte{0x0a, 2, 0x5a, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var q relaypb.Request
		if proto.Unmarshal(b, &q) == nil && len(b) < decode.MaxElements {
			assert.NilError(t, decode.Message(b, &relaypb.Request{}))
		}
	})
}
