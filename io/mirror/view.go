package mirror

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/reign"
	"coltsfootloft/io/lanes"
)

// Prefixes of the project's own keys.
const (
	hostPrefix  = "host/"
	groupPrefix = "group/"
	dutyPrefix  = "duty/"
)

// HostKey is the key under which a host registers.
func HostKey(name string) string { return hostPrefix + name }

// GroupKey is the key of a group's record.
func GroupKey(name string) string { return groupPrefix + name }

// DutyKey is the key that the holder of a duty holds.
func DutyKey(name string) string { return dutyPrefix + name }

// Presence is a host that is registered, which it is while its lease lives.
type Presence struct {
	// Address is IP:port for other hosts.
	Address string `json:"address"`
	// Domain is the host's failure domain.
	Domain string `json:"domain"`
	// Lease is the store's name of the lease, which the host's next run ends.
	Lease string `json:"lease"`
	// Size is how much work the host can do, in usual processors.
	Size float64 `json:"size"`
	// Revision is the store's revision of the registration.
	Revision uint64 `json:"-"`
}

// Upstream is a database and what is known of its announcement.
type Upstream struct {
	coltsfootloft.Announcement
	// Revision is the store's revision of the announcement.
	Revision uint64
	// Gone is set once the announcement was removed or can't be read.
	Gone bool
	// Since is when Gone or Leaving was first seen.
	Since time.Duration
}

// Target is where to connect to the database.
func (u Upstream) Target() lanes.Target {
	return lanes.Target{
		ID:      u.Upstream.Name(),
		Address: u.Upstream.Address(),
		Group:   u.Group,
		Slots:   u.Slots,
	}
}

// Group is a group's record and its revision.
type Group struct {
	reign.Record
	// Revision is the store's revision of the record.
	Revision uint64
	// Seen is when this host first saw the record as it is.
	Seen time.Duration
}

// Duty is who holds a duty. The revision of its key's creation orders the holders.
type Duty struct {
	// Host holds the duty.
	Host string
	// Revision is the store's revision of the key's creation.
	Revision uint64
}

// View is what the host knows of the store at one revision. It is not changed once
// it is published.
type View struct {
	// Revision is the store's.
	Revision uint64
	// Catalog is the operators' settings, nil before the first.
	Catalog *coltsfootloft.Catalog
	// Upstreams are the databases by id, also those that have left of late.
	Upstreams map[string]Upstream
	// Hosts are the registered hosts by name.
	Hosts map[string]Presence
	// HostsVersion grows with every change of Hosts.
	HostsVersion uint64
	// Groups are the records by group.
	Groups map[string]Group
	// Duties are the held duties by name.
	Duties map[string]Duty
}

// HostNames returns the names of the registered hosts in order.
func (v *View) HostNames() []string { return slices.Sorted(maps.Keys(v.Hosts)) }

// SizeOf is how much work a host can do, in usual processors; 0 if it is not
// registered.
func (v *View) SizeOf(host string) float64 { return v.Hosts[host].Size }

// Members returns the databases of a group, by id.
func (v *View) Members(group string) []Upstream {
	var r []Upstream
	for _, u := range v.Upstreams {
		if u.Group == group {
			r = append(r, u)
		}
	}
	slices.SortFunc(r, func(a, b Upstream) int {
		return strings.Compare(a.Upstream.Name(), b.Upstream.Name())
	})
	return r
}

func (v *View) clone() *View {
	c := *v
	c.Upstreams = maps.Clone(v.Upstreams)
	c.Hosts = maps.Clone(v.Hosts)
	c.Groups = maps.Clone(v.Groups)
	c.Duties = maps.Clone(v.Duties)
	return &c
}

func emptyView() *View {
	return &View{
		Upstreams: make(map[string]Upstream),
		Hosts:     make(map[string]Presence),
		Groups:    make(map[string]Group),
		Duties:    make(map[string]Duty),
	}
}

// apply changes the view by one event and returns what can't be used.
func (v *View) apply(now time.Duration, e coltsfootloft.Event) error {
	switch e.Kind {
	case coltsfootloft.EventCatalog:
		return v.applyCatalog(e)
	case coltsfootloft.EventUpstream:
		return v.applyUpstream(now, e)
	case coltsfootloft.EventOwn:
		return v.applyOwn(now, e)
	case coltsfootloft.EventOther:
	}
	return nil
}

func (v *View) applyCatalog(e coltsfootloft.Event) error {
	if e.Err != nil {
		return errors.Wrap(e.Err, "the last good settings stay in force")
	}
	if e.Gone {
		return errors.New("settings removed; the last good ones stay in force")
	}
	if v.Catalog != nil && e.Revision <= v.Catalog.Revision {
		return nil
	}
	v.Catalog = e.Catalog
	return nil
}

func (v *View) applyUpstream(now time.Duration, e coltsfootloft.Event) error {
	old, known := v.Upstreams[e.Key]
	if known && e.Revision < old.Revision {
		return nil
	}
	if e.Gone || e.Err != nil {
		if known && !old.Gone {
			old.Gone = true
			if !old.Leaving {
				old.Since = now
			}
			v.Upstreams[e.Key] = old
		}
		return e.Err
	}
	u := Upstream{
		Announcement: e.Announcement,
		Revision:     e.Revision,
	}
	if u.Leaving {
		u.Since = now
		if known && old.Leaving {
			u.Since = old.Since
		}
	}
	v.Upstreams[e.Key] = u
	return nil
}

func (v *View) applyOwn(now time.Duration, e coltsfootloft.Event) error {
	if name, ok := strings.CutPrefix(e.Key, hostPrefix); ok {
		v.HostsVersion++
		return put(v.Hosts, name, e, func(b []byte) (Presence, error) {
			p := Presence{Revision: e.Revision}
			return p, errors.Wrap(json.Unmarshal(b, &p), "presence of "+name)
		})
	}
	if name, ok := strings.CutPrefix(e.Key, groupPrefix); ok {
		if g, known := v.Groups[name]; known && e.Revision <= g.Revision && !e.Gone {
			return nil
		}
		return put(v.Groups, name, e, func(b []byte) (Group, error) {
			r, err := reign.Decode(b)
			return Group{
				Record:   r,
				Revision: e.Revision,
				Seen:     now,
			}, err
		})
	}
	if name, ok := strings.CutPrefix(e.Key, dutyPrefix); ok {
		return put(v.Duties, name, e, func(b []byte) (Duty, error) {
			return Duty{
				Host:     string(b),
				Revision: e.Revision,
			}, nil
		})
	}
	return nil
}

func put[T any](m map[string]T, name string, e coltsfootloft.Event, decode func([]byte) (T, error)) error {
	if e.Gone {
		delete(m, name)
		return nil
	}
	t, err := decode(e.Value)
	if err != nil {
		return err
	}
	m[name] = t
	return nil
}

// replace makes the view that of a listing: what it does not hold is gone.
func (v *View) replace(now time.Duration, all []coltsfootloft.Event) []error {
	var problems []error
	v.Hosts = make(map[string]Presence)
	v.HostsVersion++
	v.Duties = make(map[string]Duty)
	present := make(map[string]bool)
	for _, e := range all {
		present[e.Key] = true
		if err := v.apply(now, e); err != nil {
			problems = append(problems, err)
		}
	}
	for name := range v.Groups {
		if !present[GroupKey(name)] {
			delete(v.Groups, name)
		}
	}
	for id, u := range v.Upstreams {
		if !present[id] && !u.Gone {
			u.Gone = true
			if !u.Leaving {
				u.Since = now
			}
			v.Upstreams[id] = u
		}
	}
	return problems
}
