package seat

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"coltsfootloft"
)

// Table is one host's view of the seats of its failure domain. Set the exported
// fields first. It is not safe for concurrent use.
type Table struct {
	// Host is this host, and Run names this run of its process.
	Host string
	Run  string
	// Domain is its failure domain.
	Domain string
	// Layout is what the settings ask for.
	Layout Layout
	// Prefix precedes all keys and ends in a slash.
	Prefix string

	lease         lease
	session       string
	layout        Layout
	layoutVersion uint64
	seats         map[int]*seat
	observed      bool
	leaving       bool
}

// seat is what is known of one seat, and this host's hold on it.
type seat struct {
	record      Record
	version     uint64
	session     string
	lockVersion uint64
	freeSince   time.Time
	movedSince  time.Time
	keepUntil   time.Time

	state  state
	taken  uint64
	settle time.Duration
	from   time.Time
	ticked time.Time
	usable bool
}

// state is this host's hold on a seat.
type state uint8

const (
	// others: another host's, or free.
	others state = iota
	// locked: held, by a lock of the current session.
	locked
	// unlocked: held, but the session of its lock has ended.
	unlocked
	// draining: held, but no longer used.
	draining
	// releasing: the release was sent; its answer may be lost.
	releasing
)

func (s *seat) held() bool { return s.state == locked || s.state == unlocked }

// Observe takes in all keys under the table's prefix, as the store listed them.
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
	if record.Version() < s.version || (lock.Version() != 0 && lock.Version() < s.lockVersion) {
		return
	}
	s.version = record.Version()
	s.record = decode(record.Value())
	s.session = lock.Session()
	s.lockVersion = lock.Version()
	if s.state != others && s.version != s.taken {
		s.state = others
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

// adopt takes in a seat whose taking took effect although its answer was lost.
func (t *Table) adopt(now time.Time, s *seat) {
	if s.state != others || s.session == "" || s.session != t.session || s.record.run != t.Run {
		return
	}
	s.state = locked
	s.taken = s.version
	s.wait(now, max(s.record.wait, Settle))
}

// wait begins the time before a seat that was taken may be used.
func (s *seat) wait(now time.Time, settle time.Duration) {
	s.settle = settle
	s.from = now.Add(settle)
	s.ticked = now
	s.usable = settle <= 0
}

// Tick is to be called at least every [TickEvery]. A seat that was taken becomes
// usable only after this host has been running without a pause for the time that
// it must wait: a mate that asked during a pause, for the old holder, got no
// answer and so a confirmation.
func (t *Table) Tick(now time.Time) {
	for _, s := range t.seats {
		if !s.held() || s.usable {
			continue
		}
		if now.Sub(s.ticked) > tickGap {
			s.from = now.Add(s.settle)
		}
		s.ticked = now
		s.usable = !now.Before(s.from)
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

// Stale makes the table wait for the next Observe before it decides.
func (t *Table) Stale() { t.observed = false }

// IsStale reports whether the seats should be listed again.
func (t *Table) IsStale() bool { return !t.observed }

// Holder names the host that holds a seat, as far as known.
func (t *Table) Holder(n int) string {
	if s, ok := t.seats[n]; ok {
		return s.record.host
	}
	return ""
}

// Held returns the seats that this host may use now, in order, and until when.
func (t *Table) Held(now time.Time) (numbers []int, until time.Time) {
	for n, s := range t.seats {
		if !s.held() || !s.usable || t.layout != t.inForce() {
			continue
		}
		end := t.lease.confirmed
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

// inForce is the layout that the settings ask for, as it would be stored.
func (t *Table) inForce() Layout {
	l := t.Layout
	l.Changed = t.layout.Changed
	return l
}

// HeldVersions returns the takings of the seats held, for mates to confirm.
func (t *Table) HeldVersions() map[int]uint64 {
	r := make(map[int]uint64)
	for n, s := range t.seats {
		if s.held() {
			r[n] = s.taken
		}
	}
	return r
}

// SeatLost records that a mate knows of a later taking of a seat than this one.
func (t *Table) SeatLost(n int, taken uint64) {
	if s := t.seat(n); s.held() && s.taken == taken {
		s.state = others
		t.observed = false
	}
}

// HasNewerVersion reports whether this host knows of a taking of the seat by another
// than the one with this version.
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
