package mirror

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// maxConditions bounds the evacuation keys that a confirmation names. Deployments have a few
// failure domains; entries of other writers could name any number.
const maxConditions = 32

// DomainState is what a host knows of the evacuation of one failure domain.
type DomainState struct {
	// Domain is the failure domain.
	Domain string
	// Revision is the store's revision of the evacuation in force; 0 if there is none.
	Revision uint64
	// Ended is the revision up to which evacuations are known to be over; 0 if none is.
	Ended uint64
	// Absent is how long ago the domain was known not to be evacuated; negative if it never
	// was.
	Absent time.Duration
}

// applyEvacuation applies one change of the key that evacuates a domain. m.mu is held.
func (m *Mirror) applyEvacuation(v *View, now time.Duration, e coltsfootloft.Event) error {
	t := &v.Evacuations
	switch {
	case !t.Enabled():
		return nil
	case e.Deleted:
		t.End(e.Key, e.Revision, now)
		return nil
	case e.Err != nil:
		t.SetUnreadable(e.Key)
		if _, active := t.Get(e.Key); active {
			return errors.Wrap(e.Err, "the evacuation stays in force")
		}
		return e.Err
	}
	m.beginEvacuation(v, e.Key, e.Revision)
	if !slices.Contains(m.knownDomains(v), e.Key) {
		return errors.Errorf("evacuation of domain %q, which no database and no setting names", e.Key)
	}
	return nil
}

// applyStale uses a change that a later listing has overtaken: the evacuation in it is in force if the
// listing shows something that can't be read in place of it.
func (m *Mirror) applyStale(v *View, e coltsfootloft.Event) {
	if e.Kind == coltsfootloft.EventEvacuation && !e.Deleted && e.Err == nil && v.Evacuations.IsUnreadable(e.Key) {
		m.beginEvacuation(v, e.Key, e.Revision)
	}
}

// beginEvacuation notes an evacuation. One of an earlier era of the store than the view was
// acknowledged before the era began, so what this host has listed since does not count.
func (m *Mirror) beginEvacuation(v *View, domain string, revision uint64) {
	absent, known := m.absence.Last(domain)
	if coltsfootloft.EraOf(revision) < coltsfootloft.EraOf(v.Revision) {
		known = false
	}
	v.Evacuations.Begin(domain, revision, absent, known)
}

// replaceEvacuations applies a listing. Evacuations that it lacks have ended, unless it is of a
// later era: then the store has lost them, and they stay until the operators write and remove
// the key again. m.mu is held.
func (m *Mirror) replaceEvacuations(v *View, now time.Duration, events []coltsfootloft.Event, revision uint64) []error {
	var problems []error
	listed := make(map[string]bool)
	for _, e := range events {
		if e.Kind != coltsfootloft.EventEvacuation {
			continue
		}
		listed[e.Key] = true
		if err := m.applyEvacuation(v, now, e); err != nil {
			problems = append(problems, err)
		}
	}
	for _, domain := range v.Evacuations.Domains() {
		e, _ := v.Evacuations.Get(domain)
		switch {
		case listed[domain]:
		case coltsfootloft.EraOf(e.Revision) == coltsfootloft.EraOf(revision):
			v.Evacuations.End(domain, revision, now)
		default:
			m.Log.Info("evacuation kept, which the store has lost; write and remove its key to cancel it", "domain", domain,
				"revision", e.Revision, "era", coltsfootloft.EraOf(revision))
		}
	}
	return problems
}

