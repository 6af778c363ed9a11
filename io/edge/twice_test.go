package edge

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/linedb"
)

// TestSecondAnswersInAnyOrderGoToNobodyElse guards against a statement that gets the answer to another one: the
// database answers all that came before on the connection a second time, in any order, ahead of its answer. What
// sets up the session is answered like a mark, so that many second answers may look like those to marks.
func TestSecondAnswersInAnyOrderGoToNobodyElse(t *testing.T) {
	f := startFleet(t, 1, nil)
	succeeded := 0
	for i := range uint64(160) {
		f.group.SetFaults("db-1", linedb.Faults{
			Seed:  i,
			Twice: 1,
			Held:  1,
			Only:  [][]string{nil, {"SET", "PREPARE", "WRITE"}}[i%2],
		})
		c, code := connect(t, f.hosts[0], "file", "key-arima")
		assert.Equal(t, code, "")
		for n := range 1 + i%8 {
			c.do(fmt.Sprintf("SET name%d %d", n, i))
		}
		for n := range 4 {
			a := c.do(fmt.Sprintf("WRITE hall %d-%d", i, n))
			if a.code == "" && !a.lost {
				succeeded++
				assert.Assert(t, strings.HasSuffix(a.digest, fmt.Sprintf(".%s-%d", c.name, c.n)), "round %d: statement %d got the digest %q", i, c.n, a.digest)
			}
			if a.lost {
				break
			}
		}
		c.conn.Close()
		f.group.SetFaults("db-1", linedb.Faults{})
	}
	assert.Assert(t, succeeded > 0)
}
