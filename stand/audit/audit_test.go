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
		ID:        "1",
		Text:      "WRITE a 1",
		Account:   "arima",
		Committed: true,
	}
	for name, c := range map[string]struct {
		attempt Attempt
		runs    []linedb.Run
		found   string
	}{
		"sound":          {Attempt{ID: "1", Text: "WRITE a 1", Answer: done}, []linedb.Run{ran}, ""},
		"in doubt":       {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "INDOUBT"}}, []linedb.Run{ran}, ""},
		"not run":        {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "BUSY"}}, nil, ""},
		"ran after all":  {Attempt{ID: "1", Text: "WRITE a 1", Answer: caller.Answer{Code: "BUSY"}}, []linedb.Run{ran}, "REFUSED"},
		"twice":          {Attempt{ID: "1", Text: "WRITE a 1", Answer: done}, []linedb.Run{ran, ran}, "TWICE"},
		"unasked":        {Attempt{ID: "2", Text: "SET a 1"}, []linedb.Run{ran}, "UNASKED"},
		"other text":     {Attempt{ID: "1", Text: "WRITE a 2", Answer: done}, []linedb.Run{ran}, "UNASKED"},
		"other values":   {Attempt{ID: "1", Text: "WRITE a 1", Answer: done, Values: map[string]string{"x": "y"}}, []linedb.Run{ran}, "PINNED"},
		"other answer":   {Attempt{ID: "1", Text: "READ a", Answer: caller.Answer{Digest: "db.2"}}, nil, "MIXED"},
		"no answer":      {Attempt{ID: "1", Text: "READ a", Answer: caller.Answer{Silent: true}}, nil, "SILENT"},
		"commit of none": {Attempt{ID: "1", Text: "COMMIT", Answer: done, Writes: []string{"2"}}, nil, "COMMIT"},
	} {
		r := Record{Attempts: []Attempt{c.attempt}}
		r.Give("key", "arima")
		r.Attempts[0].Key = "key"
		for i := range c.runs {
			c.runs[i].At = time.Now()
		}
		problems := r.Check(c.runs)
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
		ID:        "1",
		Text:      "WRITE a 1",
		Account:   "arima",
		At:        time.Now(),
		Committed: true,
	}
	assert.Equal(t, len(r.Check([]linedb.Run{run})), 1)
	second := run
	second.ID = "2"
	second.Text = "WRITE b 1"
	assert.Equal(t, len(r.Check([]linedb.Run{run, second})), 0)
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
			Answer: caller.Answer{Digest: "db.1"},
		}}
		assert.Equal(t, len(r.Check([]linedb.Run{{
			ID:      "1",
			Account: "arima",
			At:      taken.Add(d),
		}})), broken, d)
	}
}
