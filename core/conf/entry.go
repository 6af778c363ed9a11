package conf

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// EntrySettings holds the process settings of an entry host, a host that serves callers on the
// users' platform. They are read from one file of JSON with comments. All addresses
// are IP:port.
type EntrySettings struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the host's failure domain.
	Domain string `json:"domain"`
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// Ready is the address for the load balancer's readiness checks and for metrics.
	Ready string `json:"ready"`
	// Peer is the address for other hosts.
	Peer string `json:"peer"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Control is the address of the platform's API for promotions.
	Control string `json:"control"`
	// MemoryMB is the memory of the process, in MB.
	MemoryMB int `json:"memory_mb"`
	// Cores is the share of a processor that the process gets, and Speed the speed of
	// that processor relative to a standard one. Both are 1 if omitted.
	Cores float64 `json:"cores,omitempty"`
	Speed float64 `json:"speed,omitempty"`
	// WithdrawalMS is the time within which a withdrawn key must stop working, in ms.
	WithdrawalMS int `json:"withdrawal_ms"`
	// DrainMS is how long a database that is being removed may still get requests, in
	// ms.
	DrainMS int `json:"drain_ms"`
	// GraceS is the time between the stop signal and the end of the process, in s.
	GraceS float64 `json:"grace_s"`
	// EvacuateMS is the time within which nothing more may reach the databases of an evacuated
	// failure domain, in ms; 0 if operators can't evacuate one.
	EvacuateMS int `json:"evacuate_ms,omitempty"`
	// ColdOverage and ColdSlack bound the requests that a cold database gets in a second: its
	// group's rate times ColdOverage, plus ColdSlack.
	ColdOverage float64 `json:"cold_overage,omitempty"`
	ColdSlack   float64 `json:"cold_slack,omitempty"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `json:"regions,omitempty"`
	// Policies are the platform's words for the parts of its rules that are in force.
	Policies []string `json:"policies,omitempty"`
	// LogLevel is error, info or debug; info if empty.
	LogLevel string `json:"log_level,omitempty"`
}

// LoadEntry reads and validates a file of process settings. Errors name the file and
// the setting.
func LoadEntry(path string) (EntrySettings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return EntrySettings{}, errors.Wrap(err, "process settings")
	}
	e, err := ParseEntry(source)
	return e, errors.Wrap(err, path)
}

// ParseEntry decodes and validates process settings. Unknown settings are errors.
func ParseEntry(source []byte) (EntrySettings, error) {
	plain, err := hujson.Standardize(source)
	if err != nil {
		return EntrySettings{}, errors.Wrap(err, "process settings")
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	var e EntrySettings
	if err := d.Decode(&e); err != nil {
		return EntrySettings{}, errors.Wrap(err, "process settings")
	}
	return e, e.check()
}

func (e EntrySettings) check() error {
	if !nameForm.MatchString(e.Name) {
		return errors.Errorf("name %q: expected %s", e.Name, acceptedName)
	}
	if e.Domain == "" {
		return errors.New("domain: expected the host's failure domain")
	}
	for _, a := range []struct{ name, value string }{
		{"listen", e.Listen}, {"ready", e.Ready}, {"peer", e.Peer}, {"store", e.Store}, {"control", e.Control},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("%s %q: expected an IP number and port", a.name, a.value)
		}
	}
	const minMemoryMB = 32
	if e.MemoryMB < minMemoryMB {
		return errors.Errorf("memory_mb %d: expected at least %d", e.MemoryMB, minMemoryMB)
	}
	if e.Cores < 0 || e.Speed < 0 {
		return errors.Errorf("cores %v, speed %v: expected no negative numbers", e.Cores, e.Speed)
	}
	const minEvacuateMS = 1000
	if e.EvacuateMS != 0 && e.EvacuateMS < minEvacuateMS {
		return errors.Errorf("evacuate_ms %d: expected 0 or at least %d", e.EvacuateMS, minEvacuateMS)
	}
	if e.ColdOverage < 0 || e.ColdSlack < 0 {
		return errors.Errorf("cold_overage %v, cold_slack %v: expected no negative numbers", e.ColdOverage, e.ColdSlack)
	}
	if e.WithdrawalMS < 1000 || e.DrainMS < 2000 || e.GraceS < 1 {
		return errors.Errorf("withdrawal_ms %d, drain_ms %d, grace_s %v: expected at least 1000, 2000 and 1", e.WithdrawalMS, e.DrainMS, e.GraceS)
	}
	return nil
}

// Size is the capacity of the host in standard processors.
func (e EntrySettings) Size() float64 { return cmp.Or(e.Cores, 1) * cmp.Or(e.Speed, 1) }

// Withdrawal is the time within which a withdrawn key must stop working.
func (e EntrySettings) Withdrawal() time.Duration {
	return time.Duration(e.WithdrawalMS) * time.Millisecond
}

// Drain is how long a database that is being removed may still get requests.
func (e EntrySettings) Drain() time.Duration { return time.Duration(e.DrainMS) * time.Millisecond }

// Evacuate is the time within which nothing more may reach the databases of an evacuated failure
// domain; 0 if operators can't evacuate one.
func (e EntrySettings) Evacuate() time.Duration {
	return time.Duration(e.EvacuateMS) * time.Millisecond
}

// Grace is the time between the stop signal and the end of the process.
func (e EntrySettings) Grace() time.Duration { return time.Duration(e.GraceS * float64(time.Second)) }
