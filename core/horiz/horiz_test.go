package horiz

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHorizonNeverGoesBack(t *testing.T) {
	var h Horizon
	assert.Assert(t, !h.Covers(time.Hour, 2*time.Hour), "nothing is known")
	h.Advance(10 * time.Second)
	h.Advance(4 * time.Second)
	age, ok := h.Age(12 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, age, 2*time.Second)
	assert.Assert(t, h.Covers(12*time.Second, 3*time.Second))
	assert.Assert(t, !h.Covers(13*time.Second, 3*time.Second), "an age equal to the limit is too old")
}
