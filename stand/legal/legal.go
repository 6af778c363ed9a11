// Package legal makes names and texts of all bytes that the users' statement protocol allows in
// the fields of a message, for test callers: line ends that are none, whole messages within a text,
// bytes that are not UTF-8, and lengths around the sizes of buffers.
package legal

import (
	"math/rand/v2"
	"strings"
)

// pieces are texts that a reader may take for something else.
var pieces = []string{
	"\nDONE 1.2.3", "\nQUERY 9 WRITE x y", "\nREADY I -", "\rERR BUSY", "\nROW z\nDONE 7.7\nREADY I 9.9", "\nBYE", "\nSTART a b",
	"\n", "\r", "\n\r", "\r\r", "\t", "\v\f", "\x00", "\x85", "\u0085", "\u2028", "\u00a0", "\xff\xfe", "\xe9", " ", "  ", "   ", "-", "ROW ", "AFTERLSN 9.9 READ x",
}

// Source makes names and texts.
type Source struct{ Random *rand.Rand }

// Text returns a text of at least one byte. Few texts are larger than 8 KiB.
func (s Source) Text() string {
	const usual, rare = 40, 300
	var text string
	switch n := s.Random.IntN(rare); {
	case n == 0:
		text = s.fill(64<<10 + s.Random.IntN(8<<10))
	case n < rare/20:
		text = s.fill(s.nearBuffer())
	case n < rare/2:
		text = s.fill(1 + s.Random.IntN(usual))
	default:
		text = s.piece() + s.word() + s.piece()
	}
	return sound(text)
}

// Name returns a text without blanks, which can stand before another field.
func (s Source) Name() string {
	text := strings.ReplaceAll(s.piece()+s.word()+s.piece(), " ", "_")
	if s.Random.IntN(50) == 0 {
		text = strings.ReplaceAll(s.fill(s.nearBuffer()), " ", "_")
	}
	return sound(text)
}

// nearBuffer returns a length such that the message or one of its fields ends near the end of a buffer.
func (s Source) nearBuffer() int {
	const half, before, after = 2048, 70, 3
	return half*(1+s.Random.IntN(4)) - before + s.Random.IntN(before+after)
}

func (s Source) piece() string { return pieces[s.Random.IntN(len(pieces))] }

func (s Source) word() string {
	const letters = "abcdefghijkmnopqrstuvwxyz"
	b := make([]byte, 1+s.Random.IntN(8))
	for i := range b {
		b[i] = letters[s.Random.IntN(len(letters))]
	}
	return string(b)
}

// fill returns n bytes: any, or words and pieces.
func (s Source) fill(n int) string {
	b := make([]byte, 0, n+64)
	anyBytes := s.Random.IntN(2) == 0
	for len(b) < n {
		if anyBytes {
			b = append(b, byte(s.Random.Uint32()))
		} else {
			b = append(b, s.word()+s.piece()...)
		}
	}
	return string(b[:n])
}

// sound takes out CR LF, which ends a message.
func sound(text string) string {
	for strings.Contains(text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}
