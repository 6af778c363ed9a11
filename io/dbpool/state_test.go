package dbpool

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/memory"
	"coltsfootloft/core/prep"
)

// TestStateOfConnectionsTakesMemory guards against values of sessions that have ended and that
// pooled connections keep without a bound.
func TestStateOfConnectionsTakesMemory(t *testing.T) {
	const size = 2 * freeState
	l, d := newTestPools()
	m := memory.New(3 * size)
	l.StateMemory = m
	use := func(bytes int) {
		c := acquire(t, l, 0)
		r := readRequest(time.Second)
		r.Expected = &prep.SessionState{}
		r.Expected.Set("v", strings.Repeat("x", bytes))
		d.answers <- coltsfootloft.Reply{Digest: "-"}
		d.answers <- readReply()
		_, err := c.Exchange(r)
		assert.NilError(t, err)
		l.Release(c, true)
	}
	use(100)
	assert.Equal(t, m.Used(), int64(0))
	use(size)
	assert.Assert(t, m.Used() > size)
	assert.Equal(t, d.open(), 1)
	use(100)
	assert.Equal(t, m.Used(), int64(0), "values were replaced")
	use(2 * size)
	assert.Equal(t, d.open(), 0, "there is no memory for the values")
	assert.Equal(t, m.Used(), int64(0))
	use(size)
	l.sweep(0)
	assert.Equal(t, m.Used(), int64(0), "the connection is closed")
}
