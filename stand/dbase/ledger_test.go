package dbase

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

// naive is a database as DESIGN.md tells it, with nothing kept but the log, the
// fence and who is followed. Each record is the text of its term and its place.
type naive struct {
	log      []coltsfootloft.Term
	marks    []int
	fence    coltsfootloft.Term
	reign    coltsfootloft.Term
	primary  bool
	follows  string
	followed coltsfootloft.Term
	// changes counts what ends replication.
	changes int
}

// pair holds the same database in both forms.
type pair struct {
	real  *ledger
	naive *naive
	// next makes the content of records unique.
	next *int
	// late is a record that was sent and has not arrived yet.
	late *lateRecord
}

type lateRecord struct {
	record  *record
	epoch   uint64
	changes int
}

func (p *pair) content(r *record) int { return int(r.Changes[0].Args[0].(int64)) }

func (p *pair) fenceTo(t *rapid.T, term coltsfootloft.Term) {
	err := p.real.raise(term)
	assert.Equal(t, err != nil, term.Compare(p.naive.fence) < 0)
	if err == nil && term.Compare(p.naive.fence) > 0 {
		p.naive.fence = term
		p.naive.follows = ""
		p.naive.changes++
	}
}

func (p *pair) promote(t *rapid.T, term coltsfootloft.Term) {
	n := p.naive
	reigns, err := p.real.startPromotion(term)
	switch {
	case n.primary && n.reign == term && n.fence == term:
		assert.NilError(t, err)
		assert.Assert(t, reigns)
		return
	case term.Compare(n.fence) < 0, n.follows != "" && n.followed == term, len(n.log) > 0 && n.log[len(n.log)-1] == term:
		assert.Assert(t, err != nil)
		if term.Compare(n.fence) > 0 {
			t.Fatalf("a new term %s has records", term)
		}
		return
	}
	assert.NilError(t, err)
	p.real.applied = uint64(len(p.real.log))
	r, err := p.real.finishPromotion(term)
	assert.NilError(t, err)
	p.mark(r)
	n.fence, n.reign, n.primary, n.follows = term, term, true, ""
	n.changes++
	n.log = append(n.log, term)
	n.marks = append(n.marks, *p.next)
}

// mark gives a record content that no other has.
func (p *pair) mark(r *record) {
	*p.next++
	r.Changes = []change{{
		Args: []any{int64(*p.next)},
	}}
}

func (p *pair) follow(t *rapid.T, term coltsfootloft.Term, primary string) {
	n := p.naive
	err := p.real.follow(term, primary)
	refused := term.Compare(n.fence) < 0 || n.primary && n.reign == term
	assert.Equal(t, err != nil, refused)
	if !refused {
		if n.followed != term || n.follows != primary || n.primary {
			n.changes++
		}
		n.fence, n.followed, n.follows, n.primary = term, term, primary, false
	}
}

func (p *pair) commit(t *rapid.T) {
	n := p.naive
	ok := p.real.writable(p.real.reign)
	assert.Equal(t, ok, n.primary && n.fence == n.reign)
	if ok {
		p.mark(p.real.write(nil))
		n.log = append(n.log, n.reign)
		n.marks = append(n.marks, *p.next)
	}
}

// pull replicates some records. The naive form compares whole logs by content.
func (p *pair) pull(t *rapid.T, from *pair, most int) {
	n, source := p.naive, from.naive
	live := n.follows != "" && n.followed == n.fence && source.primary && source.reign == n.followed
	replicates := p.real.replicates(p.real.epoch) && from.real.role == coltsfootloft.Primary && from.real.reign == p.real.followed
	assert.Equal(t, replicates, live)
	if !live {
		return
	}
	same := 0
	for same < min(len(n.marks), len(source.marks)) && n.marks[same] == source.marks[same] {
		same++
	}
	at := common(from.real.runs, p.real.runs)
	assert.Equal(t, at, uint64(same))
	p.real.cut(at)
	n.log, n.marks = n.log[:same:same], n.marks[:same:same]
	end := min(len(source.log), same+most)
	n.log = append(n.log, source.log[same:end]...)
	n.marks = append(n.marks, source.marks[same:end]...)
	for _, r := range from.real.log[at:end] {
		assert.Assert(t, p.real.take(p.real.epoch, r))
	}
	p.real.applied = uint64(len(p.real.log))
	if end < len(source.log) {
		p.late = &lateRecord{
			record:  from.real.log[end],
			epoch:   p.real.epoch,
			changes: n.changes,
		}
	}
}

