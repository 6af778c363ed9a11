package quota

import (
	"time"

	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// unknownAge is the age of what another host has never known.
const unknownAge = 24 * time.Hour

// encodeEvacuations returns what this host knows of failure domains, for another host. Without
// absences it holds only domains that are or were evacuated.
func encodeEvacuations(domains []mirror.DomainState, absences bool) []*quotapb.Evacuation {
	var r []*quotapb.Evacuation
	for _, s := range domains {
		if !absences && s.Revision == 0 && s.Ended == 0 {
			continue
		}
		x := &quotapb.Evacuation{
			Domain:   s.Domain,
			Revision: s.Revision,
			Ended:    s.Ended,
		}
		if absences && s.Absent >= 0 {
			x.AbsentMs = s.Absent.Milliseconds() + 2
		}
		r = append(r, x)
	}
	return r
}

func decodeEvacuations(list []*quotapb.Evacuation) []mirror.DomainState {
	var r []mirror.DomainState
	for _, x := range list {
		s := mirror.DomainState{
			Domain:   x.GetDomain(),
			Revision: x.GetRevision(),
			Ended:    x.GetEnded(),
			Absent:   -1,
		}
		if x.GetAbsentMs() > 0 {
			s.Absent = ageOf(x.GetAbsentMs())
		}
		r = append(r, s)
	}
	return r
}

// ageOf returns an age that was sent in ms, plus 1 and rounded up.
func ageOf(ms int64) time.Duration {
	if ms <= 0 || ms > unknownAge.Milliseconds() {
		return unknownAge
	}
	return time.Duration(ms-1) * time.Millisecond
}
