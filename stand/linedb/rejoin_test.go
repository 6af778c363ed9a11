package linedb_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/linedb"
)

// TestRejoinedDatabaseFollows guards against a stand-in whose crashed primary comes back as a second
// primary, or as a replica that lacks what was written meanwhile.
func TestRejoinedDatabaseFollows(t *testing.T) {
	g := &linedb.Group{Name: "notices"}
	var addresses []string
	for _, id := range []string{"db-1", "db-2"} {
		l, err := net.Listen("tcp", "127.0.61.8:0")
		assert.NilError(t, err)
		addresses = append(addresses, g.Add(t.Context(), id, l).Addr())
	}
	do := func(i int, text string) caller.Answer {
		t.Helper()
		s, code, err := caller.Open(addresses[i], "notices", "arima", 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, code, "")
		defer s.Close()
		return s.Do(text)
	}
	first := time.Now()
	assert.Assert(t, do(0, "WRITE hall 1").Succeeded())
	g.SetDown("db-1", true)
	assert.Equal(t, g.Promote("db-2", 1), 200)
	for end := time.Now().Add(5 * time.Second); g.Primary() != "db-2"; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "db-2 is the primary")
	}
	assert.Assert(t, do(1, "WRITE hall 2").Succeeded())
	g.Rejoin("db-1")
	assert.Equal(t, do(0, "WRITE hall 3").Code, "READONLY")
	assert.DeepEqual(t, do(0, "READ hall").Rows, []string{"2"})
	assert.DeepEqual(t, g.Log(), map[linedb.Write]int{{Item: "hall", Data: "1"}: 1, {Item: "hall", Data: "2"}: 1})
	assert.Assert(t, g.WasPrimary("db-1", first) && !g.WasPrimary("db-1", time.Now()))
}
