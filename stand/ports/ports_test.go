package ports

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoPortIsChosenTwice guards against two programs of one test run that are given the
// same port, which happens within some thousand choices if the system chooses a port
// and it is released until its program starts.
func TestNoPortIsChosenTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 3000 {
		list, err := Choose("127.0.90.1", 3)
		assert.NilError(t, err)
		assert.Equal(t, len(list), 3)
		for _, a := range list {
			assert.Assert(t, !seen[a], a)
			seen[a] = true
		}
	}
}

func TestTakenPortIsNotChosen(t *testing.T) {
	given.Store(0)
	list, err := Choose("127.0.90.2", 1)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", list[0])
	assert.NilError(t, err)
	defer l.Close()
	given.Store(0)
	again, err := Choose("127.0.90.2", 1)
	assert.NilError(t, err)
	assert.Assert(t, again[0] != list[0])
}
