package mirror

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/io/dbpool"
)

// Prefixes of the keys that this program writes to the store.
const (
	hostPrefix  = "host/"
	groupPrefix = "group/"
	dutyPrefix  = "duty/"
	// SettledKey is the key of the latest settled era of the store.
	SettledKey = "settled-era"
)

// HostKey returns the key of a host's registration.
func HostKey(name string) string { return hostPrefix + name }

// GroupKey returns the key of a group's record.
func GroupKey(name string) string { return groupPrefix + name }

// DutyKey returns the key that the holder of a duty locks under its lease.
func DutyKey(name string) string { return dutyPrefix + name }

// Registration is the registration of a host. It exists while the host's lease does.
type Registration struct {
	// Address is the IP:port on which the host accepts links from other hosts.
	Address string `json:"address"`
	// Domain is the host's failure domain.
	Domain string `json:"domain"`
	// Lease is the id of the lease in the store. After a restart, the host ends the lease
	// of its previous run by it.
	Lease string `json:"lease"`
	// Size is the processing capacity of the host, in standard processors.
	Size float64 `json:"size"`
	// Revision is the store's revision of the registration.
	Revision uint64 `json:"-"`
}

// Upstream is a database as its latest announcement describes it.
type Upstream struct {
	coltsfootloft.Announcement
	// Revision is the store's revision of the announcement.
	Revision uint64
	// Removed is set if the announcement was removed or can't be decoded.
	Removed bool
	// Since is when this host first saw the database as Leaving or Removed, on the Mirror's
	// clock.
	Since time.Duration
}

// Target returns how to connect to the database.
func (u Upstream) Target() dbpool.Target {
	return dbpool.Target{
		ID:      u.Upstream.Name(),
		Address: u.Upstream.Address(),
		Group:   u.Group,
		Slots:   u.Slots,
		Domain:  u.Upstream.Domain(),
	}
}

// Settled is the latest era of the store in which no rights of an earlier one are left, and in
// which the store holds the latest settings that hosts knew.
type Settled struct {
	// Era is 0 if the store names none.
	Era uint64
	// Revision is the store's revision of the key.
	Revision uint64
}

// View is the host's copy of the store at one revision. It is immutable once published.
type View struct {
	// Revision is the store's.
	Revision uint64
	// Settings is the operators' settings; nil until they are read for the first time.
	Settings *coltsfootloft.Settings
	// Upstreams are the databases by id, including those removed recently.
	Upstreams map[string]Upstream
	// Hosts are the registered hosts by name.
	Hosts map[string]Registration
	// Odd are the entries under keys of hosts that are no registrations, by name of the host.
	Odd map[string]OddEntry
	// Displaced are the registrations that another writer has overwritten while their hosts may
	// have been alive, by lease. They stay until the host has registered again.
	Displaced map[string]Displaced
	// HostsVersion increases with every change of Hosts.
	HostsVersion uint64
	// Groups are the records by name of the group.
	Groups map[string]Group
	// OddRecords are the keys of groups that hold no record though they did, or hold what another
	// writer left, by name of the group. The last good record, if any, stays in Groups.
	OddRecords map[string]OddRecord
	// Duties are the duties that have a holder, by name.
	Duties map[string]Duty
	// OddDuties are the entries of other writers under the keys of duties, by name of the duty.
	OddDuties map[string]OddDuty
	// FormerHolders are the hosts whose key of a duty was overwritten or removed, by name of the
	// duty, until a host holds it again.
	FormerHolders map[string]FormerHolder
	// Settled is the latest settled era.
	Settled Settled
	// Past is what the host knew of the store's earlier eras.
	Past Past

	// domains are the failure domains that the view and the process settings name, sorted; nil
	// until the view is published, or if domains can't be evacuated.
	domains []string
	// Evacuations are the evacuated failure domains.
	Evacuations evac.Table
}

// HostNames returns the names of the registered hosts, sorted.
func (v *View) HostNames() []string { return slices.Sorted(maps.Keys(v.Hosts)) }

// SizeOf returns the processing capacity of a host in standard processors, or 0 if it is
// not registered.
func (v *View) SizeOf(host string) float64 { return v.Hosts[host].Size }

// Members returns the databases of a group, sorted by id.
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
	c.Odd = maps.Clone(v.Odd)
	c.Displaced = maps.Clone(v.Displaced)
	c.Groups = maps.Clone(v.Groups)
	c.OddRecords = maps.Clone(v.OddRecords)
	c.Duties = maps.Clone(v.Duties)
	c.OddDuties = maps.Clone(v.OddDuties)
	c.FormerHolders = maps.Clone(v.FormerHolders)
	c.Evacuations = v.Evacuations.Clone()
	c.domains = nil
	return &c
}

