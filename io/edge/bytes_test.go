package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBytesThatAreNotUTF8EndNoHost guards against a host that ends because a caller's statement is
// not UTF-8: one that handed it to the owner of the connections could not encode it, and panicked.
func TestBytesThatAreNotUTF8EndNoHost(t *testing.T) {
	f := startFleet(t, 3, nil)
	const odd = "caf\xe9\xff"
	for _, h := range f.hosts {
		c, _ := connect(t, h, "file", "key-arima")
		c.must("SET " + odd + " " + odd)
		c.must("PREPARE " + odd + " WRITE " + odd)
		c.must("PREPARE r" + odd + " READ " + odd)
		c.must("WRITE " + odd + " " + odd)
		assert.DeepEqual(t, c.must("READ "+odd).rows, []string{odd})
		c.must("EXEC " + odd + " hall " + odd)
		assert.DeepEqual(t, c.must("EXEC r"+odd+" hall").rows, []string{odd})
		c.name += odd
		assert.DeepEqual(t, c.must("READ hall").rows, []string{odd})
		_, code := connect(t, h, odd, "key-"+odd)
		assert.Equal(t, code, "NODB")
		_, code = connect(t, h, "file", "key-"+odd)
		assert.Equal(t, code, "NOAUTH")
	}
	for _, r := range f.group.Runs() {
		assert.Equal(t, r.Values[odd], odd, r.Text)
	}
}
