package hold

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/memory"
)

// TestHoldGivesBackWhatItTook guards against bytes of a session that stay counted after its end.
func TestHoldGivesBackWhatItTook(t *testing.T) {
	b := memory.New(1000)
	h := Hold{
		Memory: b,
		Free:   100,
	}
	assert.Assert(t, h.Fit(100))
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, h.Fit(300))
	assert.Equal(t, b.Used(), int64(200))
	assert.Assert(t, h.Grow(100))
	assert.Assert(t, h.Swap(100, 50))
	assert.Equal(t, b.Used(), int64(250))
	assert.Assert(t, !h.Swap(50, 5000))
	assert.Equal(t, b.Used(), int64(200))
	assert.Assert(t, !h.Fit(5000))
	assert.Equal(t, b.Used(), int64(200))
	h.Release()
	assert.Equal(t, b.Used(), int64(0))
}
