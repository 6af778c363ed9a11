package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFingerprintHidesTheKey guards against a log that reveals a key, or that does not tell two
// refused keys apart.
func TestFingerprintHidesTheKey(t *testing.T) {
	const key = "k7mq2vd9xw3h"
	f := fingerprint(key)
	assert.Equal(t, f, fingerprint(key))
	assert.Equal(t, len(f), fingerprintLength)
	assert.Assert(t, f != fingerprint(key+"x"))
	assert.Assert(t, !strings.Contains(key, f))
}
