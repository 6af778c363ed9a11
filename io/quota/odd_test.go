package quota

import (
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/grant"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

func newKeeper(t *testing.T) (*Limiter, *fixedClock) {
	t.Helper()
	clock := &fixedClock{now: time.Hour}
	return newLimiter(t, "", clock), clock
}

func newLimiter(t *testing.T, self string, clock *fixedClock) *Limiter {
	t.Helper()
	m := &mirror.Mirror{
		Store: storeInEra{era: 1},
		Peers: &recordedCalls{},
		Clock: clock,
		Log:   logr.Discard(),
	}
	m.Register()
	assert.NilError(t, m.Refresh(t.Context()))
	l := &Limiter{
		Mirror: m,
		Clock:  clock,
		Log:    logr.Discard(),
		Duty: &duty.Duty{
			Name:   "quota-0",
			Self:   self,
			Mirror: m,
		},
		StoreAge: func() time.Duration { return 0 },
	}
	l.lazyInit()
	return l
}

// TestOddNumbersSpoilNoBucket guards against a keeper, or a host, whose buckets hold numbers that are
// not finite for good, or rates that another host says it may use for years.
func TestOddNumbersSpoilNoBucket(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300} {
		l, clock := newKeeper(t)
		ask := func(host string, x *quotapb.Line) []*quotapb.Grant {
			x.Account = "arima"
			return l.grants(host, &quotapb.Report{Lines: []*quotapb.Line{x}})
		}
		ask("a", &quotapb.Line{
			Demand:    odd,
			Held:      odd,
			HeldBurst: odd,
			HeldMs:    math.MaxInt64,
			Want:      odd,
			Unused:    odd,
		})
		clock.now += grant.Validity + time.Second
		ask("b", &quotapb.Line{Demand: 10})
		clock.now += time.Second
		g := ask("b", &quotapb.Line{
			Demand: 10,
			Want:   1,
		})
		assert.Equal(t, len(g), 1)
		assert.Equal(t, g[0].GetLent(), 1.0, "after %v", odd)
		assert.Assert(t, g[0].GetRate() > 0 && g[0].GetBurst() > 0, "after %v: %v", odd, g[0])

		account := l.account("arima")
		l.applyGrants(clock.now, &quotapb.Grants{Grants: []*quotapb.Grant{{
			Account: "arima",
			Rate:    odd,
			Burst:   odd,
			Lent:    odd,
		}}})
		l.applyGrants(clock.now, &quotapb.Grants{Grants: []*quotapb.Grant{{
			Account: "arima",
			Rate:    10,
			Burst:   10,
		}}})
		clock.now += time.Second
		_, ok := account.take(clock.now)
		assert.Assert(t, ok, "after %v", odd)
		assert.Equal(t, account.lent.Count(clock.now), 0.0, "operations lent after %v", odd)
	}
}

// TestErasThatDoNotExistAreIgnored guards against an era, or a number of a change, that no revision can
// hold: the host took it for another era, in which all rights have ended.
func TestErasThatDoNotExistAreIgnored(t *testing.T) {
	for _, r := range []*quotapb.Report{
		{StoreEra: 1<<20 + 5},
		{
			SettingsEra:      1<<20 + 5,
			SettingsVersion:  13,
			SettingsRevision: 1,
		},
	} {
		l, _ := newKeeper(t)
		b, err := proto.Marshal(r)
		assert.NilError(t, err)
		_, err = l.handle(t.Context(), "other", b)
		assert.NilError(t, err)
		l.applyGrants(0, &quotapb.Grants{
			StoreEra:      1,
			StoreRevision: 1<<44 + 7<<44,
		})
		assert.Equal(t, l.Mirror.Era(), uint64(1))
		assert.Equal(t, l.Mirror.LatestVersion(), uint64(12))
	}
}

// FuzzHandle passes arbitrary bytes to the keeper as reports of other hosts.
func FuzzHandle(f *testing.F) {
	b, err := proto.Marshal(&quotapb.Report{
		Run:    1,
		Number: 1,
		Lines: []*quotapb.Line{{
			Account: "arima",
			Demand:  math.NaN(),
			HeldMs:  math.MinInt64,
			Want:    math.Inf(1),
		}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x0a, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		l, _ := newKeeper(t)
		_, _ = l.handle(t.Context(), "other", b)
		var r quotapb.Report
		if decode.Message(b, &r) == nil {
			l.grants("other", &r)
		}
		var g quotapb.Grants
		if proto.Unmarshal(b, &g) == nil {
			l.account("arima")
			l.applyGrants(0, &g)
		}
	})
}
