package expiry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestLaterTokensExtendNoOthers guards against tokens that stay usable because others were added
// after them.
func TestLaterTokensExtendNoOthers(t *testing.T) {
	var tokens Tokens
	tokens.Add(2, 500*ms)
	tokens.Add(3, 900*ms)
	tokens.Add(1, 200*ms)
	assert.Equal(t, tokens.Count(100*ms), 6.0)
	assert.Equal(t, tokens.Count(200*ms), 5.0)
	until, ok := tokens.Take(300 * ms)
	assert.Assert(t, ok)
	assert.Equal(t, until, 500*ms, "the first to expire is used first")
	assert.Equal(t, tokens.Count(500*ms), 3.0)
	assert.Equal(t, tokens.Count(900*ms), 0.0)
	_, ok = tokens.Take(900 * ms)
	assert.Assert(t, !ok)
}

// TestOnlyTokensThatAreThereAreRemoved guards against a token that is removed twice, or after it has
// expired, and counts for another one.
func TestOnlyTokensThatAreThereAreRemoved(t *testing.T) {
	var tokens Tokens
	first := tokens.Add(1, 505*ms)
	second := tokens.Add(1, 600*ms)
	assert.Equal(t, first, 500*ms)
	assert.Assert(t, tokens.Remove(first))
	assert.Assert(t, !tokens.Remove(first))
	assert.Equal(t, tokens.Expire(599*ms), 0.0)
	assert.Equal(t, tokens.Expire(600*ms), 1.0)
	assert.Assert(t, !tokens.Remove(second))
}

// TestPartsOfTokensAreNotRoundedUp guards against a fraction of a token that counts as one.
func TestPartsOfTokensAreNotRoundedUp(t *testing.T) {
	var tokens Tokens
	tokens.Add(0.75, 100*ms)
	_, ok := tokens.Take(0)
	assert.Assert(t, !ok)
	tokens.Add(0.5, 200*ms)
	until, ok := tokens.Take(0)
	assert.Assert(t, ok)
	assert.Equal(t, until, 100*ms)
	assert.Equal(t, tokens.Count(0), 0.25)
}

// TestTokensReturnedAndTakenExpireOnTime guards against tokens that are returned again and again
// and so outlive their time, whatever the order of additions, uses and returns.
func TestTokensReturnedAndTakenExpireOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tokens Tokens
		now := time.Duration(0)
		var held []time.Duration
		live := make(map[time.Duration]int) // by expiry time, an upper bound of what can be used
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				n := rapid.IntRange(1, 5).Draw(t, "added")
				until := now + time.Duration(rapid.IntRange(1, 500).Draw(t, "lifetime"))*ms
				tokens.Add(float64(n), until)
				live[until] += n
			case 1:
				if until, ok := tokens.Take(now); ok {
					assert.Assert(t, until > now)
					held = append(held, until)
				}
			case 2:
				if len(held) > 0 {
					tokens.Add(1, held[0])
					held = held[1:]
				}
			}
			most := 0
			for until, n := range live {
				if until > now {
					most += n
				}
			}
			unexpired := 0
			for _, until := range held {
				if until > now {
					unexpired++
				}
			}
			assert.Assert(t, tokens.Count(now)+float64(unexpired) <= float64(most))
			tokens.Expire(now)
			assert.Assert(t, len(tokens.batches) <= 51, "%d batches", len(tokens.batches))
		}
	})
}
