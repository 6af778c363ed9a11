package evac

import "time"

// Absence is when a host last knew that domains were not evacuated. The zero value knows
// nothing. It is not safe for concurrent use.
type Absence struct {
	listed   time.Duration
	isListed bool
	domains  map[string]time.Duration
}

// Listed notes that the store was listed by a call sent at a time, and which domains had a key.
func (a *Absence) Listed(sent time.Duration, present map[string]bool) {
	for domain := range present {
		if at, ok := a.Last(domain); ok {
			a.set(domain, at)
		} else {
			a.set(domain, never)
		}
	}
	for domain := range a.domains {
		if !present[domain] {
			a.Note(domain, sent)
		}
	}
	a.listed = max(a.listed, sent)
	a.isListed = true
}

// never stands for a domain of which it was never known that it is not evacuated.
const never = time.Duration(-1)

func (a *Absence) set(domain string, at time.Duration) {
	if a.domains == nil {
		a.domains = make(map[string]time.Duration)
	}
	a.domains[domain] = at
}

// Note notes that a domain was not evacuated at a time.
func (a *Absence) Note(domain string, at time.Duration) {
	if last, ok := a.Last(domain); !ok || last < at {
		a.set(domain, at)
	}
}

// Last returns when the host last knew that a domain was not evacuated; ok is false if it never
// did.
func (a *Absence) Last(domain string) (at time.Duration, ok bool) {
	if at, ok := a.domains[domain]; ok {
		return at, at != never
	}
	return a.listed, a.isListed
}
