package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRingNeverBlocks writes far more than fits while nobody takes lines out, and
// then compares what was written and dropped.
func TestRingNeverBlocks(t *testing.T) {
	var out bytes.Buffer
	r := NewRing(&out)
	began := time.Now()
	const lines = 3 * ringLines
	for i := range lines {
		_, err := fmt.Fprintf(r, "%d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	assert.Equal(t, r.Dropped(), uint64(lines-ringLines))
	done := make(chan struct{})
	close(done)
	r.Run(done)
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(got), ringLines+1, "the lines that fitted, and the count of the others")
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"lines":%d`, lines-ringLines)))
}
