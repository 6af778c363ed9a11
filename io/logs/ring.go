package logs

import (
	"io"
	"strconv"
	"sync/atomic"
)

// ringLines is how many lines wait for a slow output, of a few hundred bytes each.
const ringLines = 2048

// Ring writes lines in the background and never blocks. Lines that find it full are
// dropped and counted, and the count is written once there is room. Its field is
// set before Run.
type Ring struct {
	// Output takes the lines.
	Output io.Writer

	lines   chan []byte
	dropped atomic.Uint64
}

// NewRing returns a ring in front of an output.
func NewRing(output io.Writer) *Ring {
	return &Ring{
		Output: output,
		lines:  make(chan []byte, ringLines),
	}
}

// Write takes one line. It never fails and never blocks.
func (r *Ring) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case r.lines <- line:
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// Run writes lines until done is closed and all that waited is written.
func (r *Ring) Run(done <-chan struct{}) {
	told := uint64(0)
	for {
		select {
		case line := <-r.lines:
			told = r.put(line, told)
		case <-done:
			r.flush(told)
			return
		}
	}
}

func (r *Ring) put(line []byte, told uint64) uint64 {
	_, _ = r.Output.Write(line) // there is nowhere to say that output is lost
	n := r.dropped.Load()
	if n == told || len(r.lines) > ringLines/2 {
		return told
	}
	_, _ = io.WriteString(r.Output, `{"level":"info","event":"log lines dropped","lines":`+strconv.FormatUint(n-told, 10)+"}\n")
	return n
}

func (r *Ring) flush(told uint64) {
	for {
		select {
		case line := <-r.lines:
			told = r.put(line, told)
		default:
			return
		}
	}
}
