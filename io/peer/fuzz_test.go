package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// FuzzFrame passes arbitrary bytes to the readers of frames.
func FuzzFrame(f *testing.F) {
	for _, m := range []proto.Message{&peerpb.Hello{From: "a"}, &peerpb.Request{Duty: "b"}, &peerpb.Answer{Id: 1}} {
		b, err := encodeFrame(m, []byte("body"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range []proto.Message{&peerpb.Hello{}, &peerpb.Request{}, &peerpb.Answer{}} {
			r := bytes.NewReader(b)
			first, size, err := readHeader(r, m, maxHeader, 1<<16)
			if err != nil {
				continue
			}
			all := room{limit: 1 << 15}
			body, err := readBody(r, first, size, &all)
			assert.Equal(t, all.used.Load(), int64(len(body)))
			assert.Assert(t, len(body) <= 2*len(b)+firstStep, "%d bytes for %d", len(body), len(b))
			if err == nil {
				assert.Equal(t, len(body), size)
			}
		}
	})
}
