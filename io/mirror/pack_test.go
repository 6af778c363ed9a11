package mirror

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror/mirrorpb"
)

// largeSettings returns an answer with the settings of a fleet with 140 accounts and 86
// routes.
func largeSettings(revision uint64) *mirrorpb.Changes {
	type tenant struct {
		Name             string
		ApiKeys          []string //nolint:revive // the platform's name
		RatePerS, Burst  float64
		Host, RouteType  string
		TimeoutMs, AgeMs int
	}
	random := rand.New(rand.NewPCG(1, 2))
	var all []tenant
	for i := range 226 {
		all = append(all, tenant{
			Name:      fmt.Sprintf("tenant%d", i),
			ApiKeys:   []string{fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())},
			RatePerS:  float64(i),
			Burst:     float64(i),
			Host:      fmt.Sprintf("host%d", i),
			RouteType: "bounded_staleness",
			TimeoutMs: 2000,
			AgeMs:     1500,
		})
	}
	value, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return &mirrorpb.Changes{
		Revision: revision,
		Watching: true,
		Items: []*mirrorpb.Item{{
			Key:      "op/config",
			Value:    value,
			Revision: revision,
		}},
	}
}

// TestSettingsArePackedOnceForAllFollowers guards against a host with a slow link that
// hands a change of the settings of a large fleet to the 38 hosts that follow it: the
// answers filled its link for seconds, so that its own calls and those of its callers got
// no answer. The answer must be less than a third as long, and be compressed once.
func TestSettingsArePackedOnceForAllFollowers(t *testing.T) {
	c := largeSettings(7)
	plain, err := proto.Marshal(c)
	assert.NilError(t, err)
	var p packedAnswers
	b, err := p.encode(c, 6)
	assert.NilError(t, err)
	t.Logf("%d bytes, packed %d", len(plain), len(b))
	assert.Assert(t, len(b) < len(plain)/3)
	got, err := decodeChanges(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, c, protocmp.Transform())
	again, err := p.encode(c, 6)
	assert.NilError(t, err)
	assert.Assert(t, &again[0] == &b[0], "compressed again for the next host")
	b, err = p.encode(largeSettings(8), 6)
	assert.NilError(t, err)
	got, err = decodeChanges(b)
	assert.NilError(t, err)
	assert.Equal(t, got.GetRevision(), uint64(8), "an older answer was sent for a newer revision")
}

// TestSmallAnswersAreNotPacked also covers malformed answers, which must be refused.
func TestSmallAnswersAreNotPacked(t *testing.T) {
	var p packedAnswers
	b, err := p.encode(&mirrorpb.Changes{
		Revision: 3,
		Watching: true,
	}, 2)
	assert.NilError(t, err)
	c, err := decodeChanges(b)
	assert.NilError(t, err)
	assert.Equal(t, c.GetRevision(), uint64(3))
	bad, err := proto.Marshal(&mirrorpb.Changes{Packed: []byte("no deflate stream")})
	assert.NilError(t, err)
	_, err = decodeChanges(bad)
	assert.Assert(t, err != nil)
	_, err = decodeChanges([]byte{0xff, 0xff})
	assert.Assert(t, err != nil)
}
