package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/change"
)

func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(20261204, n)) }

// attempt is one change of an operator and what it was told.
type attempt struct {
	change string
	path   string
	burst  int
	err    error
}

// raceOperators lets operators count up the bursts of two accounts, each from
// what it has read, and returns what they were told.
func raceOperators(m *memory, operators, tries int, faults fake) []attempt {
	var mu sync.Mutex
	var all []attempt
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			f := faults
			f.memory = m
			f.rand = seeded(uint64(o))
			e := editor(&f, fmt.Sprintf("operator %d", o))
			for range tries {
				a := countUp(e, f.rand)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(time.Minute)
	return all
}

// countUp reads one account and writes it back with one more.
func countUp(e *change.Editor, r *rand.Rand) attempt {
	ctx := context.Background()
	a := attempt{path: "teams/t/accounts/" + []string{"one", "two"}[r.IntN(2)]}
	s, err := e.Read(ctx)
	if err != nil {
		a.err = err
		return a
	}
	a.burst = burst(s.Values()[a.path]) + 1
	edit := put(a.path, account(a.burst))
	edit.Base = s.Revision()
	receipt, err := e.Apply(ctx, edit)
	a.change = receipt.Record().Change
	a.err = err
	var u *change.UnknownError
	if errors.As(err, &u) {
		a.change = u.Change()
	}
	return a
}

func burst(value []byte) int {
	var v struct {
		Burst int `json:"burst"`
	}
	if err := json.Unmarshal(value, &v); err != nil {
		return -1
	}
	return v.Burst
}

// The records give the changes one order. Made one after another in that order
// on a plain map, each from what the one before left, they must lead to the
// state of the store; and operators must have been told the truth.
func checkSerial(t *testing.T, m *memory, all []attempt) {
	t.Helper()
	history, err := editor(&fake{memory: m}, "").History(context.Background(), 100_000)
	assert.NilError(t, err)
	place := make(map[string]uint64)
	for _, r := range history {
		place[r.Change] = r.Number
	}
	assert.Equal(t, len(place), len(history))
	serial := map[string]int{"teams/t/accounts/one": 1, "teams/t/accounts/two": 1}
	made := make(map[uint64]attempt)
	done, refused, unknown := 0, 0, 0
	for _, a := range all {
		number, took := place[a.change]
		var u *change.UnknownError
		switch {
		case a.err == nil:
			done++
			assert.Assert(t, took, "told done, but change %s is not in the history", a.change)
		case errors.As(a.err, &u):
			unknown++
		default:
			refused++
			assert.Assert(t, !took, "told %v, but change %s is in the history", a.err, a.change)
		}
		if took {
			made[number] = a
		}
	}
	assert.Equal(t, len(made), len(history), "changes in the history that nobody made, or made twice")
	for n := uint64(1); n <= uint64(len(history)); n++ {
		a := made[n]
		serial[a.path]++
		assert.Equal(t, a.burst, serial[a.path], "change %d overwrote one that it had not seen", n)
	}
	for path, want := range serial {
		assert.Equal(t, burst(m.at(0)[conf.StorePrefix+path].Value()), want, path)
	}
	t.Logf("done %d, refused %d, unknown %d", done, refused, unknown)
	assert.Assert(t, done > 0)
}

func TestRacingOperatorsGetOneOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fake
	}{
		{name: "no faults"},
		{
			name:   "lost answers",
			faults: fake{lose: 0.4},
		},
		{
			name:   "old reads",
			faults: fake{old: 0.3},
		},
		{
			name: "lost answers, old reads and a store that fails",
			faults: fake{
				lose: 0.3,
				old:  0.3,
				down: 0.1,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory(start())
				all := raceOperators(m, 6, 40, c.faults)
				checkSerial(t, m, all)
			})
		})
	}
}

// The answer is lost and another operator's change comes before it is looked
// for: the outcome is still told rightly, both where the change had taken effect
// and where the other one ruled it out.
func TestLostAnswerIsResolvedBehindAnotherChange(t *testing.T) {
	for _, took := range []bool{true, false} {
		t.Run(fmt.Sprintf("took effect %v", took), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory(start())
				other := editor(&fake{memory: m}, "bob")
				f := &losing{
					fake: fake{memory: m},
					took: took,
				}
				f.then = func() {
					_, err := other.Apply(context.Background(), put("teams/t/accounts/two", account(7)))
					assert.NilError(t, err)
				}
				e := &change.Editor{
					Store:  f,
					Author: "ann",
				}
				r, err := e.Apply(context.Background(), put(one, account(5)))
				assert.NilError(t, err)
				assert.Equal(t, f.sent, 2+btoi(!took))
				history, err := other.History(context.Background(), 9)
				assert.NilError(t, err)
				assert.Equal(t, len(history), 2)
				assert.Equal(t, history[btoi(took)].Change, r.Record().Change)
			})
		})
	}
}

// losing loses the first answer and then lets another change in.
type losing struct {
	fake
	took bool
	then func()
	sent int
}

func (l *losing) Apply(ctx context.Context, changes []coltsfootloft.Change) (uint64, error) {
	l.sent++
	if l.sent > 1 {
		return l.fake.Apply(ctx, changes)
	}
	if l.took {
		if _, err := l.memory.apply(changes); err != nil {
			return 0, err
		}
	}
	l.then()
	return 0, coltsfootloft.ErrOutcomeUnknown
}

func TestSilentStoreLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{
			memory: newMemory(start()),
			rand:   seeded(3),
		}
		e := editor(f, "ann")
		f.lose = 1
		begun := time.Now()
		_, err := e.Apply(context.Background(), put(one, account(5)))
		var u *change.UnknownError
		assert.Assert(t, errors.As(err, &u), "%v", err)
		assert.Assert(t, u.Change() != "")
		took := time.Since(begun)
		assert.Assert(t, took >= change.DefaultPatience && took < change.DefaultPatience+2*time.Second, "%v", took)
		time.Sleep(time.Minute)
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
