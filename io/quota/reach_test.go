package quota

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/quota/quotapb"
)

// TestReportsTellWhetherTheStoreAnswers guards against a keeper that knows only its own view of the store, and against
// one that takes no notice of hosts of the previous version, whose reports do not tell.
func TestReportsTellWhetherTheStoreAnswers(t *testing.T) {
	limiters, _, clock := newDomains(t)
	keeper := limiters["h00"]
	keeper.StoreAge = func() time.Duration { return 2 * time.Second }
	observe := func(from string, age *int64) *quotapb.Grants {
		return keeper.observeReporter(from, &quotapb.Report{StoreAgeMs: age})
	}
	assert.Equal(t, observe("nobody", proto.Int64(0)).GetStoreAgeMs(), int64(2000), "a host that is not registered")
	assert.Equal(t, observe("h00", proto.Int64(0)).GetStoreAgeMs(), int64(2000), "the keeper itself")
	g := observe("h01", proto.Int64(700))
	assert.Equal(t, g.GetStoreAgeMs(), 700+transitAllowance.Milliseconds())
	assert.Equal(t, g.GetHeard(), uint32(2))
	assert.Equal(t, keeper.StoreNews().Reached, clock.now-700*time.Millisecond-transitAllowance)
	assert.Equal(t, observe("h02", proto.Int64(1500)).GetStoreAgeMs(), 700+transitAllowance.Milliseconds())
	assert.Equal(t, observe("h03", nil).GetStoreAgeMs(), int64(0), "previous version")
	clock.now += reportLifetime + time.Millisecond
	assert.Equal(t, observe("h00", nil).GetHeard(), uint32(1))

	host := limiters["h04"]
	sent := clock.now
	clock.now += 100 * time.Millisecond
	host.observeNews(sent, &quotapb.Grants{
		StoreAgeMs: 300,
		Heard:      5,
	})
	n := host.StoreNews()
	assert.Equal(t, n.Reached, sent-301*time.Millisecond)
	assert.Equal(t, n.Reporters, 5)
	assert.Equal(t, n.Silence, time.Duration(0))
}
