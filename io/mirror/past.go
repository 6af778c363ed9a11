package mirror

import "coltsfootloft/core/leader"

// Past is what the host knew of the store before it came back from a backup.
type Past struct {
	// Groups holds the newest record of each group in an earlier era, or of this one if a
	// delayed write has replaced it by an older one.
	Groups map[string]leader.Record
	// Duties holds the host that held each duty.
	Duties map[string]string
	// Hosts holds the hosts that were registered.
	Hosts map[string]bool
}

// NewestRecords returns the newest record of each group that the host has seen in any era.
func (v *View) NewestRecords() map[string]leader.Record {
	newest := make(map[string]leader.Record, len(v.Groups))
	for name, r := range v.Past.Groups {
		newest[name] = r
	}
	for name, g := range v.Groups {
		if !newest[name].Supersedes(g.Record) {
			newest[name] = g.Record
		}
	}
	return newest
}

// KnownHosts returns the hosts that are registered or were in an earlier era.
func (v *View) KnownHosts() map[string]bool {
	known := make(map[string]bool, len(v.Hosts))
	for h := range v.Past.Hosts {
		known[h] = true
	}
	for h := range v.Hosts {
		known[h] = true
	}
	return known
}

// keepPast moves what the view holds to its Past, before a listing of a later era replaces it.
func (v *View) keepPast() {
	if v.IsSettled() {
		v.Past.Duties = nil
		v.Past.Hosts = nil
	}
	past := Past{
		Groups: v.NewestRecords(),
		Duties: make(map[string]string),
		Hosts:  v.KnownHosts(),
	}
	for name, host := range v.Past.Duties {
		past.Duties[name] = host
	}
	for name, f := range v.FormerHolders {
		past.Duties[name] = f.Host
	}
	for name, d := range v.Duties {
		past.Duties[name] = d.Host
	}
	v.FormerHolders = make(map[string]FormerHolder)
	v.Past = past
}
