package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAsyncWriterNeverBlocks guards against a log output that blocks the process. It
// writes more lines than the queue holds while nothing reads them, and then compares
// the numbers of lines written and dropped.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	start := time.Now()
	const lines = 3 * queueLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "%d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Equal(t, w.Dropped(), uint64(lines-queueLines))
	done := make(chan struct{})
	close(done)
	w.Run(done)
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(got), queueLines+1, "want the queued lines and one line with the count of dropped lines")
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"lines":%d`, lines-queueLines)))
}
