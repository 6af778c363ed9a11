// Package fresh computes bounds on the staleness of reads at each database of a
// group.
//
// # Marks
//
// A mark is a watermark: a moment on the monotonic clock of this host and a
// position such that every write acknowledged before the moment is at or before
// the position. It is computed from readings of a majority that were all taken
// after that moment: as in a barrier, the greatest position among them covers
// every acknowledged write. The role of the databases does not matter. A mark
// therefore cannot come from an outdated primary that the majority has abandoned,
// and marks remain valid through a change of primary.
//
// # Ages
//
// If the applied position of a database covers the position of a mark, reads at
// that database see at least the data of the moment of the mark, so their age is
// at most the time since then. The age grows while no majority answers, while the
// database lags behind, and while this host is paused. The age at a database that
// covers no mark is unknown, and callers treat it as too old. A database whose
// applied position moves back must refuse reads until it has caught up with what
// it has already shown; the databases of the platform do so while they are
// rebuilt.
package fresh

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// maxMarks bounds the number of marks. Beyond it every second mark is dropped,
// which only makes the bounds wider.
const maxMarks = 512

// Bounds holds the marks of one group. It is not safe for concurrent use.
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

// NewBounds returns bounds without any marks for a group of the given size.
func NewBounds(size quorum.Size) *Bounds {
	return &Bounds{
		size:    size,
		latest:  make(map[string]sample, size),
		applied: make(map[string]coltsfootloft.Position, size),
	}
}

// Note records a reading of a database. The reading must have been taken no
// earlier than taken, which is when the request for it was sent.
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
	b.addMark()
}

// Age returns an upper bound on the age of reads that start at the database now;
// ok is false if the age is unknown.
func (b *Bounds) Age(now time.Time, database string) (age time.Duration, ok bool) {
	applied := b.applied[database]
	n := sort.Search(len(b.marks), func(i int) bool { return b.marks[i].position.Compare(applied) > 0 })
	if n == 0 {
		return 0, false
	}
	return now.Sub(b.marks[n-1].taken), true
}

// addMark adds the mark that follows from the newest readings of a majority.
// Marks are in ascending order of both time and position. Earlier marks whose
// position is not lower are removed, because the new mark implies them.
func (b *Bounds) addMark() {
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
	if len(b.marks) > maxMarks {
		b.thinMarks()
	}
}

// thinMarks drops every second mark, except the newest.
func (b *Bounds) thinMarks() {
	remaining := b.marks[:0]
	for i, m := range b.marks {
		if i%2 == 0 || i == len(b.marks)-1 {
			remaining = append(remaining, m)
		}
	}
	b.marks = remaining
}
