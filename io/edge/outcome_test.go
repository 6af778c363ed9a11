package edge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/audit"
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
	runs := h.group.Runs()
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.ID] = true
	}
	for _, p := range h.record.Check(runs, h.group.Received()) {
		h.report("%s", p.Text)
	}
	succeeded := 0
	for _, a := range h.record.Attempts {
		if a.Succeeded() {
			succeeded++
		}
		if a.Lost && h.isCut(a, ran[a.ID]) {
			h.report("LOST: %.80q at host %d, sent %s, no answer after %s, ran %v", a.Text, a.Host+1, a.Sent.Format("05.000"), a.Waited, ran[a.ID])
		}
	}
	h.t.Logf("%d statements, %d succeeded, %d moves of the key, %d holds", len(h.record.Attempts), succeeded, h.moves, len(h.impaired))
	assert.Assert(h.t, succeeded > 0)
	if len(h.problems) > 0 {
		rules := make(map[string]int)
		for _, p := range h.problems {
			rule, _, _ := strings.Cut(p, " ")
			rules[strings.TrimSuffix(rule, ":")]++
		}
		h.t.Logf("%d problems: %v", len(h.problems), rules)
	}
	for _, p := range h.problems[:min(len(h.problems), 12)] {
		h.t.Error(p)
	}
}

func (h *history) report(format string, arguments ...any) {
	h.problems = append(h.problems, fmt.Sprintf(format, arguments...))
}

// isImpaired reports whether there was an impairment in a span or within a second before it.
func (h *history) isImpaired(from, to time.Time) bool {
	return slices.ContainsFunc(h.impaired, func(s span) bool {
		return to.After(s.from) && from.Before(s.to.Add(time.Second))
	})
}

// isCut reports whether a statement that got no answer was cut off by the stop of its host, with no
// impairment near, after it had run or had been there for long enough to be answered.
func (h *history) isCut(a audit.Attempt, ran bool) bool {
	if h.isImpaired(a.Sent, a.Ended) {
		return false
	}
	for _, s := range h.stops[a.Host] {
		if a.Ended.After(s.from) && a.Sent.Before(s.to) {
			return ran || a.Waited > answerSlack
		}
	}
	return false
}
