package dbpool_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// TestRepeatedAnswersReachNoOtherStatement guards against a database that answers twice, the second
// time late: the next statement on the connection got the older answer. Runs of up to five answers
// are repeated at each later place.
func TestRepeatedAnswersReachNoOtherStatement(t *testing.T) {
	t.Parallel()
	const maxRun = 5
	for name, history := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := len(baseline(t, history))
			played, failed := 0, 0
			for from := range total {
				for count := 1; count <= maxRun; count++ {
					for place := from + count; place <= total; place++ {
						for _, early := range []bool{false, true} {
							r := repeat{from, count, place, early}
							played++
							if p := runHistory(t, history, []repeat{r}); len(p.wrong) > 0 {
								failed++
								if failed <= 5 {
									t.Errorf("%+v: %s", r, strings.Join(p.wrong, "; "))
								}
							}
						}
					}
				}
			}
			t.Logf("%d of %d runs with a wrong answer", failed, played)
		})
	}
}

// TestRandomRepeatsReachNoOtherStatement guards against the same with repeats of two answers at places
// of their own.
func TestRandomRepeatsReachNoOtherStatement(t *testing.T) {
	t.Parallel()
	const runs, seed = 1500, 20261206
	for name, history := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, uint64(len(name))))
			total := len(baseline(t, history))
			failed := 0
			for range runs {
				var repeats []repeat
				for range 2 {
					from := random.IntN(total)
					repeats = append(repeats, repeat{from, 1, from + 1 + random.IntN(total-from), random.IntN(2) == 0})
				}
				if p := runHistory(t, history, repeats); len(p.wrong) > 0 {
					failed++
					if failed <= 5 {
						t.Errorf("%+v: %s", repeats, strings.Join(p.wrong, "; "))
					}
				}
			}
			t.Logf("%d of %d runs with a wrong answer", failed, runs)
		})
	}
}

// TestRefusalsRepeatedWithOtherMarks guards against a refusal that is repeated with its mark and the mark
// of another statement.
func TestRefusalsRepeatedWithOtherMarks(t *testing.T) {
	t.Parallel()
	history := histories["refusals"]
	answers := baseline(t, history)
	for from, a := range answers {
		for mark := from + 2; mark < len(answers) && strings.HasPrefix(a, "ERR "); mark++ {
			for place := mark + 1; place < len(answers) && strings.HasPrefix(answers[mark], "DONE -"); place++ {
				repeats := []repeat{{from, 2, place, false}, {mark, 1, place, false}}
				assert.DeepEqual(t, runHistory(t, history, repeats).wrong, []string(nil))
			}
		}
	}
}

// TestLostAnswersShiftNoOther guards against an answer that the database loses: the next one was taken for
// it. Each answer is lost in turn.
func TestLostAnswersShiftNoOther(t *testing.T) {
	t.Parallel()
	for name, history := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for lost := 1; lost < len(baseline(t, history)); lost++ {
				p := newPlay(t, nil, lost)
				p.limit = 60 * time.Millisecond
				history(p)
				p.end()
				assert.DeepEqual(t, p.wrong, []string(nil))
				assert.Assert(t, len(p.refused) > 0 || p.database.opened > 1, "answer %d", lost)
			}
		})
	}
}

// TestUndisturbedConnectionsStayOpen guards against a connection that is closed although all answers are in
// order.
func TestUndisturbedConnectionsStayOpen(t *testing.T) {
	p := newPlay(t, nil, -1)
	for i := range 100 {
		id := fmt.Sprint("r", i)
		p.single(id, "READ x", coltsfootloft.VerbRead, map[string]string{"a": fmt.Sprint(i % 3)})
		p.transaction(id, i%2 == 0)
		if i%10 == 0 {
			p.database.mu.Lock()
			p.database.refuse["w"] = "BUSY"
			p.database.mu.Unlock()
			p.single("w", "WRITE x y", coltsfootloft.VerbWrite, nil)
		}
	}
	p.end()
	assert.DeepEqual(t, p.wrong, []string(nil))
	assert.DeepEqual(t, p.refused, []string(nil))
	assert.Equal(t, p.database.opened, 1)
}

// TestRepeatedSuccessesCostNothing guards against connections that are closed, and writes that are in doubt,
// for the sake of an answer that was certainly repeated: one with a digest, unless it comes in the
// place of an answer that failed or between those to marks.
func TestRepeatedSuccessesCostNothing(t *testing.T) {
	t.Parallel()
	history := histories["reads and writes"]
	answers := baseline(t, history)
	played := 0
	for from, a := range answers {
		if !strings.Contains(a, "DONE 7.") {
			continue
		}
		for place := from + 1; place <= len(answers); place++ {
			for _, early := range []bool{false, true} {
				r := repeat{from, 1, place, early}
				p := runHistory(t, history, []repeat{r})
				assert.DeepEqual(t, p.wrong, []string(nil))
				assert.DeepEqual(t, p.refused, []string(nil))
				assert.Equal(t, p.database.opened, 1, "%+v", r)
				played++
			}
		}
	}
	t.Logf("%d runs", played)
}

// TestSuccessAfterATimeoutReachesNoOtherStatement guards against a database that answers TIMEOUT, and
// later once more with the success of that statement.
func TestSuccessAfterATimeoutReachesNoOtherStatement(t *testing.T) {
	t.Parallel()
	history := histories["refusals"]
	answers := baseline(t, history)
	played := 0
	for from, a := range answers {
		for place := from + 1; place < len(answers) && strings.HasPrefix(a, "ERR TIMEOUT"); place++ {
			for _, early := range []bool{false, true} {
				r := repeat{from, 1, place, early}
				p := newPlay(t, []repeat{r}, -1)
				p.database.mu.Lock()
				p.database.succeedsLate = true
				p.database.mu.Unlock()
				history(p)
				p.end()
				assert.DeepEqual(t, p.wrong, []string(nil))
				assert.Assert(t, len(p.refused) > 0 || p.database.opened > 1, "%+v", r)
				played++
			}
		}
	}
	assert.Assert(t, played > 0)
}
