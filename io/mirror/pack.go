package mirror

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/mirror/mirrorpb"
)

const (
	// minPacked is the size of an answer to a poll, in bytes, from which it is compressed.
	// The settings of a large fleet take tens of kilobytes, and a host sends them to every
	// host of its failure domain that follows it, over a link that callers use too.
	minPacked = 1 << 10
	// maxUnpacked is the largest answer that is accepted, in bytes: twice the largest
	// value of the store, for a listing with many others.
	maxUnpacked = 4 << 20
	// maxKept is how many answers are kept. Most hosts are one or two changes behind.
	maxKept = 8
)

// packedAnswers holds the compressed answers to the polls of hosts that are equally far
// behind, so that each is compressed once. The zero value is ready to use. It is not safe
// for concurrent use.
type packedAnswers struct {
	revision uint64 // of the answers, with the era
	byAfter  map[uint64][]byte
}

// encode returns the encoded answer to a poll for the changes after a revision.
func (p *packedAnswers) encode(c *mirrorpb.Changes, after uint64) ([]byte, error) {
	if revision := coltsfootloft.RevisionAt(c.GetEra(), c.GetRevision()); p.byAfter == nil || p.revision != revision {
		p.revision = revision
		p.byAfter = make(map[uint64][]byte)
	}
	if b, ok := p.byAfter[after]; ok {
		return b, nil
	}
	b, err := proto.Marshal(c)
	if err != nil || len(b) < minPacked {
		return b, errors.Wrap(err, "changes")
	}
	packed, err := pack(b)
	if err != nil {
		return nil, err
	}
	b, err = proto.Marshal(&mirrorpb.Changes{
		Packed:   packed,
		Watching: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "packed changes")
	}
	if len(p.byAfter) >= maxKept {
		clear(p.byAfter)
	}
	p.byAfter[after] = b
	return b, nil
}

func pack(b []byte) ([]byte, error) {
	var to bytes.Buffer
	w, err := flate.NewWriter(&to, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return to.Bytes(), nil
}

// decodeChanges decodes an answer to a poll.
func decodeChanges(b []byte) (*mirrorpb.Changes, error) {
	c := &mirrorpb.Changes{}
	if err := decode.Message(b, c); err != nil {
		return nil, errors.Wrap(err, "changes")
	}
	if len(c.GetPacked()) == 0 {
		return c, nil
	}
	r := io.LimitReader(flate.NewReader(bytes.NewReader(c.GetPacked())), maxUnpacked+1)
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "packed changes")
	}
	if len(b) > maxUnpacked { // cut off, it may decode as fewer changes
		return nil, errors.Errorf("packed changes over %d bytes", maxUnpacked)
	}
	c = &mirrorpb.Changes{}
	return c, errors.Wrap(decode.Message(b, c), "packed changes")
}
