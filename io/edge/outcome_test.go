package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// check checks the attempts against the runs of the databases.
func (h *history) check() {
	h.t.Helper()
	for i := range 3 {
		select {
		case err := <-h.host(i).ended:
			h.problems = append(h.problems, fmt.Sprintf("host %d ended by itself: %v", i+1, err))
			h.host(i).ended <- nil
		default:
		}
	}
	byID := make(map[string]*attempt, len(h.attempts))
	for i := range h.attempts {
		byID[h.attempts[i].id] = &h.attempts[i]
	}
	ran := make(map[string]bool)
	commits := make(map[string]int)
	for _, r := range h.group.Runs() {
		a := byID[r.ID]
		if a == nil {
			h.report("UNASKED: %+v", r)
			continue
		}
		ran[r.ID] = true
		if r.Committed && r.Text != "COMMIT" {
			commits[r.ID]++
		}
		if !strings.HasSuffix(r.Text, a.text) {
			h.report("UNASKED: %q ran as %q", a.text, r.Text)
		}
		if !maps.Equal(a.values, r.Values) {
			h.report("PINNED: %q ran with the values %v in place of %v", a.text, r.Values, a.values)
		}
		if !h.mayRun(a.key, r.Account, r.At) {
			h.report("UNASKED: %q with %s ran for %s at %s", a.text, a.key, r.Account, r.At.Format("05.000"))
		}
	}
	h.checkOutcomes(ran, commits)
	succeeded := 0
	for _, a := range h.attempts {
		if a.code == "" && !a.lost {
			succeeded++
		}
	}
	h.t.Logf("%d statements, %d succeeded, %d moves of the key, %d holds", len(h.attempts), succeeded, len(h.owners)-1, len(h.impaired))
	assert.Assert(h.t, succeeded > 0)
	for _, p := range h.problems[:min(len(h.problems), 12)] {
		h.t.Error(p)
	}
}

func (h *history) report(format string, arguments ...any) {
	h.problems = append(h.problems, fmt.Sprintf(format, arguments...))
}

// mayRun reports whether an account may have owned the key at a moment, as hosts know of it.
func (h *history) mayRun(key, account string, at time.Time) bool {
	if key != "key-roams" {
		return key == "key-"+account
	}
	for i, o := range h.owners {
		left := at
		if i+1 < len(h.owners) {
			left = h.owners[i+1].from.Add(moveLimit)
		}
		if o.account == account && !at.Before(o.from) && !at.After(left) {
			return true
		}
	}
	return false
}

// checkOutcomes checks each answer against what ran and what was committed.
func (h *history) checkOutcomes(ran map[string]bool, commits map[string]int) {
	for _, a := range h.attempts {
		word, _, _ := strings.Cut(a.text, " ")
		success := a.code == "" && !a.lost
		doubt := a.lost || a.code == "INDOUBT"
		if success && (word == "READ" || word == "WRITE" || word == "COMMIT") && !strings.HasSuffix(a.digest, "."+a.id) {
			h.report("MIXED: %q was answered with %q %q", a.text, a.digest, a.rows)
		}
		if a.lost && h.isCut(a, ran[a.id]) {
			h.report("LOST: %q at host %d, sent %s, no answer after %s, ran %v", a.text, a.host+1, a.sent.Format("05.000"), a.ended.Sub(a.sent), ran[a.id])
		}
		if commits[a.id] > 1 {
			h.report("TWICE: %q was committed %d times", a.text, commits[a.id])
		}
		if word == "COMMIT" {
			done := 0
			for _, w := range a.writes {
				done += commits[w]
			}
			if done != 0 && done != len(a.writes) || success && done == 0 || !success && !doubt && done != 0 {
				h.report("COMMIT of %d writes answered %q, %d committed", len(a.writes), a.code, done)
			}
		}
		if word == "WRITE" && !success && !doubt && commits[a.id] != 0 {
			h.report("REFUSED: %q was answered %s and committed", a.text, a.code)
		}
	}
}

// isImpaired reports whether there was an impairment in a span or within a second before it.
func (h *history) isImpaired(from, to time.Time) bool {
	return slices.ContainsFunc(h.impaired, func(s span) bool {
		return to.After(s.from) && from.Before(s.to.Add(time.Second))
	})
}

// isCut reports whether a statement that got no answer was cut off by the stop of its host, with no
// impairment near, after it had run or had been there for long enough to be answered.
func (h *history) isCut(a attempt, ran bool) bool {
	if h.isImpaired(a.sent, a.ended) {
		return false
	}
	for _, s := range h.stops[a.host] {
		if a.ended.After(s.from) && a.sent.Before(s.to) {
			return ran || a.ended.Sub(a.sent) > answerSlack
		}
	}
	return false
}
