package leader

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func status(id string, role coltsfootloft.Role, term, received uint64) Status {
	return Status{
		ID:       id,
		Answered: true,
		Health: coltsfootloft.Health{
			Role:     role,
			Term:     term,
			Received: coltsfootloft.NewPosition(coltsfootloft.NewTerm(term, ""), received),
		},
	}
}

func TestRecordSurvivesTheStore(t *testing.T) {
	r := Record{
		Epoch:     3,
		Primary:   "a",
		Term:      4,
		Start:     296,
		Closing:   true,
		Candidate: "b",
	}
	got, err := Decode(r.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	assert.Assert(t, !r.IsOpen())
	assert.Assert(t, !Record{}.IsOpen(), "a record that was never opened")
	_, err = Decode([]byte("{"))
	assert.ErrorContains(t, err, "record of a group")
}

// TestSuccessorHasReceivedMost: promoting any other replica loses acknowledged
// writes.
func TestSuccessorHasReceivedMost(t *testing.T) {
	leaving := status("d", coltsfootloft.Replica, 1, 99)
	leaving.Leaving = true
	all := []Status{
		status("old", coltsfootloft.Primary, 1, 50),
		status("b", coltsfootloft.Replica, 1, 40),
		status("c", coltsfootloft.Replica, 1, 48),
		leaving,
		{ID: "e"},
	}
	old := Record{Primary: "old"}
	c, ok := old.Successor(all, 0)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "c")
	_, ok = old.Successor([]Status{{ID: "e"}, leaving}, 0)
	assert.Assert(t, !ok)
}

// TestSuccessorHasEveryAcknowledgedCommit guards against the loss of commits that only a
// replica which leaves, or is silent, has received.
func TestSuccessorHasEveryAcknowledgedCommit(t *testing.T) {
	r := Record{Primary: "old"}
	behind := status("behind", coltsfootloft.Replica, 1, 10)
	leaving := status("leaving", coltsfootloft.Replica, 1, 99)
	leaving.Leaving = true
	silent := Status{ID: "silent"}
	gone := Status{
		ID:   "gone",
		Gone: true,
	}
	c, ok := r.Successor([]Status{{ID: "old"}, behind, leaving}, 1)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "leaving")
	stays := status("stays", coltsfootloft.Replica, 1, 99)
	_, ok = r.Successor([]Status{{ID: "old"}, leaving, stays, gone}, 1)
	assert.Assert(t, !ok, "the one that is gone may come back with a commit that it alone has")
	forgotten := r
	forgotten.Members = map[string]int64{"leaving": 0, "stays": 0}
	c, ok = forgotten.Successor([]Status{{ID: "old"}, leaving, stays, gone}, 1)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "stays", "one that leaves is not better than one that stays")
	_, ok = r.Successor([]Status{{ID: "old"}, behind, silent}, 1)
	assert.Assert(t, !ok, "the silent one alone may have a commit")
	c, ok = r.Successor([]Status{{ID: "old"}, behind, leaving, silent}, 2)
	assert.Assert(t, ok, "of two that have a commit, one answers")
	assert.Equal(t, c.ID, "leaving")
	c, ok = r.Successor([]Status{status("old", coltsfootloft.Replica, 1, 99), stays, silent}, 1)
	assert.Assert(t, ok, "it has all that the old primary has")
	assert.Equal(t, c.ID, "stays")
	_, ok = r.Successor([]Status{status("old", coltsfootloft.Replica, 1, 99), behind, silent}, 1)
	assert.Assert(t, !ok)
}

// TestDivergedLogIsTheLastChoice: the primary of term 4 was replaced when its log
// had 292 records, and wrote up to 296 before it learned of that. Promoting it
// again would bring back four records that reads of term 5 have not seen.
func TestDivergedLogIsTheLastChoice(t *testing.T) {
	r := Record{
		Primary: "now",
		Term:    5,
		Start:   292,
	}
	diverged := status("parted", coltsfootloft.Primary, 4, 296)
	behind := status("behind", coltsfootloft.Replica, 4, 280)
	c, ok := r.Successor([]Status{diverged, behind}, 0)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "behind")
	c, _ = r.Successor([]Status{diverged, behind, status("with", coltsfootloft.Replica, 5, 293)}, 0)
	assert.Equal(t, c.ID, "with")
	c, _ = r.Successor([]Status{diverged}, 0)
	assert.Equal(t, c.ID, "parted")
	c, _ = r.Successor([]Status{status("whole", coltsfootloft.Replica, 4, 292), behind}, 0)
	assert.Equal(t, c.ID, "whole")
}

func TestLeaderHasTheNewestTerm(t *testing.T) {
	l, ok := FindPrimary([]Status{
		status("old", coltsfootloft.Primary, 1, 50),
		status("new", coltsfootloft.Primary, 2, 40),
		status("c", coltsfootloft.Replica, 3, 60),
	})
	assert.Assert(t, ok)
	assert.Equal(t, l.ID, "new")
	_, ok = FindPrimary(nil)
	assert.Assert(t, !ok)
}

func TestMostHostsDecide(t *testing.T) {
	var v Vote
	assert.Assert(t, !v.IsUnreachable(), "no host has answered")
	v.Add(false)
	assert.Assert(t, v.IsUnreachable())
	v.Add(true)
	assert.Assert(t, !v.IsUnreachable(), "half of the hosts is not a majority")
}

// TestNewestRecordIsFound guards against going on from an older record when the store has lost
// the newest one: hosts may use the primary of a later one.
func TestNewestRecordIsFound(t *testing.T) {
	steps := []Record{
		{},
		{Epoch: 1, Primary: "a"},
		{Epoch: 1, Primary: "a", Closing: true},
		{Epoch: 1, Primary: "a", Closing: true, Candidate: "b"},
		{Epoch: 1, Primary: "a", Closing: true, Candidate: "c", Pending: []string{"b", "c"}, Calls: 2},
		{Epoch: 2, Primary: "b"},
	}
	for i, earlier := range steps {
		assert.Assert(t, !earlier.Supersedes(earlier))
		for _, later := range steps[i+1:] {
			assert.Assert(t, later.Supersedes(earlier))
			assert.Assert(t, !earlier.Supersedes(later))
		}
	}
}

// TestWarmSuccessorIsPreferred guards against a cold replica that is promoted although a warm one has
// received as much or may still, and against commits that are lost for a warm one.
func TestWarmSuccessorIsPreferred(t *testing.T) {
	cold := status("b", coltsfootloft.Replica, 1, 48)
	cold.Cold = true
	r := Record{Primary: "old"}
	warm := status("c", coltsfootloft.Replica, 1, 48)
	best, ok := r.Successor([]Status{cold, warm}, 0)
	assert.Assert(t, ok && best.ID == "c", best.ID)
	assert.Assert(t, !r.HasWarmer([]Status{cold, warm}, best))
	behind := status("c", coltsfootloft.Replica, 1, 40)
	best, ok = r.Successor([]Status{cold, behind}, 0)
	assert.Assert(t, ok && best.ID == "b", best.ID)
	assert.Assert(t, r.HasWarmer([]Status{cold, behind}, best), "it may catch up")
	old := status("old", coltsfootloft.Primary, 1, 48)
	leaving := status("d", coltsfootloft.Replica, 1, 48)
	leaving.Leaving = true
	best, ok = r.Successor([]Status{old, cold, leaving, {ID: "e"}}, 0)
	assert.Assert(t, ok && best.ID == "b" && !r.HasWarmer([]Status{old, cold, leaving, {ID: "e"}}, best), "there is no warm one")
}
