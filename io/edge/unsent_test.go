package edge

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStatementThatCannotBeSentIsRefused guards against a statement that no database can be sent, since the
// host's name of a prepared statement makes the line too long, and that was answered as if it may have run.
func TestStatementThatCannotBeSentIsRefused(t *testing.T) {
	f := startFleet(t, 3, nil)
	reader, _ := connect(t, f.hosts[0], "file", "key-arima")
	before := reader.must("READ hall").rows
	for i, h := range f.hosts {
		c, code := connect(t, h, "file", "key-arima")
		assert.Equal(t, code, "")
		const begin, end = "QUERY 1 PREPARE a WRITE ", "\r\n"
		_, err := fmt.Fprint(c.conn, begin+strings.Repeat("x", 1<<20-len(begin+end))+end)
		assert.NilError(t, err)
		assert.Equal(t, c.read().code, "")
		a := c.do("EXEC a hall x")
		assert.Check(t, a.code == "TOOBIG" && a.state == "I", "host %d: %+v", i+1, a)
		c.must("DEALLOC a")
		c.must("BEGIN")
		c.must("WRITE hall y")
		_, err = fmt.Fprint(c.conn, begin+strings.Repeat("x", 1<<20-len(begin+end))+end)
		assert.NilError(t, err)
		assert.Equal(t, c.read().code, "")
		a = c.do("EXEC a hall x")
		assert.Check(t, a.code == "ABORTED" && a.state == "E", "host %d, in a transaction: %+v", i+1, a)
		a = c.do("COMMIT")
		assert.Check(t, a.code == "ABORTED" && a.state == "I", "host %d, at the end of the transaction: %+v", i+1, a)
	}
	assert.DeepEqual(t, reader.must("READ hall").rows, before)
}
