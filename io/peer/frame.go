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
	// maxHeader is the size of the largest header of an answer, in bytes. It holds the
	// message of an error.
	maxHeader = 64 << 10
	// maxRequestHeader is the size of the largest header of a request and of the largest
	// Hello, in bytes. They hold a few names.
	maxRequestHeader = 4 << 10
	// firstStep is how much of a body is allocated at first, in bytes. Most bodies are
	// smaller.
	firstStep = 4 << 10
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

// readHeader reads the lengths and the header of a frame, which has most bytes or less. It returns
// the first bytes of the body, up to firstStep, and the size of the whole body, of at most
// limit bytes.
func readHeader(r io.Reader, header proto.Message, most, limit int) (first []byte, size int, err error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, 0, err
	}
	h := binary.BigEndian.Uint32(prefix[:])
	n := binary.BigEndian.Uint32(prefix[4:])
	if uint64(h) > uint64(most) || uint64(n) > uint64(limit) {
		return nil, 0, errors.Wrapf(ErrTooLarge, "header of %d bytes, body of %d", h, n)
	}
	b := make([]byte, int(h)+min(int(n), firstStep))
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, err
	}
	if err := proto.Unmarshal(b[:h], header); err != nil {
		return nil, 0, errors.Wrap(err, "frame header")
	}
	return b[h:], int(n), nil
}

// readBody reads the rest of a body of size bytes of which the first ones have been read. It
// allocates as the bytes arrive, out of the room, and fails with ErrBusy if that is used up; the
// rest is then not read. The caller gives the room of the bytes that are returned back, also
// beside an error.
func readBody(r io.Reader, first []byte, size int, room *room) ([]byte, error) {
	b := first
	if !room.take(len(b)) {
		return nil, ErrBusy
	}
	for len(b) < size {
		read := len(b)
		n := min(size, 2*read)
		if !room.take(n - read) {
			return b, errors.WithStack(ErrBusy)
		}
		larger := make([]byte, n)
		copy(larger, b)
		b = larger
		if _, err := io.ReadFull(r, b[read:]); err != nil {
			return b, err
		}
	}
	return b, nil
}
