package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/quorum"
	"coltsfootloft/io/admin"
)

// Version is the version of the program, as commands and the status report it.
const Version = "0.1.0"

// revisionsTimeout bounds the requests to other hosts for their settings revision.
const revisionsTimeout = 3 * time.Second

var (
	errStarting = errors.New("no settings in force yet")
	errDraining = errors.New("draining")
)

// readiness returns why the host accepts no new callers, or nil if it does.
func (h *Host) readiness() error {
	if h.draining.Load() {
		return errDraining
	}
	select {
	case <-h.ready:
		return nil
	default:
		return errStarting
	}
}

// status returns what this host knows about itself and the fleet.
func (h *Host) status(ctx context.Context) admin.Status {
	f := h.current.Fleet()
	s := admin.Status{
		Host:     h.Settings.Name(),
		Domain:   h.Settings.Domain(),
		Version:  Version,
		At:       h.Clock.Now(),
		Draining: h.draining.Load(),
		Sessions: h.Front.Sessions(),
		Settings: h.settingsStatus(f),
		Hosts:    h.hostStatus(ctx, f),
	}
	if err := h.readiness(); err != nil {
		s.Reason = err.Error()
	}
	s.Ready = s.Reason == ""
	for _, d := range f.Domains() {
		s.Domains = append(s.Domains, h.domainStatus(d, s.Hosts))
	}
	for _, g := range f.Groups() {
		s.Groups = append(s.Groups, h.groupStatus(g))
	}
	for _, a := range f.Accounts() {
		s.Accounts = append(s.Accounts, h.accountStatus(a.Name()))
	}
	return s
}

func (h *Host) settingsStatus(f *conf.Fleet) admin.SettingsStatus {
	s := admin.SettingsStatus{
		Revision:       f.Revision(),
		Since:          h.current.since(),
		StoreReachable: h.Limiter.StoreReachable(),
	}
	for _, p := range h.current.problems() {
		s.Problems = append(s.Problems, p.String())
	}
	return s
}

// accountStatus returns this host's part of an account's rate and burst.
func (h *Host) accountStatus(name string) admin.AccountStatus {
	s := h.Limiter.AccountStatus(name)
	return admin.AccountStatus{
		Name:    name,
		Rate:    s.Rate(),
		Tokens:  s.Tokens(),
		Waiting: s.Waiting(),
	}
}

// hostStatus returns all live hosts, with the settings revision that each reports.
func (h *Host) hostStatus(ctx context.Context, f *conf.Fleet) []admin.HostStatus {
	ctx, cancel := context.WithTimeout(ctx, revisionsTimeout)
	defer cancel()
	revisions := h.Members.Revisions(ctx)
	seats := h.seatHolders(f)
	var list []admin.HostStatus
	for _, r := range h.Members.Alive() {
		s := admin.HostStatus{
			Name:    r.Name(),
			Domain:  r.Domain(),
			Address: r.Address(),
			Alive:   true,
			Leaving: r.Leaving(),
		}
		s.Revision = revisions[r.Name()]
		s.Seats = seats[r.Name()]
		if r.Name() == h.Settings.Name() {
			s.Revision = f.Revision()
			s.Seats, _ = h.Limiter.Seats()
		}
		list = append(list, s)
	}
	return list
}

// seatHolders returns the seats that each host holds, as far as this host knows.
func (h *Host) seatHolders(f *conf.Fleet) map[string][]int {
	seats := make(map[string][]int)
	for _, d := range f.Domains() {
		for n := 1; n <= d.Seats(); n++ {
			holder := h.Limiter.SeatHolder(d.Name(), n)
			seats[holder] = append(seats[holder], n)
		}
	}
	return seats
}

func (*Host) domainStatus(d conf.Domain, hosts []admin.HostStatus) admin.DomainStatus {
	s := admin.DomainStatus{
		Name:   d.Name(),
		Region: d.Region(),
		Seats:  d.Seats(),
	}
	for _, o := range hosts {
		if o.Domain == d.Name() {
			s.Hosts++
			s.Taken += len(o.Seats)
		}
	}
	return s
}

func (h *Host) groupStatus(g coltsfootloft.Group) admin.GroupStatus {
	readings := h.Watch.Readings(g.Name())
	primary, term, ok := quorum.Size(len(g.Upstreams())).Primary(readings)
	s := admin.GroupStatus{Name: g.Name()}
	if ok {
		s.Primary = primary
		s.Term = term.String()
	}
	newest := readings[primary].Received().Offset()
	for _, u := range g.Upstreams() {
		s.Databases = append(s.Databases, h.databaseStatus(g.Name(), u, readings, newest))
	}
	return s
}

func (h *Host) databaseStatus(group string, u coltsfootloft.Upstream, readings map[string]coltsfootloft.Reading, newest uint64) admin.DatabaseStatus {
	s := admin.DatabaseStatus{
		Name:    u.Name(),
		Domain:  u.Domain(),
		Address: u.Address(),
		Age:     -1,
		Leaving: h.Members.Leaving(u.Name()),
	}
	s.Limit = h.Limiter.HeldConnections(u.Name())
	if p, ok := h.pools.get(u.Name()); ok {
		s.Connections = p.Stats().Open()
	}
	if age, ok := h.Watch.Age(group, u.Name()); ok {
		s.Age = age.Milliseconds()
	}
	r, ok := readings[u.Name()]
	if !ok {
		return s
	}
	s.Known = true
	s.Role = r.Role().String()
	s.Fence = r.Fence().String()
	s.Term = r.Received().Term().String()
	s.Received = r.Received().Offset()
	s.Applied = r.Applied().Offset()
	if newest > s.Applied {
		s.Lag = newest - s.Applied
	}
	return s
}