func emptyView() *View {
	return &View{
		Upstreams:     make(map[string]Upstream),
		Hosts:         make(map[string]Registration),
		Odd:           make(map[string]OddEntry),
		Displaced:     make(map[string]Displaced),
		Groups:        make(map[string]Group),
		OddRecords:    make(map[string]OddRecord),
		Duties:        make(map[string]Duty),
		OddDuties:     make(map[string]OddDuty),
		FormerHolders: make(map[string]FormerHolder),
	}
}

// apply applies one event that is not about a host and returns an error if its value can't be
// used.
func (v *View) apply(now time.Duration, e coltsfootloft.Event) error {
	switch e.Kind {
	case coltsfootloft.EventSettings:
		return v.applyCatalog(e)
	case coltsfootloft.EventUpstream:
		return v.applyUpstream(now, e)
	case coltsfootloft.EventProxyKey:
		return v.applyOwn(now, e)
	case coltsfootloft.EventOther, coltsfootloft.EventEvacuation: // for evacuations, see Mirror.applyEvacuation
	}
	return nil
}

func (v *View) applyCatalog(e coltsfootloft.Event) error {
	if e.Err != nil {
		return errors.Wrap(e.Err, "the last good settings stay in force")
	}
	if e.Deleted {
		return errors.New("settings removed; the last good ones stay in force")
	}
	if v.Settings == nil || e.Settings.Supersedes(v.Settings) {
		v.Settings = e.Settings
		return nil
	}
	if e.Settings.Version < v.Settings.Version && coltsfootloft.EraOf(e.Revision) > coltsfootloft.EraOf(v.Settings.Revision) {
		return errors.Errorf("version %d came back with a backup; version %d stays in force", e.Settings.Version, v.Settings.Version)
	}
	return nil
}

func (v *View) applyUpstream(now time.Duration, e coltsfootloft.Event) error {
	old, known := v.Upstreams[e.Key]
	if known && e.Revision < old.Revision {
		return nil
	}
	if e.Deleted || e.Err != nil {
		if known && !old.Removed {
			old.Removed = true
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
	if name, ok := strings.CutPrefix(e.Key, groupPrefix); ok {
		return v.applyRecord(now, name, e)
	}
	if e.Key == SettledKey {
		return v.applySettled(e)
	}
	if name, ok := strings.CutPrefix(e.Key, dutyPrefix); ok {
		return v.applyDuty(now, name, e)
	}
	return nil
}

func (v *View) applySettled(e coltsfootloft.Event) error {
	v.Settled = Settled{}
	if e.Deleted {
		return nil
	}
	era, err := strconv.ParseUint(string(e.Value), 10, 64)
	v.Settled = Settled{
		Era:      era,
		Revision: e.Revision,
	}
	return errors.Wrap(err, "settled era")
}

// IsSettled reports whether no rights of an era before that of the view are left.
func (v *View) IsSettled() bool {
	era := coltsfootloft.EraOf(v.Revision)
	return era <= coltsfootloft.FirstEra || v.Settled.Era == era
}

// replace replaces the contents of the view with a listing; databases that it lacks are
// marked as removed. If the listing is of a later era, what the view held is kept as its Past.
func (v *View) replace(now time.Duration, events []coltsfootloft.Event, revision uint64) []error {
	var problems []error
	if v.Revision != 0 && coltsfootloft.EraOf(revision) > coltsfootloft.EraOf(v.Revision) {
		v.keepPast()
	}
	v.Settled = Settled{}
	duties, odd := v.Duties, v.OddDuties
	v.Duties = make(map[string]Duty)
	v.OddDuties = make(map[string]OddDuty)
	v.OddRecords = make(map[string]OddRecord)
	listed := make(map[coltsfootloft.EventKind]map[string]bool) // keys of different kinds may be equal
	for _, e := range events {
		if listed[e.Kind] == nil {
			listed[e.Kind] = make(map[string]bool)
		}
		listed[e.Kind][e.Key] = true
		if err := v.apply(now, e); err != nil {
			problems = append(problems, err)
		}
	}
	v.compareDuties(now, duties, odd)
	problems = append(problems, v.compareRecords(listed[coltsfootloft.EventProxyKey], revision)...)
	for id, u := range v.Upstreams {
		if !listed[coltsfootloft.EventUpstream][id] && !u.Removed {
			u.Removed = true
			if !u.Leaving {
				u.Since = now
			}
			v.Upstreams[id] = u
		}
	}
	return problems
}
