package elect

import (
	"context"
	"fmt"
	"math/rand/v2"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
	"coltsfootloft/stand/memdb"
)

// proposer is an election that the world can run.
type proposer interface {
	Start() []Action
	Answer(a Answer) []Action
	Expire() []Action
	Phase() Phase
}

// world is a random history of elections on an in-memory group. Messages arrive
// late, out of order or never; proposers die with messages in flight; databases
// stop and are partitioned while callers write to all of them.
type world struct {
	random    *rand.Rand
	group     *memdb.Group
	names     []string
	size      quorum.Size
	ledger    *quorum.Ledger
	create    func(w *world, name string, floor coltsfootloft.Term) proposer
	active    [3]proposer
	floors    [3]coltsfootloft.Term
	requests  []message
	answers   []message
	writes    []*write
	promoted  coltsfootloft.Term
	acked     int
	elections int
	twice     int
	old       int
	primaries map[coltsfootloft.Term]string
}

type message struct {
	from   int
	owner  proposer
	action Action
	answer Answer
}

type write struct {
	value    string
	position coltsfootloft.Position
	promoted coltsfootloft.Term
	acked    bool
}

func newWorld(seed uint64, size int, create func(*world, string, coltsfootloft.Term) proposer) *world {
	names := []string{"a", "b", "c", "d", "e"}[:size]
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 20261204)),
		group:     memdb.New(names...),
		names:     names,
		size:      quorum.Size(size),
		ledger:    quorum.NewLedger(quorum.Size(size)),
		create:    create,
		primaries: make(map[coltsfootloft.Term]string),
	}
	w.group.Start(coltsfootloft.NewTerm(1, "first"))
	w.recordPrimary(coltsfootloft.NewTerm(1, "first"), names[0])
	return w
}

func (w *world) step() {
	name := w.names[w.random.IntN(len(w.names))]
	i := w.random.IntN(len(w.active))
	switch k := w.random.IntN(1000); {
	case k < 120:
		w.commit(name)
	case k < 370:
		w.group.Receive(name)
	case k < 520:
		w.observe(name)
	case k < 540:
		w.start(i)
	case k < 740:
		w.execute()
	case k < 940:
		w.deliver()
	case k < 955:
		w.expire(i)
	case k < 960:
		w.active[i] = nil
	default:
		w.fault(name)
	}
}

func (w *world) commit(name string) {
	v := fmt.Sprintf("w%d", len(w.writes))
	p, err := w.group.Commit(name, v)
	if err != nil {
		return
	}
	w.writes = append(w.writes, &write{
		value:    v,
		position: p,
		promoted: w.promoted,
	})
}

// observe acknowledges the writes that the ledger shows as held. A write
// committed after a later primary was promoted must never be acknowledged.
func (w *world) observe(name string) {
	w.ledger.Note(name, w.group.Reading(name))
	for _, r := range w.writes {
		if r.acked || !w.ledger.HeldByMajority(r.position) {
			continue
		}
		r.acked = true
		w.acked++
		if r.promoted.Compare(r.position.Term()) > 0 {
			w.old++
		}
	}
}

func (w *world) start(i int) {
	if w.active[i] != nil && w.active[i].Phase() < Done {
		return
	}
	p := w.create(w, fmt.Sprintf("p%d", i), w.floors[i])
	w.active[i] = p
	w.elections++
	w.send(i, p.Start())
}

func (w *world) send(i int, actions []Action) {
	for _, a := range actions {
		if a.term.Compare(w.floors[i]) > 0 {
			w.floors[i] = a.term
		}
		w.requests = append(w.requests, message{
			from:   i,
			owner:  w.active[i],
			action: a,
		})
	}
}

// execute delivers a random request to its database, or loses it. The answer may
// be lost too.
func (w *world) execute() {
	if len(w.requests) == 0 {
		return
	}
	k := w.random.IntN(len(w.requests))
	m := w.requests[k]
	w.requests = append(w.requests[:k], w.requests[k+1:]...)
	m.answer = Answer{
		Action: m.action,
		Err:    memdb.ErrStopped,
	}
	if w.random.IntN(12) > 0 {
		m.answer.Reading, m.answer.Err = w.perform(m.action)
	}
	if w.random.IntN(12) == 0 {
		m.answer.Err = context.DeadlineExceeded
	}
	w.answers = append(w.answers, m)
}

func (w *world) perform(a Action) (coltsfootloft.Reading, error) {
	d := w.group.Open("host", a.database)
	ended, cancel := context.WithCancel(context.Background())
	defer cancel()
	switch a.kind {
	case Read:
		return d.Status(ended)
	case Fence:
		return d.Fence(ended, a.term)
	case Promote:
		r, err := d.Promote(ended, a.term)
		if err == nil {
			w.recordPrimary(a.term, a.database)
		}
		return r, err
	default:
		return d.Follow(ended, a.term, a.primary)
	}
}

func (w *world) recordPrimary(term coltsfootloft.Term, name string) {
	if other, ok := w.primaries[term]; ok && other != name {
		w.twice++
	}
	w.primaries[term] = name
	if term.Compare(w.promoted) > 0 {
		w.promoted = term
	}
}

func (w *world) deliver() {
	if len(w.answers) == 0 {
		return
	}
	k := w.random.IntN(len(w.answers))
	m := w.answers[k]
	w.answers = append(w.answers[:k], w.answers[k+1:]...)
	if p := w.active[m.from]; p != nil && p == m.owner {
		w.send(m.from, p.Answer(m.answer))
	}
}

func (w *world) expire(i int) {
	if w.active[i] != nil {
		w.send(i, w.active[i].Expire())
	}
}

// fault stops or restarts a database, or cuts replication. A frozen database
// would block the whole model, so a stop stands in for it; requests in flight are
// still executed later.
func (w *world) fault(name string) {
	switch w.random.IntN(6) {
	case 0:
		w.group.Stop(name)
	case 1, 2:
		w.group.Restart(name)
	case 3:
		w.group.Cut(name, w.names[w.random.IntN(len(w.names))])
	default:
		w.group.Heal()
	}
}

// settle heals all faults, runs one more election and returns how many
// acknowledged writes are missing at the primary.
func (w *world) settle() (lost int) {
	w.group.Heal()
	for _, n := range w.names {
		w.group.Restart(n)
	}
	c := &Campaign{
		Databases: w.names,
		Proposer:  "last",
	}
	w.finish(c)
	if c.Phase() != Done {
		panic("an election without faults failed: " + c.Reason())
	}
	have := make(map[string]bool)
	for _, v := range w.group.Values(c.Chosen()) {
		have[v] = true
	}
	for _, r := range w.writes {
		if r.acked && !have[r.value] {
			lost++
		}
	}
	return lost
}

// finish runs a campaign to its end without faults.
func (w *world) finish(c *Campaign) {
	queue := c.Start()
	for len(queue) > 0 {
		a := queue[0]
		r, err := w.perform(a)
		queue = append(queue[1:], c.Answer(Answer{
			Action:  a,
			Reading: r,
			Err:     err,
		})...)
	}
}
