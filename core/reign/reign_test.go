package reign

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func seen(id string, role coltsfootloft.Role, term, received uint64) Seen {
	return Seen{
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
	assert.Equal(t, got, r)
	assert.Assert(t, !r.IsOpen())
	assert.Assert(t, !Record{}.IsOpen(), "a record that nobody opened")
	_, err = Decode([]byte("{"))
	assert.ErrorContains(t, err, "record of a group")
}

// TestSuccessorHasReceivedMost: any other choice loses acknowledged writes.
func TestSuccessorHasReceivedMost(t *testing.T) {
	leaving := seen("d", coltsfootloft.Replica, 1, 99)
	leaving.Leaving = true
	all := []Seen{
		seen("old", coltsfootloft.Primary, 1, 50),
		seen("b", coltsfootloft.Replica, 1, 40),
		seen("c", coltsfootloft.Replica, 1, 48),
		leaving,
		{ID: "e"},
	}
	old := Record{Primary: "old"}
	c, ok := old.Successor(all)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "c")
	_, ok = old.Successor([]Seen{{ID: "e"}, leaving})
	assert.Assert(t, !ok)
}

// TestPartedLogIsTheLastChoice: the primary of term 4 was replaced with a log of 292
// records, and went on to 296 before it heard of it. Promoted again it would bring
// back four that reads of term 5 have not seen.
func TestPartedLogIsTheLastChoice(t *testing.T) {
	r := Record{
		Primary: "now",
		Term:    5,
		Start:   292,
	}
	parted := seen("parted", coltsfootloft.Primary, 4, 296)
	behind := seen("behind", coltsfootloft.Replica, 4, 280)
	c, ok := r.Successor([]Seen{parted, behind})
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "behind")
	c, _ = r.Successor([]Seen{parted, behind, seen("with", coltsfootloft.Replica, 5, 293)})
	assert.Equal(t, c.ID, "with")
	c, _ = r.Successor([]Seen{parted})
	assert.Equal(t, c.ID, "parted")
	c, _ = r.Successor([]Seen{seen("whole", coltsfootloft.Replica, 4, 292), behind})
	assert.Equal(t, c.ID, "whole")
}

func TestLeaderHasTheNewestTerm(t *testing.T) {
	l, ok := Leader([]Seen{
		seen("old", coltsfootloft.Primary, 1, 50),
		seen("new", coltsfootloft.Primary, 2, 40),
		seen("c", coltsfootloft.Replica, 3, 60),
	})
	assert.Assert(t, ok)
	assert.Equal(t, l.ID, "new")
	_, ok = Leader(nil)
	assert.Assert(t, !ok)
}

func TestMostHostsDecide(t *testing.T) {
	var v Vote
	assert.Assert(t, !v.IsLost(), "nobody answered")
	v.Add(false)
	assert.Assert(t, v.IsLost())
	v.Add(true)
	assert.Assert(t, !v.IsLost(), "half is not most")
}
