package dbase

import (
	"coltsfootloft"
)

// change is one writing statement of a transaction.
type change struct {
	Text string
	Args []any
	// Schema is set if the statement changes tables.
	Schema bool
}

// record is one record of the log: a committed transaction, or with no changes
// the start of a term.
type record struct {
	Counter  uint64
	Proposer string
	Offset   uint64
	Changes  []change
}

func (r *record) term() coltsfootloft.Term { return coltsfootloft.NewTerm(r.Counter, r.Proposer) }

// run is a part of the log whose records have one term.
type run struct {
	Counter  uint64
	Proposer string
	First    uint64
	Last     uint64
}

// ledger is the state of a database that its group agrees by: its log, its
// fence term and its role. It does no I/O and is not safe for concurrent use.
type ledger struct {
	role  coltsfootloft.Role
	fence coltsfootloft.Term
	// reign is the term of the primary's own promotion.
	reign coltsfootloft.Term
	// followed and primary are the term and name that a replica follows.
	followed coltsfootloft.Term
	primary  string

	log     []*record
	runs    []run
	applied uint64
	// epoch changes whenever replication must start anew.
	epoch uint64
	// met holds the names of the databases that this one has shared its log with.
	met map[string]bool
}

// meet notes a database that shares the log, and reports whether it is new.
func (l *ledger) meet(name string) bool {
	if l.met[name] {
		return false
	}
	if l.met == nil {
		l.met = make(map[string]bool)
	}
	l.met[name] = true
	return true
}

// received is the position of the newest record.
func (l *ledger) received() coltsfootloft.Position { return l.position(uint64(len(l.log))) }

func (l *ledger) position(offset uint64) coltsfootloft.Position {
	if offset == 0 {
		return coltsfootloft.Position{}
	}
	return coltsfootloft.NewPosition(l.log[offset-1].term(), offset)
}

// reading is what the database reports.
func (l *ledger) reading(version uint64) coltsfootloft.Reading {
	r := coltsfootloft.NewReading(l.role, l.fence, l.received(), l.position(l.applied))
	return r.WithPrimary(l.primary).WithVersion(version)
}

// writable reports whether a transaction of this reign may commit.
func (l *ledger) writable(reign coltsfootloft.Term) bool {
	return l.role == coltsfootloft.Primary && l.reign == l.fence && l.reign == reign
}

// raise sets the fence term; above the followed term replication ends.
func (l *ledger) raise(term coltsfootloft.Term) error {
	switch term.Compare(l.fence) {
	case -1:
		return failure(codeFenced, "term %s is below the fence term %s", term, l.fence)
	case 1:
		l.fence = term
		l.followed = coltsfootloft.Term{}
		l.primary = ""
		l.epoch++
	}
	return nil
}

// startPromotion raises the fence and ends replication, so that the log stays as
// it is until it is applied. It reports whether the database reigns already.
func (l *ledger) startPromotion(term coltsfootloft.Term) (reigns bool, err error) {
	if l.role == coltsfootloft.Primary && l.reign == term && l.fence == term {
		return true, nil
	}
	if l.followed == term && l.primary != "" {
		return false, failure(codeFenced, "database follows %s in term %s", l.primary, term)
	}
	if err := l.raise(term); err != nil {
		return false, err
	}
	if l.received().Term() == term {
		return false, failure(codeFenced, "term %s has records of another primary", term)
	}
	l.role = coltsfootloft.Replica
	l.epoch++
	return false, nil
}

// finishPromotion writes the first record of term once all others are applied.
func (l *ledger) finishPromotion(term coltsfootloft.Term) (*record, error) {
	if l.fence != term || l.primary != "" {
		return nil, failure(codeFenced, "term %s was overtaken by term %s", term, l.fence)
	}
	if l.applied != uint64(len(l.log)) {
		return nil, failure(codeInternal, "promotion before the log was applied")
	}
	l.role = coltsfootloft.Primary
	l.reign = term
	return l.write(nil), nil
}

// follow makes the database a replica of primary in term.
func (l *ledger) follow(term coltsfootloft.Term, primary string) error {
	if l.role == coltsfootloft.Primary && l.reign == term {
		return failure(codeFenced, "database is the primary of term %s", term)
	}
	if l.followed == term && l.primary == primary && l.fence == term {
		return nil
	}
	if err := l.raise(term); err != nil {
		return err
	}
	l.role = coltsfootloft.Replica
	l.followed = term
	l.primary = primary
	l.epoch++
	return nil
}

// write appends a record of the primary's own reign and counts it as applied.
func (l *ledger) write(changes []change) *record {
	r := &record{
		Counter:  l.reign.Counter(),
		Proposer: l.reign.Proposer(),
		Offset:   uint64(len(l.log)) + 1,
		Changes:  changes,
	}
	l.add(r)
	l.applied = r.Offset
	return r
}

// undo takes back the last write.
func (l *ledger) undo() {
	l.applied--
	l.cut(l.applied)
}

// take appends a record of the followed primary, unless replication of this
// epoch has ended or the record does not come next.
func (l *ledger) take(epoch uint64, r *record) bool {
	if !l.replicates(epoch) || r.Offset != uint64(len(l.log))+1 || l.received().Term().Compare(r.term()) > 0 {
		return false
	}
	l.add(r)
	return true
}

// replicates reports whether records that were asked for in this epoch count.
func (l *ledger) replicates(epoch uint64) bool {
	return l.epoch == epoch && l.primary != "" && l.followed == l.fence
}

func (l *ledger) add(r *record) {
	l.log = append(l.log, r)
	if n := len(l.runs); n > 0 && l.runs[n-1].Counter == r.Counter && l.runs[n-1].Proposer == r.Proposer {
		l.runs[n-1].Last = r.Offset
		return
	}
	l.runs = append(l.runs, run{
		Counter:  r.Counter,
		Proposer: r.Proposer,
		First:    r.Offset,
		Last:     r.Offset,
	})
}

// cut drops all records above offset and reports whether applied ones are among
// them, so that the data must be rebuilt.
func (l *ledger) cut(offset uint64) (rebuild bool) {
	l.log = l.log[:offset:offset]
	for n := len(l.runs); n > 0 && l.runs[n-1].Last > offset; n-- {
		l.runs[n-1].Last = offset
		if l.runs[n-1].First > offset {
			l.runs = l.runs[:n-1]
		}
	}
	if l.applied <= offset {
		return false
	}
	l.applied = 0
	return true
}

// common is the greatest offset up to which two logs are the same. Two runs of
// one term that start at the same offset were written by the same primary.
func common(a, b []run) uint64 {
	var best uint64
	for _, x := range a {
		for _, y := range b {
			if x.Counter == y.Counter && x.Proposer == y.Proposer && x.First == y.First {
				best = max(best, min(x.Last, y.Last))
			}
		}
	}
	return best
}
