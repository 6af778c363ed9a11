package quota

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/quota/quotapb"
)

// TestAgeOfTheKeepersStoreGrows guards against hosts that close their idle sessions in an outage of the store, or
// when the store is late for the only host, since they take the keeper's last answer, from before, for a sign
// that the keeper still reaches the store.
func TestAgeOfTheKeepersStoreGrows(t *testing.T) {
	l, clock := newKeeper(t)
	const age, onTheWay, since = 500 * time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond
	l.StoreAge = func() time.Duration { return age }
	body, err := proto.Marshal(&quotapb.Report{})
	assert.NilError(t, err)
	sent := clock.now
	answer, err := l.handle(t.Context(), "b", body)
	assert.NilError(t, err)
	var g quotapb.Grants
	assert.NilError(t, proto.Unmarshal(answer, &g))
	clock.now += onTheWay
	l.applyGrants(sent, &g)
	clock.now += since
	silent, storeAge := l.KeeperSilence()
	assert.Equal(t, silent, since)
	exact := age + onTheWay + since
	assert.Assert(t, storeAge >= exact && storeAge <= exact+time.Millisecond, "%s", storeAge)
}
