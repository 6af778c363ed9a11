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

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(20261204, n)) }

// attempt is one change by an operator, with the result that Apply returned.
type attempt struct {
	change string
	path   string
	burst  int
	err    error
}

// raceOperators has several operators concurrently increment the bursts of two
// accounts, each from the value that it has read, and returns all attempts.
func raceOperators(m *memory, operators, tries int, faults faultyStore) []attempt {
	var mu sync.Mutex
	var all []attempt
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			f := faults
			f.memory = m
			f.rand = newRand(uint64(o))
			e := editor(&f, fmt.Sprintf("operator %d", o))
			for range tries {
				a := increment(e, f.rand)
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

// increment reads the burst of a random account and writes it back increased by one.
func increment(e *change.Editor, r *rand.Rand) attempt {
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

// checkSerial checks that the changes are serializable. The records put them in one
// order. Applied in that order to a plain map, each must build on the result of the one
// before, and the final result must be the state of the store. Each operator must have
// been told correctly whether its change took effect.
func checkSerial(t *testing.T, m *memory, all []attempt) {
	t.Helper()
	history, err := editor(&faultyStore{memory: m}, "").History(context.Background(), 100_000)
	assert.NilError(t, err)
	numbers := make(map[string]uint64)
	for _, r := range history {
		numbers[r.Change] = r.Number
	}
	assert.Equal(t, len(numbers), len(history))
	serial := map[string]int{"teams/t/accounts/one": 1, "teams/t/accounts/two": 1}
	byNumber := make(map[uint64]attempt)
	done, refused, unknown := 0, 0, 0
	for _, a := range all {
		number, recorded := numbers[a.change]
		var u *change.UnknownError
		switch {
		case a.err == nil:
			done++
			assert.Assert(t, recorded, "told done, but change %s is not in the history", a.change)
		case errors.As(a.err, &u):
			unknown++
		default:
			refused++
			assert.Assert(t, !recorded, "told %v, but change %s is in the history", a.err, a.change)
		}
		if recorded {
			byNumber[number] = a
		}
	}
	assert.Equal(t, len(byNumber), len(history), "changes in the history that nobody made, or made twice")
	for n := uint64(1); n <= uint64(len(history)); n++ {
		a := byNumber[n]
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
		faults faultyStore
	}{
		{name: "no faults"},
		{
			name:   "lost answers",
			faults: faultyStore{lose: 0.4},
		},
		{
			name:   "old reads",
			faults: faultyStore{old: 0.3},
		},
		{
			name: "lost answers, old reads and a store that fails",
			faults: faultyStore{
				lose: 0.3,
				old:  0.3,
				down: 0.1,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory(initialSettings())
				all := raceOperators(m, 6, 40, c.faults)
				checkSerial(t, m, all)
			})
		})
	}
}

// The answer is lost, and another operator's change takes effect before the outcome
// is looked up. The outcome must still be found correctly, both if the first change had
// taken effect and if the other one ruled it out.
func TestLostAnswerIsResolvedAfterAnotherChange(t *testing.T) {
	for _, applied := range []bool{true, false} {
		t.Run(fmt.Sprintf("took effect %v", applied), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory(initialSettings())
				other := editor(&faultyStore{memory: m}, "bob")
				f := &lostAnswerStore{
					faultyStore: faultyStore{memory: m},
					applied:     applied,
				}
				f.beforeReturn = func() {
					_, err := other.Apply(context.Background(), put("teams/t/accounts/two", account(7)))
					assert.NilError(t, err)
				}
				e := &change.Editor{
					Store:  f,
					Author: "ann",
				}
				r, err := e.Apply(context.Background(), put(one, account(5)))
				assert.NilError(t, err)
				assert.Equal(t, f.calls, 2+btoi(!applied))
				history, err := other.History(context.Background(), 9)
				assert.NilError(t, err)
				assert.Equal(t, len(history), 2)
				assert.Equal(t, history[btoi(applied)].Change, r.Record().Change)
			})
		})
	}
}

// lostAnswerStore loses the answer to the first change. Before it returns from that
// call, it lets another change take effect.
type lostAnswerStore struct {
	faultyStore
	applied      bool
	beforeReturn func()
	calls        int
}

func (l *lostAnswerStore) Apply(ctx context.Context, changes []coltsfootloft.Change) (uint64, error) {
	l.calls++
	if l.calls > 1 {
		return l.faultyStore.Apply(ctx, changes)
	}
	if l.applied {
		if _, err := l.memory.apply(changes); err != nil {
			return 0, err
		}
	}
	l.beforeReturn()
	return 0, coltsfootloft.ErrOutcomeUnknown
}

func TestSilentStoreLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &faultyStore{
			memory: newMemory(initialSettings()),
			rand:   newRand(3),
		}
		e := editor(f, "ann")
		f.lose = 1
		began := time.Now()
		_, err := e.Apply(context.Background(), put(one, account(5)))
		var u *change.UnknownError
		assert.Assert(t, errors.As(err, &u), "%v", err)
		assert.Assert(t, u.Change() != "")
		elapsed := time.Since(began)
		assert.Assert(t, elapsed >= change.DefaultOutcomeTimeout && elapsed < change.DefaultOutcomeTimeout+2*time.Second, "%v", elapsed)
		time.Sleep(time.Minute)
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