// noteListing notes what a listing of the store shows: that the domains without a key are not
// evacuated.
func (m *Mirror) noteListing(sent time.Duration, events []coltsfootloft.Event) {
	if m.EvacuateBound == 0 {
		return
	}
	present := make(map[string]bool)
	for _, e := range events {
		if e.Kind == coltsfootloft.EventEvacuation {
			present[e.Key] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.absence.Listed(sent, present)
	m.evacuationsKnown = max(m.evacuationsKnown, sent)
}

// knownDomains returns the failure domains that databases, hosts or the process settings name,
// sorted. They are listed once for each published view, since each report to a quota keeper and
// each answer to one needs them.
func (m *Mirror) knownDomains(v *View) []string {
	if v.domains != nil {
		return v.domains
	}
	return m.listDomains(v)
}

func (m *Mirror) listDomains(v *View) []string {
	domains := append([]string{m.Domain}, m.Domains...)
	for _, u := range v.Upstreams {
		domains = append(domains, u.Upstream.Domain())
	}
	for _, h := range v.Hosts {
		domains = append(domains, h.Domain)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	return slices.DeleteFunc(domains, func(d string) bool { return d == "" })
}

// evacuationConditions returns the revision of the evacuation key of each domain that a
// confirmation names. It is nil if domains can't be evacuated.
func (m *Mirror) evacuationConditions(v *View) map[string]uint64 {
	if m.EvacuateBound == 0 {
		return nil
	}
	conditions := make(map[string]uint64)
	for _, domain := range append(v.Evacuations.Domains(), m.knownDomains(v)...) {
		if len(conditions) < maxConditions {
			e, _ := v.Evacuations.Get(domain)
			conditions[domain] = e.Revision
		}
	}
	return conditions
}

// noteConfirmation uses the answer to a confirmation that was sent at a time with conditions on
// evacuations.
func (m *Mirror) noteConfirmation(sent time.Duration, conditions map[string]uint64, c coltsfootloft.Confirmation) {
	if conditions == nil {
		return
	}
	m.noteAbsences(sent, conditions, c)
	if !m.differs(conditions, c.Evacuations) {
		return
	}
	m.update(0, func(v *View, now time.Duration) []error {
		var problems []error
		for _, e := range c.Evacuations {
			if !e.Deleted {
				if err := m.applyEvacuation(v, now, e); err != nil {
					problems = append(problems, err)
				}
				continue
			}
			// Another evacuation may have begun since the call was sent.
			if held, ok := v.Evacuations.Get(e.Key); ok && held.Revision == conditions[e.Key] {
				v.Evacuations.EndIfAbsent(e.Key, coltsfootloft.EraOf(e.Revision), now)
			}
		}
		return problems
	})
}

// noteAbsences notes which domains a confirmation has shown not to be evacuated when it was sent: those
// whose condition of 0 held.
func (m *Mirror) noteAbsences(sent time.Duration, conditions map[string]uint64, c coltsfootloft.Confirmation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuationsKnown = max(m.evacuationsKnown, sent)
	for _, e := range c.Evacuations {
		if e.Deleted && conditions[e.Key] == 0 {
			m.absence.Note(e.Key, sent)
		}
	}
	if !c.Current || c.Evacuations != nil {
		return
	}
	for domain, revision := range conditions {
		if revision == 0 {
			m.absence.Note(domain, sent)
		}
	}
}

// differs reports whether the store's answer shows other evacuations than the conditions named,
// apart from keys that can't be read.
func (m *Mirror) differs(conditions map[string]uint64, events []coltsfootloft.Event) bool {
	for _, e := range events {
		held := conditions[e.Key]
		if e.Deleted && held != 0 && coltsfootloft.EraOf(held) == coltsfootloft.EraOf(e.Revision) || !e.Deleted && e.Err == nil && e.Revision != held {
			return true
		}
	}
	return false
}

// evacuationAge returns how long ago this host last knew which domains are evacuated; ok is false
// if domains can't be evacuated or it never did.
func (m *Mirror) evacuationAge(now time.Duration) (age time.Duration, ok bool) {
	if m.EvacuateBound == 0 {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return now - m.evacuationsKnown, m.evacuationsKnown != 0
}

// domainStates returns what this host knows of each domain, for another host.
func (m *Mirror) domainStates(v *View) []DomainState {
	if m.EvacuateBound == 0 {
		return nil
	}
	domains := slices.Concat(v.Evacuations.Domains(), v.Evacuations.EndedDomains(), m.knownDomains(v))
	now := m.Clock.Elapsed()
	m.mu.Lock()
	defer m.mu.Unlock()
	var states []DomainState
	for _, domain := range domains {
		if len(states) >= maxConditions || slices.ContainsFunc(states, func(s DomainState) bool { return s.Domain == domain }) {
			continue
		}
		e, _ := v.Evacuations.Get(domain)
		s := DomainState{
			Domain:   domain,
			Revision: e.Revision,
			Ended:    v.Evacuations.Ended(domain).Revision,
			Absent:   -1,
		}
		if at, ok := m.absence.Last(domain); ok && e.Revision == 0 {
			s.Absent = max(now-at, 0)
		}
		states = append(states, s)
	}
	return states
}

// observeEvacuations uses what another host knows of evacuations. Sent is when this host sent the
// call that it answers, or 0 if it was sent of its own accord and so shows no absence.
func (m *Mirror) observeEvacuations(sent time.Duration, f Freshness) {
	if m.EvacuateBound == 0 || len(f.Domains) == 0 {
		return
	}
	if sent > 0 {
		m.mu.Lock()
		for _, s := range f.Domains {
			if s.Absent >= 0 {
				m.absence.Note(s.Domain, sent-s.Absent)
			}
		}
		if f.EvacuationAge < unconfirmedAge {
			m.evacuationsKnown = max(m.evacuationsKnown, sent-f.EvacuationAge)
		}
		m.mu.Unlock()
	}
	if v := m.View(); v.Revision == 0 || !slices.ContainsFunc(f.Domains, func(s DomainState) bool { return isNews(v, s) }) {
		return
	}
	m.update(0, func(v *View, now time.Duration) []error {
		for _, s := range f.Domains {
			if !isNews(v, s) {
				continue
			}
			if s.Ended != 0 {
				v.Evacuations.End(s.Domain, s.Ended, now)
			}
			if s.Revision != 0 {
				m.beginEvacuation(v, s.Domain, s.Revision)
			}
		}
		return nil
	})
}

// isNews reports whether another host knows of an evacuation, or of the end of one, that the view
// lacks. What the store had up to the revision of the view, in its era, is in the view, except for
// what can't be read.
func isNews(v *View, s DomainState) bool {
	t := &v.Evacuations
	e, active := t.Get(s.Domain)
	if active && s.Ended >= e.Revision {
		return true
	}
	ended := max(t.Ended(s.Domain).Revision, s.Ended)
	listed := coltsfootloft.EraOf(s.Revision) == coltsfootloft.EraOf(v.Revision) && s.Revision <= v.Revision
	return !active && s.Revision > ended && (!listed || t.IsUnreadable(s.Domain))
}

// EvacuatedDomains returns the evacuated domains that databases, hosts or the process settings name.
func (m *Mirror) EvacuatedDomains() []string {
	v := m.View()
	known := m.knownDomains(v)
	return slices.DeleteFunc(v.Evacuations.Domains(), func(d string) bool { return !slices.Contains(known, d) })
}

// logEvacuations logs the evacuations that began and ended between two views.
func (m *Mirror) logEvacuations(before, after *View) {
	now := m.Clock.Elapsed()
	for _, domain := range after.Evacuations.Domains() {
		e, _ := after.Evacuations.Get(domain)
		if _, active := before.Evacuations.Get(domain); !active && slices.Contains(m.knownDomains(after), domain) {
			m.Log.Info("evacuation seen", "domain", domain, "revision", e.Revision, "closed_in_ms", max(e.Deadline-now, 0).Milliseconds())
		}
	}
	for _, domain := range before.Evacuations.Domains() {
		if _, active := after.Evacuations.Get(domain); !active {
			m.Log.Info("evacuation cancelled", "domain", domain, "revision", after.Evacuations.Ended(domain).Revision)
		}
	}
}
