package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer"
)

// keepTransactions makes a fleet in which only the end of a host ends a transaction: not a statement that is
// answered late, or a key that was not confirmed in time.
func keepTransactions(f *fleet) {
	const patienceMS = 4000
	f.withdrawalLimit = 20 * time.Second
	f.config.Limits["TxIdleMs"] = 20_000
	for i := range f.config.Routes {
		f.config.Routes[i].TimeoutMs = patienceMS
		f.config.Routes[i].TargetLatencyMs = patienceMS
	}
}

// TestHandlesEndWithTheRunThatGaveThemOut guards against a host that is started again and takes a
// statement of a transaction of its earlier run for one of a transaction that another client began since.
func TestHandlesEndWithTheRunThatGaveThemOut(t *testing.T) {
	f := startFleet(t, 3, keepTransactions)
	near := f.hosts[1]
	owns := func() bool { return near.edge.relay.Owners.Of("db-1", "arima")[0] == "host-1" }
	f.await("host-1 as the owner of the connections", 5*time.Second, owns)
	begin := func(name string) []*client {
		var clients []*client
		for i := range 3 {
			c, _ := connect(t, near, "file", "key-arima")
			c.must("BEGIN")
			c.must(fmt.Sprintf("WRITE %s-%d early", name, i))
			clients = append(clients, c)
		}
		return clients
	}
	first := begin("first")
	f.restart(0)
	f.await("host-1 as the owner again", 5*time.Second, owns)
	second := begin("second")
	for _, c := range first {
		assert.Equal(t, c.do("WRITE late x").code, "ABORTED")
		assert.Equal(t, c.do("COMMIT").code, "ABORTED")
	}
	for _, c := range second {
		c.must("COMMIT")
	}
	var committed []string
	for _, r := range f.group.Runs() {
		if r.Committed && r.Text != "COMMIT" {
			committed = append(committed, strings.Fields(r.Text)[1])
		}
	}
	slices.Sort(committed)
	assert.DeepEqual(t, committed, []string{"second-0", "second-1", "second-2"})
}

// TestCommitOfAnEndedTransactionIsAborted guards against a commit whose outcome is told as unknown, although
// the owner of the transaction's connection was started again or is gone and nothing was sent.
func TestCommitOfAnEndedTransactionIsAborted(t *testing.T) {
	f := startFleet(t, 3, keepTransactions)
	near := f.hosts[1]
	owns := func() bool { return near.edge.relay.Owners.Of("db-1", "arima")[0] == "host-1" }
	f.await("host-1 as the owner of the connections", 5*time.Second, owns)
	var clients []*client
	for i := range 2 {
		c, _ := connect(t, near, "file", "key-arima")
		c.must("BEGIN")
		c.must(fmt.Sprintf("WRITE page-%d x", i))
		clients = append(clients, c)
	}
	f.hosts[0].stop()
	assert.NilError(t, <-f.hosts[0].ended)
	f.hosts[0].ended <- nil
	// A call on a link whose end has not been noticed may be on its way to the owner.
	f.await("the end of the link to host-1", time.Second, func() bool {
		_, err := near.edge.peers.Call(t.Context(), "host-1", "no-duty", nil)
		return errors.Is(err, peer.ErrUnreachable)
	})
	assert.Equal(t, clients[0].do("COMMIT").code, "ABORTED", "host gone")
	f.hosts[0] = f.startHost(f.hosts[0].settings)
	f.await("host-1 as the owner again", 5*time.Second, owns)
	assert.Equal(t, clients[1].do("COMMIT").code, "ABORTED", "host started again")
	for _, r := range f.group.Runs() {
		assert.Assert(t, !r.Committed, "%+v", r)
	}
}
