package logs

import (
	"bytes"
	"errors"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestQueueIsBoundedInBytes guards against a host that a slow reader of its log takes over its
// memory limit, because callers choose the length of lines.
func TestQueueIsBoundedInBytes(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	line := []byte(strings.Repeat("x", queueBytes/8) + "\n")
	for range 100 {
		_, err := w.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, w.queued.Load() <= queueBytes)
	assert.Equal(t, w.Dropped(), uint64(100-7))
	done := make(chan struct{})
	close(done)
	w.Run(done)
	assert.Equal(t, w.queued.Load(), int64(0))
	assert.Assert(t, strings.Contains(out.String(), `"lines":93`))
}

// TestLongValueIsTruncated guards against lines whose length callers choose.
func TestLongValueIsTruncated(t *testing.T) {
	var out bytes.Buffer
	log, err := Config{
		Output: &out,
		Format: "json",
	}.Logger()
	assert.NilError(t, err)
	long := strings.Repeat("é", 1<<19)
	log.WithValues("account", long).Error(errors.New(long), "refused", "id", long)
	assert.Assert(t, out.Len() < 4*maxValue, out.Len())
	assert.Equal(t, strings.Count(out.String(), "é... (1024 of 1048576 bytes)"), 3)
}

// scripted returns one error after the other.
type scripted struct {
	bytes.Buffer
	errs []error
}

func (s *scripted) Write(p []byte) (int, error) {
	if len(s.errs) == 0 {
		return s.Buffer.Write(p)
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	n := min(3, len(p))
	s.Buffer.Write(p[:n])
	return n, err
}

// TestFailedWritesAreCounted guards against lines that are lost without a trace, and against
// parts of lines when a pipe is full for a moment.
func TestFailedWritesAreCounted(t *testing.T) {
	out := &scripted{errs: []error{syscall.EAGAIN, syscall.EAGAIN}}
	w := NewAsyncWriter(out)
	w.Format = "text"
	assert.Equal(t, w.writeLine([]byte("first line\n"), 0), uint64(0))
	assert.Equal(t, out.String(), "first line\n")
	out.errs = []error{syscall.EPIPE}
	assert.Equal(t, w.writeLine([]byte("lost\n"), 0), uint64(0))
	assert.Equal(t, w.Dropped(), uint64(1))
	assert.Equal(t, w.writeLine([]byte("next\n"), 0), uint64(1))
	assert.Assert(t, strings.Contains(out.String(), `INFO log lines dropped {"lines": 1}`))
}
