package dbase

import (
	"coltsfootloft"
)

// change is a writing statement of a transaction.
type change struct {
	Text string
	Args []any
	// Schema is set if the statement changes the schema.
	Schema bool
}

// record is a record of the replication log: a committed transaction or, without
// changes, the start of a term.
type record struct {
	Counter  uint64
	Proposer string
	Offset   uint64
	Changes  []change
}

func (r *record) term() coltsfootloft.Term { return coltsfootloft.NewTerm(r.Counter, r.Proposer) }

// run is a contiguous part of the log whose records have the same term. First and
// Last are offsets.
type run struct {
	Counter  uint64
	Proposer string
	First    uint64
	Last     uint64
}

// replState is the replication state of a database: its log, its fence term and
// its role. It does no I/O and is not safe for concurrent use.
type replState struct {
	role  coltsfootloft.Role
	fence coltsfootloft.Term
	// primaryTerm is the term in which this database last became the primary.
	primaryTerm coltsfootloft.Term
	// followed and primary are the term and the name of the primary that a replica
	// follows.
	followed coltsfootloft.Term
	primary  string

	log     []*record
	runs    []run
	applied uint64
	// epoch is incremented whenever replication must be restarted.
	epoch uint64
	// knownPeers holds the names of the databases that this one has replicated
	// with.
	knownPeers map[string]bool
}

// addPeer adds a database to the known peers and reports whether it is new.
func (st *replState) addPeer(name string) bool {
	if st.knownPeers[name] {
		return false
	}
	if st.knownPeers == nil {
		st.knownPeers = make(map[string]bool)
	}
	st.knownPeers[name] = true
	return true
}

// received returns the position of the newest record.
func (st *replState) received() coltsfootloft.Position { return st.position(uint64(len(st.log))) }

func (st *replState) position(offset uint64) coltsfootloft.Position {
	if offset == 0 {
		return coltsfootloft.Position{}
	}
	return coltsfootloft.NewPosition(st.log[offset-1].term(), offset)
}

// reading returns the state as the database reports it to the platform.
func (st *replState) reading(version uint64) coltsfootloft.Reading {
	r := coltsfootloft.NewReading(st.role, st.fence, st.received(), st.position(st.applied))
	return r.WithPrimary(st.primary).WithVersion(version)
}

// writable reports whether a transaction that began in term may commit.
func (st *replState) writable(term coltsfootloft.Term) bool {
	return st.role == coltsfootloft.Primary && st.primaryTerm == st.fence && st.primaryTerm == term
}

// raiseFence sets the fence term. A higher term than before ends replication, a
// lower one is refused.
func (st *replState) raiseFence(term coltsfootloft.Term) error {
	switch term.Compare(st.fence) {
	case -1:
		return sqlErrorf(codeFenced, "term %s is below the fence term %s", term, st.fence)
	case 1:
		st.fence = term
		st.followed = coltsfootloft.Term{}
		st.primary = ""
		st.epoch++
	}
	return nil
}

// startPromotion raises the fence and ends replication, so that the log does not
// change until it is applied. It reports whether the database is the primary of
// this term already.
func (st *replState) startPromotion(term coltsfootloft.Term) (isPrimary bool, err error) {
	if st.role == coltsfootloft.Primary && st.primaryTerm == term && st.fence == term {
		return true, nil
	}
	if st.followed == term && st.primary != "" {
		return false, sqlErrorf(codeFenced, "database follows %s in term %s", st.primary, term)
	}
	if err := st.raiseFence(term); err != nil {
		return false, err
	}
	if st.received().Term() == term {
		return false, sqlErrorf(codeFenced, "term %s has records of another primary", term)
	}
	st.role = coltsfootloft.Replica
	st.epoch++
	return false, nil
}

// finishPromotion makes the database the primary of term and writes the first
// record of the term. All other records must have been applied.
func (st *replState) finishPromotion(term coltsfootloft.Term) (*record, error) {
	if st.fence != term || st.primary != "" {
		return nil, sqlErrorf(codeFenced, "term %s was overtaken by term %s", term, st.fence)
	}
	if st.applied != uint64(len(st.log)) {
		return nil, sqlErrorf(codeInternal, "promotion before the log was applied")
	}
	st.role = coltsfootloft.Primary
	st.primaryTerm = term
	return st.write(nil), nil
}

// follow makes the database a replica of primary in term.
func (st *replState) follow(term coltsfootloft.Term, primary string) error {
	if st.role == coltsfootloft.Primary && st.primaryTerm == term {
		return sqlErrorf(codeFenced, "database is the primary of term %s", term)
	}
	if st.followed == term && st.primary == primary && st.fence == term {
		return nil
	}
	if err := st.raiseFence(term); err != nil {
		return err
	}
	st.role = coltsfootloft.Replica
	st.followed = term
	st.primary = primary
	st.epoch++
	return nil
}

// write appends a record of the primary's own term and counts it as applied.
func (st *replState) write(changes []change) *record {
	r := &record{
		Counter:  st.primaryTerm.Counter(),
		Proposer: st.primaryTerm.Proposer(),
		Offset:   uint64(len(st.log)) + 1,
		Changes:  changes,
	}
	st.add(r)
	st.applied = r.Offset
	return r
}

// undo reverts the last write.
func (st *replState) undo() {
	st.applied--
	st.truncate(st.applied)
}

// appendReceived appends a record of the followed primary. It reports false if
// replication of this epoch has ended, or if the record is not the next one or has
// a lower term than the last one.
func (st *replState) appendReceived(epoch uint64, r *record) bool {
	if !st.replicates(epoch) || r.Offset != uint64(len(st.log))+1 || st.received().Term().Compare(r.term()) > 0 {
		return false
	}
	st.add(r)
	return true
}

// replicates reports whether records requested in this epoch may be appended.
func (st *replState) replicates(epoch uint64) bool {
	return st.epoch == epoch && st.primary != "" && st.followed == st.fence
}

func (st *replState) add(r *record) {
	st.log = append(st.log, r)
	if n := len(st.runs); n > 0 && st.runs[n-1].Counter == r.Counter && st.runs[n-1].Proposer == r.Proposer {
		st.runs[n-1].Last = r.Offset
		return
	}
	st.runs = append(st.runs, run{
		Counter:  r.Counter,
		Proposer: r.Proposer,
		First:    r.Offset,
		Last:     r.Offset,
	})
}

// truncate drops all records above offset. It reports whether some of them had
// been applied, so that the data must be rebuilt.
func (st *replState) truncate(offset uint64) (rebuild bool) {
	st.log = st.log[:offset:offset]
	for n := len(st.runs); n > 0 && st.runs[n-1].Last > offset; n-- {
		st.runs[n-1].Last = offset
		if st.runs[n-1].First > offset {
			st.runs = st.runs[:n-1]
		}
	}
	if st.applied <= offset {
		return false
	}
	st.applied = 0
	return true
}

// commonPrefix returns the greatest offset up to which two logs are equal. Two
// runs of one term that start at the same offset were written by the same primary.
func commonPrefix(a, b []run) uint64 {
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
