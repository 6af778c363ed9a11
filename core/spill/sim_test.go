package spill

import (
	"math/rand/v2"
	"time"

	"coltsfootloft/core/gate"
	"coltsfootloft/core/load"
	"coltsfootloft/core/meter"
)

const (
	tick    = time.Millisecond
	work    = 20 * time.Millisecond
	target  = 400 * time.Millisecond
	maxWait = target * 6 / 10
	slots   = 4 // of each database
	owners  = 2 // of each database
	perSite = 2 // databases in each domain
	hosts   = 10
	trip    = 3 * time.Millisecond
	// capacity is how many reads per second the databases of one domain can run: a read takes
	// 20 ms on average, and 2 ms pass in the steps of the simulation.
	capacity = perSite * slots * 1000 / 22
)

// read is one read on its way.
type read struct {
	host    *host
	db      *database
	owner   *owner
	sent    time.Duration
	until   time.Duration
	ends    time.Duration // at the database
	ticket  gate.Ticket[*read]
	foreign bool
}

// owner is the gate of one host at a database.
type owner struct {
	name  string
	gate  gate.Gate[*read]
	meter meter.Meter
}

// database runs reads in slots, in order of arrival.
type database struct {
	name   string
	site   int
	owners []*owner
	queue  []*read
	runs   []*read
}

// host is one entry host.
type host struct {
	site  int
	table load.Table
	spill Spill
	sent  int // reads sent to the other domain
}

// sim is two domains under load.
type sim struct {
	random    *rand.Rand
	now       time.Duration
	databases []*database
	hosts     []*host
	queued    []*read
	returning map[time.Duration][]*read
	cut       bool // nothing passes between the domains
	served    [2]int
	refused   [2]int
	demand    [2]float64 // as a part of capacity
	off       bool
	shares    [2]zigzag
}

func newSim() *sim {
	s := &sim{
		random:    rand.New(rand.NewPCG(20261207, 3)),
		now:       time.Minute,
		returning: make(map[time.Duration][]*read),
	}
	for site := range 2 {
		for i := range perSite {
			d := &database{
				name: string(rune('a'+site)) + string(rune('0'+i)),
				site: site,
			}
			for o := range owners {
				d.owners = append(d.owners, &owner{
					name:  string(rune('x' + o)),
					gate:  gate.Gate[*read]{Limit: 4 * slots / owners},
					meter: meter.Meter{Slots: float64(slots) / owners},
				})
			}
			s.databases = append(s.databases, d)
		}
		for range hosts {
			s.hosts = append(s.hosts, &host{site: site})
		}
	}
	return s
}

// run plays the load for a time and resets what was counted before.
func (s *sim) run(demandA, demandB float64, d time.Duration) {
	s.demand = [2]float64{demandA, demandB}
	s.served, s.refused = [2]int{}, [2]int{}
	for _, h := range s.hosts {
		h.sent = 0
	}
	for end := s.now + d; s.now < end; s.now += tick {
		for _, r := range s.returning[s.now] {
			s.answer(r)
		}
		delete(s.returning, s.now)
		for _, db := range s.databases {
			s.serve(db)
		}
		s.expire()
		for _, h := range s.hosts {
			for p := s.demand[h.site] * capacity / hosts * tick.Seconds(); s.random.Float64() < p; p-- {
				s.arrive(h)
			}
		}
		for site := range s.shares {
			s.shares[site].observe(s.share(site))
		}
	}
}

// zigzag counts the changes of direction of a share by more than the band, two steps of growth.
type zigzag struct {
	low, high float64
	direction int // 1 while it rises, -1 while it falls, 0 until it has moved
	turns     int
}

func (z *zigzag) observe(share float64) {
	const band = 2 * growth
	z.low = min(z.low, share)
	z.high = max(z.high, share)
	switch {
	case z.direction >= 0 && share < z.high-band:
		z.turns += z.direction
		z.direction = -1
		z.low = share
	case z.direction <= 0 && share > z.low+band:
		z.turns -= z.direction
		z.direction = 1
		z.high = share
	}
}

// changeLoad makes the counts begin anew.
func (s *sim) changeLoad() {
	for site := range s.shares {
		s.shares[site] = zigzag{
			low:  s.share(site),
			high: s.share(site),
		}
	}
}

// share returns the mean share of the hosts of a domain, and sent their reads that left it.
func (s *sim) share(site int) (sum float64) {
	for _, h := range s.hosts {
		if h.site == site {
			sum += h.spill.Share() / hosts
		}
	}
	return sum
}

