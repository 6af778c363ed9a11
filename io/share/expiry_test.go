package share

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestNoConnectionOnARightThatIsAboutToEnd guards against more connections than a database accepts: one
// that is opened on a right which ends before the connection can be closed stays open while the next
// holder of the right opens another.
func TestNoConnectionOnARightThatIsAboutToEnd(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := &database{
		limiter: &Limiter{Clock: clock},
		name:    "g1db1",
	}
	d.own(2, clock.Now().Add(RevokeAhead+time.Millisecond))
	first, err := d.connect(t.Context())
	assert.NilError(t, err)
	clock.Advance(time.Millisecond)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.connect(ended)
	assert.ErrorContains(t, err, "none came free")
	first()
	_, err = d.connect(ended)
	assert.ErrorContains(t, err, "none came free", "a right that was given back")
	d.own(2, clock.Now().Add(time.Second))
	_, err = d.connect(ended)
	assert.NilError(t, err, "a right whose lease was renewed")
}
