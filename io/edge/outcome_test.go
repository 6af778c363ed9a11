package edge

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/linedb"
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
	h.checkLate(runs)
	succeeded := 0
	for _, a := range h.record.Attempts {
		if a.Succeeded() {
			succeeded++
		}
		if a.Lost && h.isCut(a, ran[a.ID]) {
			h.report("LOST: %.80q at host %d, sent %s, no answer after %s, ran %v", a.Text, a.Host+1, a.Sent.Format("05.000"), a.Waited, ran[a.ID])
		}
	}
	h.t.Logf("%d statements, %d succeeded, %d moves of the key, %d holds, %d of links between hosts, with %d KB on these", len(h.record.Attempts), succeeded,
		h.moves, len(h.impaired), h.hostHolds, h.hostLinks.Bytes()>>10)
	assert.Assert(h.t, succeeded > 0)
	assert.Assert(h.t, h.hostLinks.Bytes() > 0)
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

// checkLate checks that nothing runs long after its caller was answered: links to other hosts that are silent are reset by
// then, and what was held up on them is lost. A host that leaves does not reset its links, so that its last answers
// arrive, and what a link to a database holds up has a time of its own.
func (h *history) checkLate(runs []linedb.Run) {
	attempts := make(map[string]audit.Attempt, len(h.record.Attempts))
	for _, a := range h.record.Attempts {
		attempts[a.ID] = a
	}
	for _, r := range runs {
		a, ok := attempts[r.ID]
		if late := r.At.Sub(a.Ended); ok && late > lateLimit && !h.isImpaired(a.Sent, r.At) && !h.isStopped(a.Host, a.Sent, r.At) {
			h.report("LATE: %.80q at host %d ran %s after it was answered %q", a.Text, a.Host+1, late, a.Code)
		}
	}
}

// isStopped reports whether a host was being stopped in a span.
func (h *history) isStopped(host int, from, to time.Time) bool {
	return slices.ContainsFunc(h.stops[host], func(s span) bool { return to.After(s.from) && from.Before(s.to) })
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
	return h.isStopped(a.Host, a.Sent, a.Ended) && (ran || a.Waited > answerSlack)
}
