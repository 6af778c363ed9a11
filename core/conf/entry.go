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

// EntrySettings is the process settings of an entry host on the users' platform, read from
// one file of JSON with comments. All addresses are IP:port.
type EntrySettings struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the host's failure domain.
	Domain string `json:"domain"`
	// Listen is for callers.
	Listen string `json:"listen"`
	// Ready is for the balancer's question and for metrics.
	Ready string `json:"ready"`
	// Peer is for other hosts.
	Peer string `json:"peer"`
	// Store is the platform's store.
	Store string `json:"store"`
	// Control is the platform's interface for promotions.
	Control string `json:"control"`
	// MemoryMB is the memory of the process, in MB.
	MemoryMB int `json:"memory_mb"`
	// Cores is the part of a processor that the process has, and Speed how many
	// times as fast as usual that processor is; 1 where they are left out.
	Cores float64 `json:"cores,omitempty"`
	Speed float64 `json:"speed,omitempty"`
	// WithdrawalMS is how soon a withdrawn key must stop working, in ms.
	WithdrawalMS int `json:"withdrawal_ms"`
	// DrainMS is how long a leaving database may still get work, in ms.
	DrainMS int `json:"drain_ms"`
	// GraceS is the time between the signal to stop and the end, in s.
	GraceS float64 `json:"grace_s"`
	// LogLevel is error, info or debug; info if empty.
	LogLevel string `json:"log_level,omitempty"`
}

// LoadEntry reads and checks a file of process settings. The error names the file
// and the setting.
func LoadEntry(path string) (EntrySettings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return EntrySettings{}, errors.Wrap(err, "process settings")
	}
	e, err := ParseEntry(source)
	return e, errors.Wrap(err, path)
}

// ParseEntry decodes and checks process settings. Settings that are not known are
// refused.
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
	const leastMemory = 32
	if e.MemoryMB < leastMemory {
		return errors.Errorf("memory_mb %d: expected at least %d", e.MemoryMB, leastMemory)
	}
	if e.Cores < 0 || e.Speed < 0 {
		return errors.Errorf("cores %v, speed %v: expected no negative numbers", e.Cores, e.Speed)
	}
	if e.WithdrawalMS < 1000 || e.DrainMS < 2000 || e.GraceS < 1 {
		return errors.Errorf("withdrawal_ms %d, drain_ms %d, grace_s %v: expected at least 1000, 2000 and 1", e.WithdrawalMS, e.DrainMS, e.GraceS)
	}
	return nil
}

// Size is how much work the host can do, in usual processors.
func (e EntrySettings) Size() float64 { return cmp.Or(e.Cores, 1) * cmp.Or(e.Speed, 1) }

// Withdrawal is how soon a withdrawn key must stop working.
func (e EntrySettings) Withdrawal() time.Duration {
	return time.Duration(e.WithdrawalMS) * time.Millisecond
}

// Drain is how long a leaving database may still get work.
func (e EntrySettings) Drain() time.Duration { return time.Duration(e.DrainMS) * time.Millisecond }

// Grace is the time between the signal to stop and the end.
func (e EntrySettings) Grace() time.Duration { return time.Duration(e.GraceS * float64(time.Second)) }
