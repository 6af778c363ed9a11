package fresh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
	"coltsfootloft/stand/memdb"
)

const (
	histories    = 400
	historySteps = 600
)

var (
	names = []string{"a", "b", "c"}
	start = time.Unix(1000, 0)
)

// bounder is Bounds or a naive version of it.
type bounder interface {
	Note(database string, taken time.Time, r coltsfootloft.Reading)
	Age(now time.Time, database string) (time.Duration, bool)
}

// arrival is a naive version that dates a reading by its arrival instead of its
// request.
type arrival struct {
	*Bounds
	now *time.Time
}

func (a arrival) Note(database string, _ time.Time, r coltsfootloft.Reading) {
	a.Bounds.Note(database, *a.now, r)
}

// primaryOnly is a naive version that assumes that any database that reports
// itself as primary has all acknowledged writes.
type primaryOnly struct {
	*Bounds
}

func (p primaryOnly) Note(database string, taken time.Time, r coltsfootloft.Reading) {
	if r.Role() == coltsfootloft.Primary {
		p.Bounds.Note("primary", taken, r)
	}
	p.applied[database] = r.Applied()
}

// world is a random history in which time passes between the steps and readings
// take time to arrive.
type world struct {
	random      *rand.Rand
	group       *memdb.Group
	now         time.Time
	ledger      *quorum.Ledger
	writes      []*write
	polls       []poll
	term        uint64
	bounds      bounder
	understated int
	checked     int
}

type write struct {
	value    string
	position coltsfootloft.Position
	acked    time.Time
}

type poll struct {
	database string
	sent     time.Time
	reading  coltsfootloft.Reading
	taken    bool
}

func (w *world) step() {
	if w.random.IntN(40) == 0 {
		// This host, or everything, is paused for a while.
		w.now = w.now.Add(time.Duration(w.random.IntN(3000)) * time.Millisecond)
	}
	w.now = w.now.Add(time.Duration(w.random.IntN(10)) * time.Millisecond)
	n := names[w.random.IntN(len(names))]
	switch k := w.random.IntN(100); {
	case k < 15:
		w.commit(n)
	case k < 40:
		w.group.Receive(n)
	case k < 55:
		w.group.Apply(n)
	case k < 65:
		w.polls = append(w.polls, poll{
			database: n,
			sent:     w.now,
		})
	case k < 90:
		w.advance()
	case k < 92:
		w.elect()
	default:
		w.group.Heal()
		if w.random.IntN(2) == 0 {
			w.group.Cut(n, names[w.random.IntN(len(names))])
		}
	}
	w.acknowledge()
	w.check(n)
}

func (w *world) commit(name string) {
	v := fmt.Sprint("w", len(w.writes))
	if p, err := w.group.Commit(name, v); err == nil {
		w.writes = append(w.writes, &write{
			value:    v,
			position: p,
		})
	}
}

// advance takes the reading of a random poll or, if it was taken before, delivers
// it.
func (w *world) advance() {
	if len(w.polls) == 0 {
		return
	}
	i := w.random.IntN(len(w.polls))
	p := &w.polls[i]
	if !p.taken {
		p.reading = w.group.Reading(p.database)
		p.taken = true
		return
	}
	w.bounds.Note(p.database, p.sent, p.reading)
	w.polls = slices.Delete(w.polls, i, i+1)
}

// elect runs a correct election on a random majority; the third database is left
// out, as if partitioned.
func (w *world) elect() {
	w.term++
	term := coltsfootloft.NewTerm(w.term, "p")
	out := w.random.IntN(len(names))
	best := ""
	for i, n := range names {
		if i == out {
			continue
		}
		r, err := w.group.Fence(n, term)
		if err != nil {
			return
		}
		if best == "" || r.Received().Compare(w.group.Reading(best).Received()) > 0 {
			best = n
		}
	}
	_, _ = w.group.Promote(best, term)
	for i, n := range names {
		if i != out && n != best {
			_, _ = w.group.Follow(n, term, best)
		}
	}
}

// acknowledge records the earliest moment at which any host could know that a
// write is held.
func (w *world) acknowledge() {
	for _, n := range names {
		w.ledger.Note(n, w.group.Reading(n))
	}
	for _, r := range w.writes {
		if r.acked.IsZero() && w.ledger.HeldByMajority(r.position) {
			r.acked = w.now
		}
	}
}

// check reads at the database and looks for a write that was acknowledged before
// the bound but is not visible.
func (w *world) check(name string) {
	age, ok := w.bounds.Age(w.now, name)
	if !ok {
		return
	}
	w.checked++
	seen := w.group.Values(name)
	for _, r := range w.writes {
		if !r.acked.IsZero() && r.acked.Before(w.now.Add(-age)) && !slices.Contains(seen, r.value) {
			w.understated++
			return
		}
	}
}

func try(create func(w *world) bounder) (broken, checked int) {
	for seed := range histories {
		w := &world{
			random: rand.New(rand.NewPCG(uint64(seed), 20261204)),
			group:  memdb.New(names...),
			now:    start,
			ledger: quorum.NewLedger(quorum.Size(len(names))),
			term:   1,
		}
		w.group.Start(coltsfootloft.NewTerm(1, "p"))
		w.bounds = create(w)
		for range historySteps {
			w.step()
		}
		broken += min(w.understated, 1)
		checked += w.checked
	}
	return broken, checked
}

func TestAgeIsNeverUnderstated(t *testing.T) {
	size := quorum.Size(len(names))
	late, _ := try(func(w *world) bounder {
		return arrival{
			Bounds: NewBounds(size),
			now:    &w.now,
		}
	})
	alone, _ := try(func(*world) bounder {
		return primaryOnly{
			Bounds: NewBounds(1),
		}
	})
	broken, checked := try(func(*world) bounder { return NewBounds(size) })
	t.Logf("%d histories of %d steps with an age understated: time of arrival %d, primary alone %d, bounds %d (%d ages known)",
		histories, historySteps, late, alone, broken, checked)
	assert.Assert(t, late > 0)
	assert.Assert(t, alone > 0)
	assert.Equal(t, broken, 0)
	assert.Assert(t, checked > 100*histories)
}

func TestAgeGrowsWhileNoMajorityAnswers(t *testing.T) {
	b := NewBounds(3)
	p := coltsfootloft.NewPosition(coltsfootloft.NewTerm(1, "p"), 5)
	r := coltsfootloft.NewReading(coltsfootloft.Replica, p.Term(), p, p)
	b.Note("a", start, r)
	_, ok := b.Age(start, "a")
	assert.Assert(t, !ok)
	b.Note("b", start.Add(time.Second), r)
	b.Note("a", start.Add(2*time.Second), r)
	b.Note("a", start.Add(9*time.Second), r)
	age, ok := b.Age(start.Add(10*time.Second), "a")
	assert.Assert(t, ok)
	assert.Equal(t, age, 9*time.Second)
}

func TestMarksAreBounded(t *testing.T) {
	b := NewBounds(1)
	term := coltsfootloft.NewTerm(1, "p")
	var last time.Time
	for i := range 10 * maxMarks {
		p := coltsfootloft.NewPosition(term, uint64(i+1))
		last = start.Add(time.Duration(i) * time.Millisecond)
		b.Note("a", last, coltsfootloft.NewReading(coltsfootloft.Primary, term, p, p))
	}
	assert.Assert(t, len(b.marks) <= maxMarks+1)
	age, ok := b.Age(last, "a")
	assert.Assert(t, ok)
	assert.Equal(t, age, time.Duration(0))
}
