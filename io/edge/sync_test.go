package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCommitsOfSyncReplicasSurvive guards against the promotion of a replica that lacks
// acknowledged commits: of two replicas one receives nothing, the other one drains, and the
// primary crashes.
func TestCommitsOfSyncReplicasSurvive(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.config.Services[0].SyncReplicas = 1 })
	assert.Equal(t, f.group.Primary(), "db-1")
	f.group.PauseReplication("db-2", true)
	h := f.hosts[1]
	c, _ := connect(t, h, "file", "key-arima")
	for n := range 20 {
		c.must(fmt.Sprintf("WRITE page-%d %d", n, n))
	}
	f.announce(2, "draining")
	f.await("a replica that leaves", 2*time.Second, func() bool { return h.edge.mirror.View().Upstreams["db-3"].Leaving })
	f.group.SetDown("db-1", true)
	f.await("another primary", 8*time.Second, func() bool {
		o, ok := h.edge.groups.Primary("notices")
		return ok && o.Target.ID != "db-1"
	})
	readAll := func() {
		t.Helper()
		c, _ := connect(t, h, "file", "key-arima")
		for n := range 20 {
			assert.DeepEqual(t, c.must(fmt.Sprintf("READ page-%d", n)).rows, []string{fmt.Sprint(n)})
		}
	}
	readAll()
	f.announce(2, "draining")          // as the primary
	time.Sleep(400 * time.Millisecond) // it may be used for 1.5 s while it leaves
	assert.Equal(t, f.group.Primary(), "db-3", "no replica has its commits")
	readAll()
	f.group.PauseReplication("db-2", false)
	f.await("a primary that stays", 8*time.Second, func() bool {
		o, ok := h.edge.groups.Primary("notices")
		return ok && o.Target.ID == "db-2"
	})
	readAll()
}

// TestCommitsOfReplicasThatAreGoneSurvive guards against the promotion of a replica that lacks acknowledged commits,
// once the entry of the only one that has them is gone: all hosts have started since, and never knew of it.
func TestCommitsOfReplicasThatAreGoneSurvive(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.config.Services[0].SyncReplicas = 1 })
	f.await("the members recorded", 3*time.Second, func() bool { return len(f.hosts[0].edge.mirror.View().Groups["notices"].Members) == 3 })
	f.group.PauseReplication("db-3", true)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	for n := range 20 {
		c.must(fmt.Sprintf("WRITE page-%d %d", n, n))
	}
	for _, id := range []string{"db-1", "db-2"} {
		f.group.SetDown(id, true)
		f.store.Remove("servers/" + id)
	}
	for i := range f.hosts { // one after the other, so that the duty to change primaries moves
		f.hosts[i].stop()
		assert.NilError(t, <-f.hosts[i].ended)
		f.hosts[i] = f.startHost(f.hosts[i].settings)
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second) // an entry counts as gone after 2.5 s
	assert.Equal(t, len(f.group.Promotions()), 0, "db-3 has none of the commits")
	for i, id := range []string{"db-1", "db-2"} {
		f.group.Rejoin(id)
		f.announce(i, "ready")
	}
	f.await("a primary", 8*time.Second, func() bool {
		_, ok := f.hosts[0].edge.groups.Primary("notices")
		return ok
	})
	c, _ = connect(t, f.hosts[0], "file", "key-arima")
	for n := range 20 {
		assert.DeepEqual(t, c.must(fmt.Sprintf("READ page-%d", n)).rows, []string{fmt.Sprint(n)})
	}
}
