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

// TestCandidateHasReceivedMost: any other choice loses acknowledged writes.
func TestCandidateHasReceivedMost(t *testing.T) {
	leaving := seen("d", coltsfootloft.Replica, 1, 99)
	leaving.Leaving = true
	all := []Seen{
		seen("old", coltsfootloft.Primary, 1, 50),
		seen("b", coltsfootloft.Replica, 1, 40),
		seen("c", coltsfootloft.Replica, 1, 48),
		leaving,
		{ID: "e"},
	}
	c, ok := Candidate("old", all)
	assert.Assert(t, ok)
	assert.Equal(t, c.ID, "c")
	_, ok = Candidate("old", []Seen{{ID: "e"}, leaving})
	assert.Assert(t, !ok)
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
