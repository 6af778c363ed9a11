package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

func at(term, offset uint64) coltsfootloft.Position {
	return coltsfootloft.NewPosition(coltsfootloft.NewTerm(term, "p"), offset)
}

func drawCandidates(t *rapid.T) []Candidate {
	n := rapid.IntRange(1, 5).Draw(t, "databases")
	primary := rapid.IntRange(-1, n-1).Draw(t, "primary")
	all := make([]Candidate, n)
	for i := range all {
		p := at(rapid.Uint64Range(1, 3).Draw(t, "term"), rapid.Uint64Range(0, 5).Draw(t, "offset"))
		role := coltsfootloft.Replica
		if i == primary {
			role = coltsfootloft.Primary
		}
		all[i] = Candidate{
			Upstream:  coltsfootloft.NewUpstream(fmt.Sprint("db", i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), ""),
			Reading:   coltsfootloft.NewReading(role, p.Term(), p, p),
			IsPrimary: i == primary,
			Leaving:   rapid.Bool().Draw(t, "leaving"),
			Age:       time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second,
			AgeKnown:  rapid.Bool().Draw(t, "aged"),
			Load:      rapid.IntRange(0, 2).Draw(t, "load"),
		}
	}
	return all
}

// TestPickAgainstNaiveModel checks every choice against the list of databases that may
// serve the request, computed one condition at a time.
func TestPickAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawCandidates(t)
		n := Requirements{
			Write:    rapid.Bool().Draw(t, "write"),
			Position: at(rapid.Uint64Range(0, 3).Draw(t, "term"), rapid.Uint64Range(0, 5).Draw(t, "offset")),
			MaxAge:   time.Duration(rapid.IntRange(0, 3).Draw(t, "max age")) * time.Second,
			Domain:   "x",
		}
		c := Pick(n, all)
		eligible, local := map[string]bool{}, map[string]bool{}
		for _, d := range all {
			ok := !d.IsPrimary && !d.Leaving && d.Reading.Applied().Compare(n.Position) >= 0
			if n.MaxAge > 0 {
				ok = ok && d.AgeKnown && d.Age <= n.MaxAge
			}
			if ok && !n.Write {
				eligible[d.Upstream.Name()] = true
				local[d.Upstream.Name()] = d.Upstream.Domain() == n.Domain
			}
		}
		if len(eligible) == 0 {
			assert.Assert(t, c.Verdict() != ToReplica)
			return
		}
		assert.Equal(t, c.Verdict(), ToReplica)
		assert.Assert(t, eligible[c.Database()])
		for _, isLocal := range local {
			if isLocal {
				assert.Assert(t, c.IsLocal())
			}
		}
	})
}

func TestOldPrimaryDoesNotServeNewerToken(t *testing.T) {
	old := Candidate{
		Upstream:  coltsfootloft.NewUpstream("db0", "x", ""),
		Reading:   coltsfootloft.NewReading(coltsfootloft.Primary, at(1, 0).Term(), at(1, 90), at(1, 90)),
		IsPrimary: true,
	}
	c := Pick(Requirements{Position: at(2, 10)}, []Candidate{old})
	assert.Equal(t, c.Verdict(), NoPrimary)
}
