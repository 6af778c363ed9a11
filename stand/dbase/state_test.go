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

// model is a simple model of a database as DESIGN.md specifies it. It holds only
// the log, the fence and the followed primary. log holds the term of each record,
// marks its unique content.
type model struct {
	log         []coltsfootloft.Term
	marks       []int
	fence       coltsfootloft.Term
	primaryTerm coltsfootloft.Term
	primary     bool
	follows     string
	followed    coltsfootloft.Term
	// epoch counts the changes that end replication.
	epoch int
}

// pair is a database as a replState and as a model.
type pair struct {
	real  *replState
	model *model
	// next is the latest content of a record. The pairs of a group share it, so
	// that contents are unique.
	next *int
	// late is a record in flight: sent, but not yet received.
	late *lateRecord
}

type lateRecord struct {
	record     *record
	epoch      uint64
	modelEpoch int
}

func (p *pair) content(r *record) int { return int(r.Changes[0].Args[0].(int64)) }

func (p *pair) fenceTo(t *rapid.T, term coltsfootloft.Term) {
	err := p.real.raiseFence(term)
	assert.Equal(t, err != nil, term.Compare(p.model.fence) < 0)
	if err == nil && term.Compare(p.model.fence) > 0 {
		p.model.fence = term
		p.model.follows = ""
		p.model.epoch++
	}
}

func (p *pair) promote(t *rapid.T, term coltsfootloft.Term) {
	n := p.model
	isPrimary, err := p.real.startPromotion(term)
	switch {
	case n.primary && n.primaryTerm == term && n.fence == term:
		assert.NilError(t, err)
		assert.Assert(t, isPrimary)
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
	n.fence, n.primaryTerm, n.primary, n.follows = term, term, true, ""
	n.epoch++
	n.log = append(n.log, term)
	n.marks = append(n.marks, *p.next)
}

// mark gives a record a unique content.
func (p *pair) mark(r *record) {
	*p.next++
	r.Changes = []change{{
		Args: []any{int64(*p.next)},
	}}
}

func (p *pair) follow(t *rapid.T, term coltsfootloft.Term, primary string) {
	n := p.model
	err := p.real.follow(term, primary)
	refused := term.Compare(n.fence) < 0 || n.primary && n.primaryTerm == term
	assert.Equal(t, err != nil, refused)
	if !refused {
		if n.followed != term || n.follows != primary || n.primary {
			n.epoch++
		}
		n.fence, n.followed, n.follows, n.primary = term, term, primary, false
	}
}

func (p *pair) commit(t *rapid.T) {
	n := p.model
	ok := p.real.writable(p.real.primaryTerm)
	assert.Equal(t, ok, n.primary && n.fence == n.primaryTerm)
	if ok {
		p.mark(p.real.write(nil))
		n.log = append(n.log, n.primaryTerm)
		n.marks = append(n.marks, *p.next)
	}
}

// pull replicates up to the given number of records. The model compares
// whole logs by content.
func (p *pair) pull(t *rapid.T, from *pair, most int) {
	n, source := p.model, from.model
	live := n.follows != "" && n.followed == n.fence && source.primary && source.primaryTerm == n.followed
	replicates := p.real.replicates(p.real.epoch) && from.real.role == coltsfootloft.Primary && from.real.primaryTerm == p.real.followed
	assert.Equal(t, replicates, live)
	if !live {
		return
	}
	same := 0
	for same < min(len(n.marks), len(source.marks)) && n.marks[same] == source.marks[same] {
		same++
	}
	at := commonPrefix(from.real.runs, p.real.runs)
	assert.Equal(t, at, uint64(same))
	p.real.truncate(at)
	n.log, n.marks = n.log[:same:same], n.marks[:same:same]
	end := min(len(source.log), same+most)
	n.log = append(n.log, source.log[same:end]...)
	n.marks = append(n.marks, source.marks[same:end]...)
	for _, r := range from.real.log[at:end] {
		assert.Assert(t, p.real.appendReceived(p.real.epoch, r))
	}
	p.real.applied = uint64(len(p.real.log))
	if end < len(source.log) {
		p.late = &lateRecord{
			record:     from.real.log[end],
			epoch:      p.real.epoch,
			modelEpoch: n.epoch,
		}
	}
}

// arrive delivers the late record. It must be appended only if the replication that
// it was sent in has not ended and it is the next record.
func (p *pair) arrive(t *rapid.T) {
	l, n := p.late, p.model
	if l == nil {
		return
	}
	p.late = nil
	want := l.modelEpoch == n.epoch && n.follows != "" && l.record.Offset == uint64(len(n.log)+1)
	assert.Equal(t, p.real.appendReceived(l.epoch, l.record), want)
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
	assert.Equal(t, len(p.real.log), len(p.model.log))
	for i, r := range p.real.log {
		assert.Equal(t, r.term(), p.model.log[i])
		assert.Equal(t, p.content(r), p.model.marks[i])
		assert.Equal(t, r.Offset, uint64(i+1))
	}
	r := p.real.reading(0)
	assert.Equal(t, r.Fence(), p.model.fence)
	assert.Equal(t, r.Role() == coltsfootloft.Primary, p.model.primary)
	assert.Equal(t, r.Primary(), p.model.follows)
}

// TestReplStateAgainstModel runs random histories of three databases. As in the
// product, every promotion has its own term.
func TestReplStateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := 0
		group := make([]*pair, 3)
		for i := range group {
			group[i] = &pair{
				real:  &replState{},
				model: &model{},
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
		if p.model.follows == "" {
			return
		}
		var from int
		fmt.Sscan(p.model.follows, &from)
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
