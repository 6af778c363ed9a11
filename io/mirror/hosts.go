package mirror

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// maxSize is the largest processing capacity that a registration may state, in standard
// processors.
const maxSize = 1 << 16

// OddEntry is an entry under the key of a host that is no registration: another writer left it.
type OddEntry struct {
	// Revision is the store's revision of the entry.
	Revision uint64
	// Known is set if it is known what was under the key before: nothing, or registrations that
	// are Displaced. Otherwise a host may be alive whose registration nobody can read.
	Known bool
	// FirstSeen is when this host first saw the entry, on the Mirror's clock.
	FirstSeen time.Duration
}

// Displaced is a registration that was overwritten by another writer. A host itself writes its
// registration only where there is none.
type Displaced struct {
	// Host is the name of the host.
	Host string
	// Registration is what was overwritten.
	Registration Registration
	// FirstSeen is when this host first saw that, on the Mirror's clock.
	FirstSeen time.Duration
}

// priorHosts is what a view held of the hosts before changes.
type priorHosts struct {
	hosts    map[string]Registration
	odd      map[string]OddEntry
	revision uint64
	// listed is set if changes between the view and the event may be missing.
	listed bool
}

func (v *View) hostsBefore() priorHosts {
	return priorHosts{
		hosts:    v.Hosts,
		odd:      v.Odd,
		revision: v.Revision,
	}
}

// apply applies one change of the store.
func (m *Mirror) apply(v *View, now time.Duration, e coltsfootloft.Event) error {
	if name, ok := hostOf(e); ok {
		return m.applyHost(v, now, name, e, v.hostsBefore())
	}
	if e.Kind == coltsfootloft.EventEvacuation {
		return m.applyEvacuation(v, now, e)
	}
	return v.apply(now, e)
}

// hostOf returns the name of the host whose key an event is about.
func hostOf(e coltsfootloft.Event) (name string, ok bool) {
	if e.Kind != coltsfootloft.EventProxyKey {
		return "", false
	}
	return strings.CutPrefix(e.Key, hostPrefix)
}

// replaceHosts replaces the hosts of the view with those of a listing.
func (m *Mirror) replaceHosts(v *View, now time.Duration, events []coltsfootloft.Event, before priorHosts) []error {
	before.listed = true
	v.Hosts = make(map[string]Registration)
	v.Odd = make(map[string]OddEntry)
	v.HostsVersion++
	var problems []error
	for _, e := range events {
		if name, ok := hostOf(e); ok {
			if err := m.applyHost(v, now, name, e, before); err != nil {
				problems = append(problems, err)
			}
		}
	}
	return problems
}

// keyChange is how an event changes the key of a host.
type keyChange struct {
	// isNew is set if the entry was written where there was none.
	isNew bool
	// overwrites is set if it was written over a registration.
	overwrites bool
	// known is set if it is known what was under the key before.
	known bool
}

// compare tells how an event changes the key of a host. Between a view and a later listing, a
// key may have been removed and written again, unless it was created before the view.
func (p priorHosts) compare(name string, e coltsfootloft.Event) keyChange {
	old, was := p.hosts[name]
	odd, wasOdd := p.odd[name]
	wasFree := !p.listed && !was && !wasOdd
	continues := !p.listed || e.Created > 0 && e.Created <= p.revision
	c := keyChange{isNew: e.Created == e.Revision || wasFree && e.Created == 0}
	c.overwrites = was && continues && !c.isNew && e.Revision != old.Revision
	c.known = c.isNew || c.overwrites || continues && odd.Known
	return c
}

// applyHost applies an event about the key of a host.
func (m *Mirror) applyHost(v *View, now time.Duration, name string, e coltsfootloft.Event, before priorHosts) error {
	v.HostsVersion++
	old := before.hosts[name]
	odd := before.odd[name]
	if !before.listed && e.Revision < max(old.Revision, odd.Revision) {
		return nil // a listing in several pages has shown a later entry
	}
	change := before.compare(name, e)
	delete(v.Hosts, name)
	delete(v.Odd, name)
	if e.Deleted {
		return nil
	}
	if change.overwrites {
		v.Displaced[old.Lease] = Displaced{
			Host:         name,
			Registration: old,
			FirstSeen:    now,
		}
	}
	p, err := m.decodeRegistration(e)
	if err == nil {
		if change.isNew {
			v.forgetDisplaced(name)
		}
		v.Hosts[name] = p
		return nil
	}
	if odd.Revision != e.Revision {
		odd = OddEntry{
			Revision:  e.Revision,
			Known:     change.known,
			FirstSeen: now,
		}
	}
	v.Odd[name] = odd
	return errors.Wrap(err, "registration of "+name)
}

// forgetDisplaced drops the displaced registrations of a host that has registered again: it has
// given up its earlier lease before, or was started again.
func (v *View) forgetDisplaced(name string) {
	for lease, d := range v.Displaced {
		if d.Host == name {
			delete(v.Displaced, lease)
		}
	}
}

// decodeRegistration decodes a registration. It returns an error if a field is missing or out of
// range, or if the key does not belong to the lease that the registration names.
func (m *Mirror) decodeRegistration(e coltsfootloft.Event) (Registration, error) {
	p := Registration{Revision: e.Revision}
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return p, errors.Wrap(err, "value")
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return p, errors.Wrap(err, "address")
	}
	switch {
	case p.Domain == "" || p.Lease == "":
		return p, errors.New("lacks a field")
	case p.Size < 0 || p.Size > maxSize:
		return p, errors.Errorf("size %v", p.Size)
	case e.Created > 0 && !m.IsLease(p.Lease, e.Lease):
		return p, errors.Errorf("names lease %q, and its key belongs to %q", p.Lease, e.Lease)
	}
	return p, nil
}
