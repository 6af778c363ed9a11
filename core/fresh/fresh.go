// Package fresh bounds how old the data is that reads at a database see.
//
// # Marks
//
// A mark says that every write acknowledged before a moment on this host's
// monotonic clock is at or before a position. It comes from readings of a
// majority that were all taken after that moment: the greatest position among
// them covers every acknowledgement, as in a barrier. Which of them is the
// primary doesn't matter, so a mark can't come from an old primary that others
// have left behind, and marks go on through a change of primary.
//
// # Ages
//
// Reads at a database whose applied position has passed the mark see at least the
// data of the mark's moment: their age is at most the time since then. It grows
// while no majority answers, while the database falls behind, and while this host
// is paused. A database that has passed no mark has an unknown age, which callers
// take as too old. A database whose applied position goes back below what it has
// shown must refuse reads until it has caught up again, as the platform's do while
// they are rebuilt.
package fresh

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// marksKept bounds the marks; beyond it every second one is dropped, which only
// makes bounds wider.
const marksKept = 512

// Bounds keeps the marks of one group. It isn't safe for concurrent use.
type Bounds struct {
	size    quorum.Size
	latest  map[string]sample
	applied map[string]coltsfootloft.Position
	marks   []sample
}

type sample struct {
	taken    time.Time
	position coltsfootloft.Position
}

// NewBounds returns bounds that know nothing yet.
func NewBounds(size quorum.Size) *Bounds {
	return &Bounds{
		size:    size,
		latest:  make(map[string]sample, size),
		applied: make(map[string]coltsfootloft.Position, size),
	}
}

// Note takes in a reading of a database. It was taken no earlier than the given
// moment, which is when the request for it was sent.
func (b *Bounds) Note(database string, taken time.Time, r coltsfootloft.Reading) {
	if old, ok := b.latest[database]; ok && !taken.After(old.taken) {
		return
	}
	b.applied[database] = r.Applied()
	if !quorum.HasState(r) {
		delete(b.latest, database)
		return
	}
	b.latest[database] = sample{
		taken:    taken,
		position: r.Received(),
	}
	b.mark()
}

// Age bounds the age of reads at the database that start now. It is unknown if
// the database has passed no mark.
func (b *Bounds) Age(now time.Time, database string) (age time.Duration, ok bool) {
	applied := b.applied[database]
	n := sort.Search(len(b.marks), func(i int) bool { return b.marks[i].position.Compare(applied) > 0 })
	if n == 0 {
		return 0, false
	}
	return now.Sub(b.marks[n-1].taken), true
}

// mark adds the mark of the newest readings of a majority. Marks are kept in
// ascending order of both time and position: an earlier one that isn't lower says
// less than the new one.
func (b *Bounds) mark() {
	if len(b.latest) < b.size.Majority() {
		return
	}
	newest := make([]sample, 0, len(b.latest))
	for _, s := range b.latest {
		newest = append(newest, s)
	}
	slices.SortFunc(newest, func(x, y sample) int {
		return cmp.Or(y.taken.Compare(x.taken), y.position.Compare(x.position))
	})
	newest = newest[:b.size.Majority()]
	m := newest[len(newest)-1]
	for _, s := range newest {
		if s.position.Compare(m.position) > 0 {
			m.position = s.position
		}
	}
	n := len(b.marks)
	if n > 0 && !m.taken.After(b.marks[n-1].taken) {
		return
	}
	for n > 0 && b.marks[n-1].position.Covers(m.position) {
		n--
	}
	b.marks = append(b.marks[:n], m)
	if len(b.marks) > marksKept {
		b.thin()
	}
}

// thin drops every second mark, but not the newest.
func (b *Bounds) thin() {
	kept := b.marks[:0]
	for i, m := range b.marks {
		if i%2 == 0 || i == len(b.marks)-1 {
			kept = append(kept, m)
		}
	}
	b.marks = kept
}
