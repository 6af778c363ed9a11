package seat

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"coltsfootloft"
)

// Table is one host's view of the seats of its failure domain. Set the exported
// fields before use. It is not safe for concurrent use.
type Table struct {
	// Host is the name of this host, and Run identifies this run of its process.
	Host string
	Run  string
	// Domain is its failure domain.
	Domain string
	// Layout is the one that the settings ask for.
	Layout Layout
	// Prefix starts all keys in the store and ends in a slash.
	Prefix string

	lease         lease
	session       string
	layout        Layout
	layoutVersion uint64
	seats         map[int]*seat
	observed      bool
	leaving       bool
}

// seat is the last observed state of one seat, and this host's hold on it.
type seat struct {
	record          Record
	version         uint64
	session         string
	lockVersion     uint64
	goneSince       time.Time // when the record was first not listed any more
	known           bool      // the seat has been taken before
	freeSince       time.Time
	reassignedSince time.Time
	keepUntil       time.Time

	state        state
	acquired     uint64
	takeoverWait time.Duration
	usableFrom   time.Time
	lastTick     time.Time
	usable       bool
}

// state is this host's hold on a seat.
type state uint8

const (
	// notHeld: held by another host, or free.
	notHeld state = iota
	// locked: held, with a lock of the current session.
	locked
	// unlocked: held, but the session of its lock has ended.
	unlocked
	// draining: held, but no longer used.
	draining
	// releasing: the release was sent, and its outcome is not known yet.
	releasing
)

func (s *seat) held() bool { return s.state == locked || s.state == unlocked }

// Observe updates the table from all keys under its prefix, as listed by the store.
func (t *Table) Observe(now time.Time, entries []coltsfootloft.Entry) {
	t.observed = true
	present := make(map[string]coltsfootloft.Entry, len(entries))
	for _, e := range entries {
		present[strings.TrimPrefix(e.Key(), t.Prefix)] = e
	}
	t.observeLayout(present["layout"])
	for n := range max(t.Layout.Seats, t.layout.Seats) {
		key := strconv.Itoa(n + 1)
		t.observeSeat(now, t.seat(n+1), present[key], present[key+"/lock"])
	}
}

func (t *Table) observeLayout(e coltsfootloft.Entry) {
	if e.Version() < t.layoutVersion {
		return
	}
	t.layoutVersion = e.Version()
	t.layout = decodeLayout(e.Value())
}

func (t *Table) observeSeat(now time.Time, s *seat, record, lock coltsfootloft.Entry) {
	isGone := s.isGone(now, record)
	if record.Version() < s.version && !isGone || (lock.Version() != 0 && lock.Version() < s.lockVersion) {
		return
	}
	s.version = record.Version()
	s.record = decode(record.Value())
	s.known = s.known || s.version > 0
	s.session = lock.Session()
	s.lockVersion = lock.Version()
	if s.state != notHeld && s.version != s.acquired {
		s.state = notHeld
	}
	if s.state == locked && s.session != t.session {
		s.state = unlocked
	}
	t.adopt(now, s)
	if s.session != "" {
		s.freeSince = time.Time{}
	} else if s.freeSince.IsZero() {
		s.freeSince = now
	}
}

// isGone reports whether the record was removed by another writer: it is missing for longer than a
// listing from before it was written may be late. If it is only that, the next changes are refused.
func (s *seat) isGone(now time.Time, record coltsfootloft.Entry) bool {
	if record.Version() > 0 || s.version == 0 {
		s.goneSince = time.Time{}
		return false
	}
	if s.goneSince.IsZero() {
		s.goneSince = now
	}
	return now.Sub(s.goneSince) >= TakeoverWait
}

// adopt marks a seat as held that this run has taken although the store's answer
// was lost.
func (t *Table) adopt(now time.Time, s *seat) {
	if s.state != notHeld || s.session == "" || s.session != t.session || s.record.run != t.Run {
		return
	}
	s.state = locked
	s.acquired = s.version
	s.startWait(now, max(s.record.wait, TakeoverWait))
}

// startWait starts the wait before a seat that was taken may be used.
func (s *seat) startWait(now time.Time, takeoverWait time.Duration) {
	s.takeoverWait = takeoverWait
	s.usableFrom = now.Add(takeoverWait)
	s.lastTick = now
	s.usable = takeoverWait <= 0
}

// Tick must be called at least every [TickEvery]. A seat that was taken becomes
// usable only after this host has run without a pause for the whole wait: if the old
// holder asked for a confirmation during a pause, it got no answer from this host
// and so counted the seat as confirmed.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.seats {
		if !s.held() || s.usable {
			continue
		}
		if now.Sub(s.lastTick) > maxTickGap {
			s.usableFrom = now.Add(s.takeoverWait)
		}
		s.lastTick = now
		s.usable = !now.Before(s.usableFrom)
	}
}

func (t *Table) seat(n int) *seat {
	s, ok := t.seats[n]
	if !ok {
		s = &seat{}
		if t.seats == nil {
			t.seats = make(map[int]*seat)
		}
		t.seats[n] = s
	}
	return s
}

// MarkStale makes Decide return nothing until the next Observe.
func (t *Table) MarkStale() { t.observed = false }

// IsStale reports whether the seats must be listed again before Decide.
func (t *Table) IsStale() bool { return !t.observed }

// Holder returns the last known holder of a seat, or "".
func (t *Table) Holder(n int) string {
	if s, ok := t.seats[n]; ok {
		return s.record.host
	}
	return ""
}

// Held returns the seats that this host may use now, in order, and the earliest time
// at which the right to use one of them ends.
func (t *Table) Held(now time.Time) (numbers []int, until time.Time) {
	for n, s := range t.seats {
		if !s.held() || !s.usable || t.layout != t.targetLayout() {
			continue
		}
		end := t.lease.confirmedUntil
		if s.state == locked {
			end = t.lease.until()
		}
		if now.Before(end) {
			numbers = append(numbers, n)
			until = earlier(until, end)
		}
	}
	slices.Sort(numbers)
	return numbers, until
}

// targetLayout is the layout that the settings ask for, as it would be stored.
func (t *Table) targetLayout() Layout {
	l := t.Layout
	l.Changed = t.layout.Changed
	return l
}

// HeldVersions returns the versions of this host's acquisitions of the seats held, by
// seat, for peers to confirm.
func (t *Table) HeldVersions() map[int]uint64 {
	r := make(map[int]uint64)
	for n, s := range t.seats {
		if s.held() {
			r[n] = s.acquired
		}
	}
	return r
}

// SeatLost records that a peer knows of a later acquisition of a seat than the one with
// this version.
func (t *Table) SeatLost(n int, taken uint64) {
	if s := t.seat(n); s.held() && s.acquired == taken {
		s.state = notHeld
		t.observed = false
	}
}

// HasNewerVersion reports whether this host knows of a later acquisition of the seat than
// the one with this version.
func (t *Table) HasNewerVersion(n int, version uint64) bool {
	s, ok := t.seats[n]
	return ok && s.version > version
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
