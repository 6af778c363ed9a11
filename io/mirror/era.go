package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/leader"
	"coltsfootloft/io/mirror/mirrorpb"
)

// recallName is the name under which hosts ask each other what they know of earlier eras.
const recallName = "recall"

// settledAge is the age reported for an era in which no rights of an earlier one are left.
const settledAge = time.Hour

// eraState is what the host knows of the era of the store.
type eraState struct {
	era     atomic.Uint64
	mu      sync.Mutex // guards changes of era, and what follows
	first   uint64     // the era in which the host started
	since   time.Duration
	changed chan struct{}
}

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

// Era returns the latest era of the store that this host knows of, from the store or from
// another host. It may be later than that of the view.
func (m *Mirror) Era() uint64 {
	m.ObserveEra(m.Store.Era())
	return m.era.era.Load()
}

// startedInEra reports whether this host has started after the store last came back from a
// backup, or has not seen it do so.
func (m *Mirror) startedInEra() bool {
	era := m.Era()
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	return m.era.first == era
}

// EraAge returns how long ago this host learned of the era. Leases of earlier eras have ended
// once it exceeds LeaseTTL. It is long if the era is settled.
func (m *Mirror) EraAge() time.Duration {
	era := m.Era()
	if era <= coltsfootloft.FirstEra || m.View().Settled.Era == era {
		return settledAge
	}
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	return m.Clock.Elapsed() - m.era.since
}

// EraChanged returns a channel that is closed when the host learns of the next era.
func (m *Mirror) EraChanged() <-chan struct{} {
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	if m.era.changed == nil {
		m.era.changed = make(chan struct{})
	}
	return m.era.changed
}

// ObserveEra records that the store is in an era, or was.
func (m *Mirror) ObserveEra(era uint64) {
	if era <= m.era.era.Load() {
		return
	}
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	before := m.era.era.Load()
	if era <= before {
		return
	}
	if before > 0 {
		m.Log.Info("store was restored from a backup", "era", era, "before", before)
	} else {
		m.era.first = era
	}
	m.era.era.Store(era)
	m.era.since = m.Clock.Elapsed()
	if m.era.changed != nil {
		close(m.era.changed)
	}
	m.era.changed = make(chan struct{})
	m.wakeWatch()
}

// Recall sends this host's era to another host, and returns the newest record of each group
// that the other one knows. Once it has answered, that host uses no rights of an earlier era.
func (m *Mirror) Recall(ctx context.Context, host string) (map[string]leader.Record, error) {
	b, err := proto.Marshal(&mirrorpb.Recall{Era: m.Era()})
	if err != nil {
		panic(err) // messages of plain fields always encode
	}
	b, err = m.Peers.Call(ctx, host, recallName, b)
	if err != nil {
		return nil, errors.Wrap(err, "recall")
	}
	var answer mirrorpb.Recalled
	if err := proto.Unmarshal(b, &answer); err != nil {
		return nil, errors.Wrap(err, "recalled records")
	}
	records := make(map[string]leader.Record, len(answer.GetRecords()))
	for group, value := range answer.GetRecords() {
		r, err := leader.Decode(value)
		if err != nil {
			return nil, err
		}
		records[group] = r
	}
	return records, nil
}

// handleRecall answers another host's Recall.
func (m *Mirror) handleRecall(_ context.Context, _ string, body []byte) ([]byte, error) {
	var r mirrorpb.Recall
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "recall")
	}
	m.ObserveEra(r.GetEra())
	answer := &mirrorpb.Recalled{Records: make(map[string][]byte)}
	for group, record := range m.View().NewestRecords() {
		answer.Records[group] = record.Encode()
	}
	b, err := proto.Marshal(answer)
	return b, errors.Wrap(err, "recalled records")
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
	for name, d := range v.Duties {
		past.Duties[name] = d.Host
	}
	v.Past = past
}
