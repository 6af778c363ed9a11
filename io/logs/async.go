package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// DroppedMetric is the name of the metric with the number of lines that were dropped.
const DroppedMetric = "coltsfootloft_log_lines_dropped_total"

const (
	// queueLines is the length of the queue in lines, of a few hundred bytes each.
	queueLines = 2048
	// queueBytes is the greatest length of all lines in the queue together.
	queueBytes = 1 << 20
	// retryDelay is the pause before a further write to a pipe that is full and that
	// another process has set to non-blocking.
	retryDelay = 10 * time.Millisecond
)

// AsyncWriter queues lines and writes them in the background, so that Write never
// blocks. Lines that don't fit into the queue or can't be written are dropped and
// counted; the count is written once the queue is at most half full. It is safe for
// concurrent use.
type AsyncWriter struct {
	// Output receives the lines. It must not change after Run is called.
	Output io.Writer
	// Format is that of the line with the count of dropped lines: json, or text.
	Format string

	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer that writes lines to output. Run must be called to
// write them.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	return &AsyncWriter{
		Output: output,
		Format: "json",
		lines:  make(chan []byte, queueLines),
	}
}

// Write queues one line, or drops it if it does not fit into the queue. It never fails
// and never blocks.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	size := int64(len(p))
	if w.queued.Add(size) > queueBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(p), nil
	}
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until done is closed, and then the lines still in the queue. It
// blocks while Output does.
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
	err := w.writeAll(line)
	w.queued.Add(-int64(len(line)))
	if err != nil {
		w.dropped.Add(1) // a failed write to the log can't be logged
		return reported
	}
	n := w.dropped.Load()
	if n == reported || len(w.lines) > queueLines/2 || w.queued.Load() > queueBytes/2 {
		return reported
	}
	form := `{"level":"info","event":"log lines dropped","lines":%d}` + "\n"
	if w.Format != "json" {
		form = `INFO log lines dropped {"lines": %d}` + "\n"
	}
	if w.writeAll(fmt.Appendf(nil, form, n-reported)) != nil {
		return reported
	}
	return n
}

// writeAll writes b. It waits while the output is a full pipe, also a non-blocking one.
func (w *AsyncWriter) writeAll(b []byte) error {
	for {
		n, err := w.Output.Write(b)
		b = b[n:]
		if !errors.Is(err, syscall.EAGAIN) {
			return err
		}
		time.Sleep(retryDelay)
	}
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
