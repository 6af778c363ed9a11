package mirror

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Duty is the current holder of a duty.
type Duty struct {
	// Host is the name of the holder.
	Host string
	// Revision is the store's revision of the key's last change.
	Revision uint64
}

// OddDuty is an entry under the key of a duty that belongs to no lease: another writer left it.
type OddDuty struct {
	// Revision is the store's revision of the entry.
	Revision uint64
	// FirstSeen is when this host first saw the entry, on the Mirror's clock.
	FirstSeen time.Duration
}

// FormerHolder is the last known holder of a duty whose key was overwritten or removed. It may not
// have noticed.
type FormerHolder struct {
	// Host is the name of the holder.
	Host string
	// Session is the lease under which it was registered.
	Session string
	// FirstSeen is when this host first saw that the key is not the holder's any more, on the
	// Mirror's clock.
	FirstSeen time.Duration
}

// HasLease reports whether the lease of a former holder may not have ended.
func (v *View) HasLease(f FormerHolder) bool {
	_, displaced := v.Displaced[f.Session]
	p, registered := v.Hosts[f.Host]
	return displaced || registered && p.Lease == f.Session
}

// applyDuty applies an event about the key of a duty.
func (v *View) applyDuty(now time.Duration, name string, e coltsfootloft.Event) error {
	old, held := v.Duties[name]
	delete(v.Duties, name)
	delete(v.OddDuties, name)
	isOdd := !e.Deleted && e.Created > 0 && e.Lease == ""
	if !e.Deleted && !isOdd {
		v.Duties[name] = Duty{
			Host:     string(e.Value),
			Revision: e.Revision,
		}
		delete(v.FormerHolders, name)
		return nil
	}
	if held {
		v.keepFormerHolder(now, name, old.Host, isOdd)
	}
	if !isOdd {
		return nil
	}
	v.OddDuties[name] = OddDuty{
		Revision:  e.Revision,
		FirstSeen: now,
	}
	return errors.New("the key of a duty belongs to no lease")
}

// keepFormerHolder keeps the holder of a duty whose key it does not hold any more, unless its lease
// has ended. One whose registration was overwritten ends its lease, and its key with it, itself.
func (v *View) keepFormerHolder(now time.Duration, name, host string, isOdd bool) {
	f := FormerHolder{
		Host:      host,
		Session:   v.Hosts[host].Lease,
		FirstSeen: now,
	}
	for session, d := range v.Displaced {
		if isOdd && d.Host == host && f.Session == "" {
			f.Session = session
		}
	}
	if f.Session != "" {
		v.FormerHolders[name] = f
	}
}

// compareDuties completes the duties of a listing with what the view held before.
func (v *View) compareDuties(now time.Duration, duties map[string]Duty, odd map[string]OddDuty) {
	for name, old := range duties {
		if _, held := v.Duties[name]; !held {
			_, isOdd := v.OddDuties[name]
			v.keepFormerHolder(now, name, old.Host, isOdd)
		}
	}
	for name, o := range v.OddDuties {
		if before, ok := odd[name]; ok && before.Revision == o.Revision {
			v.OddDuties[name] = before
		}
	}
}
