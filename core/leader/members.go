package leader

import (
	"maps"

	"coltsfootloft"
)

// UpdatedMembers returns the members to record while the primary answers, given the statuses of all databases, read after the
// primary had the position received, and how many replicas receive a commit before it is acknowledged.
//
// Databases that are announced are members. One that is gone, or has started anew, may have been the only replica
// with an acknowledged commit, so it is kept with its former start until all others have received what the primary had
// since.
func (r Record) UpdatedMembers(all []Status, received coltsfootloft.Position, sync int) map[string]int64 {
	known := make(map[string]int64)
	caught := 0
	behind := false
	for _, s := range all {
		if s.Gone && !s.Answered {
			continue
		}
		known[s.ID] = s.Started
		if s.ID == r.Primary {
			continue
		}
		if !s.Answered || s.Health.Received.Compare(received) < 0 {
			behind = true
			continue
		}
		caught++
	}
	if behind || caught < sync {
		// Former starts go before present ones.
		maps.Copy(known, r.Members)
	}
	return known
}

// HasMembers reports whether the record lists exactly these databases, with their starts.
func (r Record) HasMembers(announced map[string]int64) bool { return maps.Equal(r.Members, announced) }
