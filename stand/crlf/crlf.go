// Package crlf reads the lines of the users' statement protocol for test doubles and test
// callers. A line ends at CR LF only, so that CR and LF alone are bytes like any others, and
// its fields are separated by single blanks. It shares no code with the proxy: a mistake in
// one of the two shows as a difference between what one wrote and the other has read.
package crlf

import (
	"bufio"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxLine is the maximum size of a line in bytes, with its end.
const maxLine = 1 << 20

// ErrTooLong is returned for a line of more than 1 MiB.
var ErrTooLong = errors.New("line over 1 MiB")

// Reader reads lines. It is not safe for concurrent use.
type Reader struct{ buffer *bufio.Reader }

// New returns a reader of the lines of r.
func New(r io.Reader) *Reader { return &Reader{buffer: bufio.NewReader(r)} }

// Line returns the next line without its end. At the end of the input it returns io.EOF, and
// within a line io.ErrUnexpectedEOF.
func (r *Reader) Line() (string, error) {
	var line []byte
	for {
		b, err := r.buffer.ReadByte()
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		line = append(line, b)
		n := len(line) - 2
		if n >= 0 && line[n] == '\r' && b == '\n' {
			return string(line[:n]), nil
		}
		if len(line) >= maxLine {
			return "", ErrTooLong
		}
	}
}

// Await waits until a byte can be read, and reads none.
func (r *Reader) Await() error {
	_, err := r.buffer.Peek(1)
	return err
}

// Rest returns what has been received and not read yet, and leaves it there.
func (r *Reader) Rest() string {
	b, _ := r.buffer.Peek(r.buffer.Buffered())
	return string(b)
}

// Split splits a line into n fields, of which the last extends to the end of the line. It
// reports false if there are fewer, or if one is empty.
func Split(line string, n int) (fields []string, ok bool) {
	fields = strings.SplitN(line, " ", n)
	for _, f := range fields {
		if f == "" {
			return fields, false
		}
	}
	return fields, len(fields) == n
}