func (s *sim) sent(site int) (n int) {
	for _, h := range s.hosts {
		if h.site == site {
			n += h.sent
		}
	}
	return n
}

// serve ends and begins reads at a database.
func (s *sim) serve(db *database) {
	var runs []*read
	for _, r := range db.runs {
		if s.now < r.ends {
			runs = append(runs, r)
			continue
		}
		r.owner.gate.Release(false)
		took := s.now - r.until
		r.owner.gate.Observe(took)
		r.owner.meter.Answered(s.now, took, r.foreign, r.owner.gate.Waiting())
		s.served[r.host.site]++
		s.reply(r)
		for next, ok := r.owner.gate.Dequeue(); ok; next, ok = r.owner.gate.Dequeue() {
			s.send(next)
		}
	}
	for len(runs) < slots && len(db.queue) > 0 {
		r := db.queue[0]
		db.queue = db.queue[1:]
		r.ends = s.now + work/2 + time.Duration(s.random.Int64N(int64(work)))
		runs = append(runs, r)
	}
	db.runs = runs
}

// send passes a read that has its permit to the database.
func (s *sim) send(r *read) {
	r.until = s.now // from now on when it got its permit
	r.ticket = gate.Ticket[*read]{}
	r.db.queue = append(r.db.queue, r)
}

func (s *sim) expire() {
	var left []*read
	for _, r := range s.queued {
		switch {
		case r.until > s.now:
			left = append(left, r)
		case r.owner.gate.Cancel(r.ticket):
			s.refused[r.host.site]++
		}
	}
	s.queued = left
}

// reply sends the response of an owner.
func (s *sim) reply(r *read) {
	if s.cut && r.foreign {
		return
	}
	way := tick
	if r.foreign {
		way = trip
	}
	s.returning[s.now+way] = append(s.returning[s.now+way], r)
}

// answer records the report in a response.
func (s *sim) answer(r *read) {
	g := &r.owner.gate
	report := load.Report{
		Waiting:  g.Waiting(),
		Running:  g.Running(),
		Capacity: g.Capacity(),
		Service:  g.Service(),
	}
	r.owner.meter.Advance(s.now, g.Waiting())
	report.Work = r.owner.meter.Work(g.Service())
	report.Free = owners * r.owner.meter.Free(g.Service())
	for level := range gate.Levels {
		report.Waits[level] = g.WaitOfLevel(level)
	}
	way := tick
	if r.foreign {
		way = trip
	}
	r.host.table.Add(s.now, r.db.name, r.owner.name, report, way)
}

// arrive lets a caller send a read to a host.
func (s *sim) arrive(h *host) {
	o := s.random.IntN(owners)
	v := View{
		Home:    time.Hour,
		Away:    time.Hour,
		Target:  target,
		Senders: hosts,
		Peers:   hosts,
		Cost:    trip - tick + 5*time.Millisecond,
	}
	best := [2]*database{}
	least := [2]time.Duration{time.Hour, time.Hour}
	for i, db := range s.databases {
		e, ok := h.table.Estimate(s.now, db.name, db.owners[o].name, 2)
		home := db.site == h.site
		side := 0
		if !home {
			side = 1
		}
		switch {
		case ok && home:
			v.Home = min(v.Home, e.Wait)
			v.Room += e.Free
		case ok:
			v.AwayKnown = true
			v.Away = min(v.Away, e.Wait)
			v.Free += e.Free
		}
		if !ok {
			e.Work = time.Duration(s.random.IntN(40+i)) * tick
		}
		if total := e.Spread(s.random.Float64()); best[side] == nil || total < least[side] {
			best[side] = db
			least[side] = total
		}
	}
	if v.Home == time.Hour {
		v.Home = 0
	}
	db := best[0]
	if !s.off && h.spill.Leaves(s.now, v, s.random.Float64()) {
		db = best[1]
		h.sent++
	}
	r := &read{
		host:    h,
		db:      db,
		owner:   db.owners[o],
		sent:    s.now,
		until:   s.now + maxWait,
		foreign: db.site != h.site,
	}
	if s.cut && r.foreign {
		s.refused[h.site]++
		return
	}
	h.table.Sent(db.name, r.owner.name)
	g := &r.owner.gate
	switch wait := g.Wait(2, "a", r.until); {
	case g.TryAcquire():
		s.send(r)
	case wait > maxWait:
		s.refused[h.site]++
		s.reply(r)
	default:
		r.ticket, _ = g.EnqueueUntil(2, "a", r.until, r)
		s.queued = append(s.queued, r)
	}
}
