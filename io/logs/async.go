package logs

import (
	"io"
	"strconv"
	"sync/atomic"
)

// queueLines is the length of the queue in lines, of a few hundred bytes each.
const queueLines = 2048

// AsyncWriter queues lines and writes them in the background, so that Write never
// blocks. Lines that arrive while the queue is full are dropped and counted; the
// count is written once the queue is at most half full. It is safe for concurrent
// use.
type AsyncWriter struct {
	// Output receives the lines. It must not change after Run is called.
	Output io.Writer

	lines   chan []byte
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that writes lines to output. Run must be called to
// write them.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{
		Output: output,
		lines:  make(chan []byte, queueLines),
	}
}

// Write queues one line, or drops it if the queue is full. It never fails and never
// blocks.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until done is closed, and then the lines still in the queue.
func (w *AsyncWriter) Run(done <-chan struct{}) {
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			reported = w.writeLine(line, reported)
		case <-done:
			w.flush(reported)
			return
		}
	}
}

// writeLine writes a line, and the number of dropped lines if it has grown since
// reported. It returns the number of dropped lines written so far.
func (w *AsyncWriter) writeLine(line []byte, reported uint64) uint64 {
	_, _ = w.Output.Write(line) // a failed write to the log can't be logged
	n := w.dropped.Load()
	if n == reported || len(w.lines) > queueLines/2 {
		return reported
	}
	_, _ = io.WriteString(w.Output, `{"level":"info","event":"log lines dropped","lines":`+strconv.FormatUint(n-reported, 10)+"}\n")
	return n
}

func (w *AsyncWriter) flush(reported uint64) {
	for {
		select {
		case line := <-w.lines:
			reported = w.writeLine(line, reported)
		default:
			return
		}
	}
}
