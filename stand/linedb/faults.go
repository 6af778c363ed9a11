package linedb

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Faults are faults of the answers of a database. Shares are between 0 and 1.
type Faults struct {
	// Seed names the random choices.
	Seed uint64
	// Twice is the share of answers that are sent again as a whole on the same connection,
	// at a random time up to Delay later, a quarter of them at once. Never comes one in
	// the middle of another.
	Twice float64
	// Held, if not 0, keeps second answers back while so many statements of callers run on the
	// connection. They are sent in random order before the answer to the next one.
	Held int
	// Only names the answers that may come twice, by the first word of their statement or
	// by their code if they are errors; START is the start of a session. All if empty.
	Only []string
	// Errors is the share of the statements of callers that are answered with one of
	// Codes: BUSY, LAGGING and READONLY without a run, FAILED after a run that had no
	// effect, TIMEOUT after one that had, and whose own answer follows up to Delay later.
	// A BEGIN gets no FAILED and no TIMEOUT, a ROLLBACK no error.
	Errors float64
	Codes  []string
	Delay  time.Duration
}

// faults are the faults of a database in force.
type faults struct {
	Faults
	random *rand.Rand
	twice  int
}

// SetFaults sets the faults of the answers of a database from now on; the zero value ends them.
func (g *Group) SetFaults(id string, f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.databases[id]
	b.faults = faults{
		Faults: f,
		random: rand.New(rand.NewPCG(f.Seed, 0)),
		twice:  b.faults.twice,
	}
}

// Twice returns how many answers of a database have been sent twice.
func (g *Group) Twice(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.databases[id].faults.twice
}

// delay returns a random time up to Delay.
func (f *faults) delay() time.Duration {
	if f.Delay <= 0 || f.random.IntN(4) == 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(f.Delay)))
}

// repeats reports whether the answer to a statement is sent again.
func (f *faults) repeats(word, text string) bool {
	if f.Twice == 0 || text == "" || f.random.Float64() >= f.Twice {
		return false
	}
	code := ""
	if rest, ok := strings.CutPrefix(text, "ERR "); ok {
		code, _, _ = strings.Cut(rest, " ")
	}
	if len(f.Only) > 0 && !slices.Contains(f.Only, word) && !slices.Contains(f.Only, code) {
		return false
	}
	f.twice++
	return true
}

// injected returns the code of the error that a statement gets in place of its answer, or none.
func (f *faults) injected(q request) string {
	if f.Errors == 0 || q.id == noID || q.word == wordRollback || len(f.Codes) == 0 || f.random.Float64() >= f.Errors {
		return ""
	}
	code := f.Codes[f.random.IntN(len(f.Codes))]
	if q.word == "BEGIN" && (code == "FAILED" || code == "TIMEOUT") {
		return ""
	}
	return code
}

// answer is what a database sends in answer to a request.
type answer struct {
	text string
	// late follows after delay, or is kept back if held is set; nothing if empty.
	late  string
	delay time.Duration
	held  bool
	// before holds the answers kept back that are sent before it.
	before string
}

// release returns all answers of the connection that were kept back, in random order.
func (f *faults) release(held *[]string) string {
	list := *held
	*held = nil
	f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return strings.Join(list, "")
}

// reply completes the answer to a statement. The caller holds the lock.
func (b *Database) reply(word, text, late string) answer {
	a := answer{
		text: text,
		late: late,
	}
	if late == "" && b.faults.repeats(word, text) {
		a.late = text
		a.held = b.faults.Held > 0
	}
	if a.late != "" {
		a.delay = b.faults.delay()
	}
	return a
}
