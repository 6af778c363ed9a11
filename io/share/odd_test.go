package share

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/decode"
	"coltsfootloft/io/share/sharepb"
)

// TestOddNumbersOfOtherHosts guards against numbers that are not finite in loans: tokens of that amount
// can't be written to the store with a seat, which ended the host.
func TestOddNumbersOfOtherHosts(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300} {
		g := decodeGrant(&sharepb.Grant{
			Rate:               odd,
			Burst:              odd,
			Tokens:             odd,
			Left:               odd,
			PeriodMilliseconds: math.MaxInt64,
		})
		a := decodeAsk(&sharepb.Ask{
			KeptRate:  odd,
			KeptBurst: odd,
			WantRate:  odd,
			WantBurst: odd,
			Tokens:    odd,
			Room:      odd,
			Returned:  odd,
		})
		all := []float64{
			g.Part.Rate(), g.Part.Burst(), g.Tokens, g.Spare, a.Kept.Rate(), a.Kept.Burst(), a.Want.Rate(), a.Want.Burst(),
			a.Tokens, a.Room, a.Returned,
		}
		_, err := json.Marshal(all)
		assert.NilError(t, err)
		assert.DeepEqual(t, all, make([]float64, len(all)))
		assert.Assert(t, g.Period > 0 && g.Period <= time.Hour)
	}
}

// TestRequestsWithoutNumberAreRefused guards against a request whose empty elements take a hundred
// times the bytes that they have on the wire.
func TestRequestsWithoutNumberAreRefused(t *testing.T) {
	b, err := proto.Marshal(&sharepb.Request{Loan: &sharepb.LoanRequest{Accounts: emptyAsks(1 << 16)}})
	assert.NilError(t, err)
	_, err = (&Limiter{}).handle(t.Context(), "other", b)
	assert.ErrorIs(t, err, decode.ErrTooMany)
}

func emptyAsks(n int) []*sharepb.Ask {
	all := make([]*sharepb.Ask, n)
	for i := range all {
		all[i] = &sharepb.Ask{}
	}
	return all
}
