package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// prefixSize is the size in bytes of the lengths of header and body, 4 bytes each.
	prefixSize = 8
	// maxHeader is the size of the largest header, in bytes.
	maxHeader = 64 << 10
)

// encodeFrame returns the lengths (big endian), the header and the body as one slice.
func encodeFrame(header proto.Message, body []byte) ([]byte, error) {
	n := proto.Size(header)
	b := make([]byte, prefixSize, prefixSize+n+len(body))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, header)
	if err != nil {
		return nil, errors.Wrap(err, "frame header")
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-prefixSize))
	binary.BigEndian.PutUint32(b[4:], uint32(len(body)))
	return append(b, body...), nil
}

// readFrame reads a frame into header and returns the body, of at most limit bytes.
func readFrame(r io.Reader, header proto.Message, limit int) ([]byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	h := binary.BigEndian.Uint32(prefix[:])
	n := binary.BigEndian.Uint32(prefix[4:])
	if h > maxHeader || uint64(n) > uint64(limit) {
		return nil, errors.Wrapf(ErrTooLarge, "header of %d bytes, body of %d", h, n)
	}
	b := make([]byte, int(h)+int(n))
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(b[:h], header); err != nil {
		return nil, errors.Wrap(err, "frame header")
	}
	return b[h:], nil
}
