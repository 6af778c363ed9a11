package leader

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// fleet is a model of a group with one synchronous replica: its databases crash and come back with or without
// their logs, soon or late, and replicas receive nothing for a while.
type fleet struct {
	random  *rand.Rand
	now     int
	record  Record
	members map[string]*member
	acked   uint64
	started int64
}

type member struct {
	log      uint64
	started  int64
	down     int // until when
	downFrom int
	empties  bool // comes back without its log
	paused   int  // until when it receives nothing
}

// forgets is how long a steward knows a database whose entry is gone, and gone how long after a crash it is gone.
const forgets, gone = 40, 8

func newGroup(seed uint64) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(seed, 1)),
		members: make(map[string]*member),
		record:  Record{Epoch: 1, Primary: "a", Term: 1},
	}
	for _, id := range ids {
		f.started++
		f.members[id] = &member{started: f.started}
	}
	return f
}

func (f *fleet) isUp(id string) bool { return f.members[id].down <= f.now }

// step passes one unit of time, in which the primary may commit.
func (f *fleet) step() {
	f.now++
	for _, id := range ids {
		m := f.members[id]
		if m.down == f.now {
			f.started++
			m.started = f.started
			if m.empties {
				m.log = 0
			}
		}
		switch f.random.IntN(120) {
		case 0:
			m.downFrom = f.now
			m.down = f.now + 1 + f.random.IntN(3*forgets)
			m.empties = id != f.record.Primary && f.random.IntN(4) == 0
		case 1:
			m.paused = f.now + f.random.IntN(forgets)
		}
	}
	if !f.isUp(f.record.Primary) {
		return
	}
	p := f.members[f.record.Primary]
	p.log++
	received := false
	for _, id := range ids {
		if m := f.members[id]; id != f.record.Primary && f.isUp(id) && m.paused <= f.now {
			m.log = p.log
			received = true
		}
	}
	if received {
		f.acked = p.log
	}
}

// statuses returns what a steward sees, which may have started after entries were gone.
func (f *fleet) statuses(fresh bool) []Status {
	var all []Status
	for _, id := range ids {
		m := f.members[id]
		isGone := !f.isUp(id) && f.now-m.downFrom > gone
		forgotten := isGone && (fresh || f.now-m.downFrom > forgets)
		if _, listed := f.record.Members[id]; forgotten && !listed {
			continue
		}
		s := status(id, coltsfootloft.Replica, 1, m.log)
		if id == f.record.Primary {
			s.Health.Role = coltsfootloft.Primary
		}
		s.Answered = f.isUp(id)
		s.Gone = isGone
		s.Started = m.started
		if forgotten {
			s.Started = f.record.Members[id]
		}
		all = append(all, s)
	}
	return all
}

// TestSuccessorHasAcknowledgedCommitsOfReplicasThatAreGone guards against the promotion of a replica that lacks
// acknowledged commits, when the replica that has them is gone, for a moment or longer than stewards remember it, or
// comes back without its log.
func TestSuccessorHasAcknowledgedCommitsOfReplicasThatAreGone(t *testing.T) {
	promoted, waited := 0, 0
	for seed := range uint64(2000) {
		f := newGroup(seed)
		f.record.Members = f.record.UpdatedMembers(f.statuses(false), coltsfootloft.Position{}, 1)
		for range 600 {
			f.step()
			all := f.statuses(f.random.IntN(3) == 0)
			if f.isUp(f.record.Primary) {
				p := f.members[f.record.Primary]
				f.record.Members = f.record.UpdatedMembers(all, coltsfootloft.NewPosition(coltsfootloft.NewTerm(1, ""), p.log), 1)
				continue
			}
			s, ok := f.record.Successor(all, 1)
			if !ok {
				waited++
				continue
			}
			promoted++
			assert.Assert(t, s.Health.Received.Offset() >= f.acked, "seed %d at %d: %s has %d of %d acknowledged: %+v %+v", seed, f.now, s.ID,
				s.Health.Received.Offset(), f.acked, f.record, all)
			f.record = f.record.Opened(s)
			f.acked = min(f.acked, s.Health.Received.Offset())
			for _, id := range ids {
				f.members[id].log = min(f.members[id].log, s.Health.Received.Offset())
			}
		}
	}
	t.Logf("%d promoted, %d times none", promoted, waited)
	assert.Assert(t, promoted > 2000, "%d promoted", promoted)
}

// TestReplicaThatLeftIsForgotten guards against a group that has no successor because of a replica that left long
// ago, or was replaced by another one.
func TestReplicaThatLeftIsForgotten(t *testing.T) {
	r := Record{Primary: "a", Members: map[string]int64{"a": 1, "b": 1, "c": 1}}
	primary := status("a", coltsfootloft.Primary, 1, 10)
	left := Status{ID: "b", Gone: true, Started: 1}
	stays := status("c", coltsfootloft.Replica, 1, 9)
	primary.Started = 1
	stays.Started = 1
	known := r.UpdatedMembers([]Status{primary, left, stays}, primary.Health.Received, 1)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(known)), []string{"a", "b", "c"}) // "c" is behind
	stays.Health.Received = primary.Health.Received
	known = r.UpdatedMembers([]Status{primary, left, stays}, primary.Health.Received, 1)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(known)), []string{"a", "c"})
	r.Members = known
	_, ok := r.Successor([]Status{{ID: "a"}, left, stays}, 1)
	assert.Assert(t, ok)
}

// TestPrimaryWithoutSuccessorIsKept guards against a primary that is demoted although nothing may take its place,
// after which the group has none until a replica is back.
func TestPrimaryWithoutSuccessorIsKept(t *testing.T) {
	r := Record{Epoch: 1, Primary: "a", Term: 1}.Closed(true)
	all := []Status{status("a", coltsfootloft.Primary, 1, 10), status("b", coltsfootloft.Replica, 1, 5), {ID: "c"}}
	old, ok := r.MayKeep(all, 1)
	assert.Assert(t, ok && old.ID == "a")
	_, ok = r.MayKeep(all, 0)
	assert.Assert(t, !ok, "without synchronous replicas the best one takes over")
	_, ok = r.Ordered("b", false).MayKeep(all, 1)
	assert.Assert(t, !ok, "another database may lead any moment")
	all[1] = status("b", coltsfootloft.Replica, 1, 10)
	_, ok = r.MayKeep(all, 1)
	assert.Assert(t, !ok, "it has caught up")
}

// TestReturnedPrimaryMayHaveLostItsLog guards against the promotion of a replica that is behind because the old
// primary, which came back without its log, seems to have no more.
func TestReturnedPrimaryMayHaveLostItsLog(t *testing.T) {
	r := Record{Primary: "a", Members: map[string]int64{"a": 1, "b": 1, "c": 1}}
	old := status("a", coltsfootloft.Replica, 1, 5)
	old.Started = 1
	behind := status("b", coltsfootloft.Replica, 1, 5)
	behind.Started = 1
	_, ok := r.Successor([]Status{old, behind, {ID: "c", Started: 1}}, 1)
	assert.Assert(t, ok)
	old.Started = 2
	_, ok = r.Successor([]Status{old, behind, {ID: "c", Started: 1}}, 1)
	assert.Assert(t, !ok)
}
