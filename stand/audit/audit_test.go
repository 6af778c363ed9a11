package audit

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/linedb"
)

// TestBrokenPromisesAreFound guards against checks that pass over a broken promise.
func TestBrokenPromisesAreFound(t *testing.T) {
	done := caller.Answer{Digest: "db.1"}
	ran := linedb.Run{
		Database:  "db",
		ID:        "1",
		Text:      "WRITE a 1",
		Account:   "arima",
		Committed: true,
	}
	read, exec, other, commit := ran, ran, ran, ran
	read.Text, read.Rows, read.Committed = "READ a", []string{"x\nDONE db.1"}, false
	exec.Text, exec.Shape = "EXEC q2c a 1", "WRITE q2c"
	other.Text, other.Shape = "EXEC q2 a 1", "WRITE q2"
	commit.Text = wordCommit
	execute := Attempt{ID: "1", Text: "EXEC s a 1", Shape: "WRITE q2c", Answer: done}
	rows := func(rows ...string) Attempt {
		return Attempt{ID: "1", Text: "READ a", Answer: caller.Answer{Digest: "db.1", Rows: rows}}
	}
	for name, c := range map[string]struct {
		attempt Attempt
		runs    []linedb.Run
		found   string
	}{
		"sound":          {Attempt{ID: "1", Text: "WRITE a 1", Answer: done}, []linedb.Run{ran}, ""},
		"sound read":     {rows("x\nDONE db.1"), []linedb.Run{read}, ""},
		"sound exec":     {execute, []linedb.Run{exec}, ""},
		"in doubt":       {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "INDOUBT"}}, []linedb.Run{ran}, ""},
		"not run":        {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "BUSY"}}, nil, ""},
		"ran after all":  {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "BUSY"}}, []linedb.Run{ran}, "REFUSED"},
		"twice":          {Attempt{ID: "1", Text: "WRITE a 1", Answer: done}, []linedb.Run{ran, ran}, "TWICE"},
		"unasked":        {Attempt{ID: "2", Text: "SET a 1"}, []linedb.Run{ran}, "UNASKED"},
		"other text":     {Attempt{ID: "1", Text: "WRITE a 2", Answer: done}, []linedb.Run{ran}, "UNASKED"},
		"end of a text":  {Attempt{ID: "1", Text: "1", Answer: done}, []linedb.Run{ran}, "UNASKED"},
		"cut text":       {Attempt{ID: "1", Text: "WRITE a 1\nb", Answer: done}, []linedb.Run{ran}, "UNASKED"},
		"cut exec":       {Attempt{ID: "1", Text: "EXEC s a 1 ", Shape: "WRITE q2c", Answer: done}, []linedb.Run{exec}, "UNASKED"},
		"other shape":    {execute, []linedb.Run{other}, "PINNED"},
		"other values":   {Attempt{ID: "1", Text: "WRITE a 1", Answer: done, Values: map[string]string{"x": "y"}}, []linedb.Run{ran}, "PINNED"},
		"other answer":   {Attempt{ID: "1", Text: "READ a", Answer: caller.Answer{Digest: "db.2"}}, nil, "MIXED"},
		"other database": {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Digest: "db2.1"}}, []linedb.Run{ran}, "MIXED"},
		"cut row":        {rows("x"), []linedb.Run{read}, "MIXED"},
		"trimmed row":    {rows("x\nDONE db.1 "), []linedb.Run{read}, "MIXED"},
		"a row too many": {rows("x\nDONE db.1", ""), []linedb.Run{read}, "MIXED"},
		"no row":         {rows(), []linedb.Run{read}, "MIXED"},
		"rows of a set":  {Attempt{ID: "1", Text: "SET a 1", Answer: caller.Answer{Digest: "-", Rows: []string{""}}}, nil, "MIXED"},
		"begin":          {Attempt{ID: "1", Text: "BEGIN", Answer: caller.Answer{Digest: "db.0"}}, nil, "MIXED"},
		"no answer":      {Attempt{ID: "1", Text: "READ a", Answer: caller.Answer{Silent: true}}, nil, "SILENT"},
		"commit of none": {Attempt{ID: "1", Text: "COMMIT", Answer: done, Writes: []string{"2"}}, []linedb.Run{commit}, "COMMIT"},
	} {
		r := Record{Attempts: []Attempt{c.attempt}}
		r.Give("key", "arima")
		r.Attempts[0].Key = "key"
		for i := range c.runs {
			c.runs[i].At = time.Now()
		}
		problems := r.Check(c.runs, nil)
		if c.found == "" {
			assert.Equal(t, len(problems), 0, "%s: %v", name, problems)
			continue
		}
		assert.Assert(t, slices.ContainsFunc(problems, func(p Problem) bool { return strings.HasPrefix(p.Text, c.found) }), "%s: %v", name, problems)
	}
}

// TestHalfACommitIsFound guards against a transaction of which a part was committed.
func TestHalfACommitIsFound(t *testing.T) {
	r := Record{Attempts: []Attempt{
		{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Digest: "db.1"}},
		{ID: "2", Text: "WRITE b 1", Answer: caller.Answer{Digest: "db.2"}},
		{ID: "3", Text: "COMMIT", Answer: caller.Answer{Lost: true}, Writes: []string{"1", "2"}},
	}}
	r.Give("", "arima")
	run := linedb.Run{
		Database:  "db",
		ID:        "1",
		Text:      "WRITE a 1",
		Account:   "arima",
		At:        time.Now(),
		Committed: true,
	}
	second := run
	second.ID = "2"
	second.Text = "WRITE b 1"
	second.Committed = false
	assert.Equal(t, len(r.Check([]linedb.Run{run, second}, nil)), 1)
	second.Committed = true
	assert.Equal(t, len(r.Check([]linedb.Run{run, second}, nil)), 0)
}

// TestWhatIsSentOnIsAsked guards against a statement that reaches a database with another text or an id that
// nobody sent, and that the database does not run.
func TestWhatIsSentOnIsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		received linedb.Run
		found    int
	}{
		"sound":      {linedb.Run{ID: "1", Text: "WRITE a 1"}, 0},
		"other id":   {linedb.Run{ID: "9", Text: "WRITE a 1"}, 1},
		"other text": {linedb.Run{ID: "1", Text: "WRITE a 1 "}, 1},
	} {
		r := Record{Attempts: []Attempt{{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Lost: true}}}}
		assert.Equal(t, len(r.Check(nil, []linedb.Run{c.received})), c.found, name)
	}
}

// TestKeyWorksForItsOwnersOnly guards against a statement that passes although its key was taken away.
func TestKeyWorksForItsOwnersOnly(t *testing.T) {
	r := Record{Limit: 10 * time.Millisecond}
	r.Give("key", "arima")
	r.Give("key", "")
	taken := time.Now()
	for d, broken := range map[time.Duration]int{0: 0, time.Second: 1} {
		r.Attempts = []Attempt{{
			ID:     "1",
			Key:    "key",
			Sent:   taken.Add(d),
			Answer: caller.Answer{Digest: "-"},
		}}
		assert.Equal(t, len(r.Check([]linedb.Run{{
			ID:      "1",
			Account: "arima",
			At:      taken.Add(d),
		}}, nil)), broken, d)
	}
}