// arrive delivers the late record. It counts only if nothing has ended the
// replication that it was sent in, and if it comes next.
func (p *pair) arrive(t *rapid.T) {
	l, n := p.late, p.naive
	if l == nil {
		return
	}
	p.late = nil
	want := l.changes == n.changes && n.follows != "" && l.record.Offset == uint64(len(n.log)+1)
	assert.Equal(t, p.real.take(l.epoch, l.record), want)
	if want {
		n.log = append(n.log, l.record.term())
		n.marks = append(n.marks, p.content(l.record))
		p.real.applied = uint64(len(p.real.log))
	}
}

// followOne makes database i follow the owner of one of the terms promoted so far.
func (p *pair) followOne(t *rapid.T, owner map[coltsfootloft.Term]int, i int) {
	terms := slices.SortedFunc(maps.Keys(owner), coltsfootloft.Term.Compare)
	terms = slices.DeleteFunc(terms, func(x coltsfootloft.Term) bool { return owner[x] == i })
	if len(terms) == 0 {
		return
	}
	term := terms[len(terms)-1-min(len(terms)-1, rapid.IntRange(0, 2).Draw(t, "below the newest"))]
	p.follow(t, term, fmt.Sprint(owner[term]))
}

func (p *pair) compare(t *rapid.T) {
	assert.Equal(t, len(p.real.log), len(p.naive.log))
	for i, r := range p.real.log {
		assert.Equal(t, r.term(), p.naive.log[i])
		assert.Equal(t, p.content(r), p.naive.marks[i])
		assert.Equal(t, r.Offset, uint64(i+1))
	}
	r := p.real.reading(0)
	assert.Equal(t, r.Fence(), p.naive.fence)
	assert.Equal(t, r.Role() == coltsfootloft.Primary, p.naive.primary)
	assert.Equal(t, r.Primary(), p.naive.follows)
}

// TestLedgerAgainstNaive runs random histories of three databases. As in the
// product, every promotion has a term of its own.
func TestLedgerAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := 0
		group := make([]*pair, 3)
		for i := range group {
			group[i] = &pair{
				real:  &ledger{},
				naive: &naive{},
				next:  &next,
			}
		}
		owner := make(map[coltsfootloft.Term]int)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			step(t, group, owner)
			for _, p := range group {
				p.compare(t)
			}
		}
	})
}

func step(t *rapid.T, group []*pair, owner map[coltsfootloft.Term]int) {
	i := rapid.IntRange(0, 2).Draw(t, "database")
	var top uint64
	for k := range owner {
		top = max(top, k.Counter())
	}
	counter := max(1, top+2-rapid.Uint64Range(0, min(4, top)).Draw(t, "below the next but one"))
	term := coltsfootloft.NewTerm(counter, rapid.SampledFrom([]string{"h", "k"}).Draw(t, "proposer"))
	p := group[i]
	switch rapid.SampledFrom([]string{"commit", "pull", "follow", "arrive", "commit", "pull", "follow", "promote", "fence"}).Draw(t, "step") {
	case "commit":
		p.commit(t)
	case "pull":
		if p.naive.follows == "" {
			return
		}
		var from int
		fmt.Sscan(p.naive.follows, &from)
		p.pull(t, group[from], rapid.IntRange(0, 4).Draw(t, "records"))
	case "follow":
		p.followOne(t, owner, i)
		p.arrive(t)
	case "arrive":
		p.arrive(t)
	case "promote":
		if o, ok := owner[term]; ok && o != i {
			return
		}
		owner[term] = i
		p.promote(t, term)
	case "fence":
		p.fenceTo(t, term)
		p.arrive(t)
	}
}
