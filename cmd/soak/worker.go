package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/caller"
)

// answerLimit is how long a caller waits for an answer: the time limit of a statement, and
// the suspensions of its host that may come meanwhile.
const answerLimit = 15 * time.Second

// routeKinds are the kinds of route. Each group has one of each.
var routeKinds = []string{"primary", "read_own_writes", "bounded_staleness"}

// worker is a caller that opens one session after the other, over all hosts. Only it writes
// its items.
type worker struct {
	soak   *soak
	random *rand.Rand
	number int
	items  map[*group]*item
}

// item is the item that a worker writes in one group. It takes a new one whenever the outcome
// of a write is not known, as that write may still take effect.
type item struct {
	generation         int
	sent, acked        uint64
	acknowledgedInSelf uint64 // by the present session
}

func (i *item) name(worker int) string { return fmt.Sprintf("w%d-%d", worker, i.generation) }

// session is one session of a worker.
type session struct {
	*worker
	*caller.Session
	host   int
	group  *group
	kind   string
	key    string
	values map[string]string
	writes []string // ids of the writes of the open transaction
}

func (w *worker) run() {
	for n := 0; !w.soak.isQuiet(); n++ {
		s := w.open()
		if s == nil {
			time.Sleep(time.Duration(30+w.random.IntN(70)) * time.Millisecond)
			continue
		}
		s.serve(fmt.Sprintf("w%d-%d", w.number, n))
		if stray := s.Close(); stray != "" {
			w.soak.report("STRAY: host %d sent %q while no statement was under way", s.host, stray)
		}
	}
}

// open opens a session at any host; nil if it is refused or nobody is there.
func (w *worker) open() *session {
	s := w.soak
	h := s.hosts[w.random.IntN(len(s.hosts))]
	g := s.groups[w.random.IntN(len(s.groups))]
	kind := routeKinds[w.random.IntN(len(routeKinds))]
	key := []string{fmt.Sprintf("key-%d", w.number%tenants), roaming, passing}[max(0, w.random.IntN(6)-3)]
	started := time.Now()
	c, code, err := caller.Open(h.settings.Listen, kind+"-"+g.Name, key, answerLimit)
	if c == nil {
		if err != nil {
			code = "no answer"
		}
		if err != nil && time.Since(started) >= answerLimit {
			s.report("SILENT: host %d did not answer the start of a session: %v", h.number, err)
		}
		s.count("start "+code, 0)
		return nil
	}
	if w.items[g] == nil {
		w.items[g] = &item{}
	}
	w.items[g].acknowledgedInSelf = 0
	return &session{
		worker:  w,
		Session: c,
		host:    h.number,
		group:   g,
		kind:    kind,
		key:     key,
		values:  make(map[string]string),
	}
}

// serve sends statements until the session is lost, or for a while.
func (s *session) serve(who string) {
	if !s.set("who", who) {
		return
	}
	count := 3 + s.random.IntN(20)
	if s.random.IntN(5) == 0 {
		count *= 5 // beyond the time in which a key must stop working
	}
	for range count {
		if s.soak.isQuiet() || !s.step() {
			return
		}
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
}

// step sends a read, a write or a transaction, and reports whether the session goes on.
func (s *session) step() bool {
	switch n := s.random.IntN(5); {
	case n < 2 || s.kind == "bounded_staleness":
		return s.read()
	case n == 2:
		i := s.items[s.group]
		i.sent++
		sent := time.Now()
		a := s.send(fmt.Sprintf("WRITE %s %d", i.name(s.number), i.sent))
		return s.settle(a, sent)
	}
	return s.transaction()
}

// read reads the worker's own item and checks that it is not too old.
func (s *session) read() bool {
	i := s.items[s.group]
	least := i.acknowledgedInSelf
	if s.kind == "primary" {
		least = i.acked
	}
	a := s.send("READ " + i.name(s.number))
	if !a.Succeeded() {
		return !a.Unknown()
	}
	v := uint64(0)
	if len(a.Rows) == 1 && a.Rows[0] != "-" {
		v, _ = strconv.ParseUint(a.Rows[0], 10, 64)
	}
	if len(a.Rows) != 1 || v < least || v > i.sent {
		s.soak.report("STALE: %s of %s in %s at host %d on a %s route, at least %d acknowledged, %d sent, %s", a.Rows, i.name(s.number), s.group.Name,
			s.host, s.kind, least, i.sent, s.Last())
	}
	return true
}

// transaction sends a transaction; some are rolled back, some left open.
func (s *session) transaction() bool {
	if a := s.send("BEGIN"); !a.Succeeded() {
		return !a.Unknown()
	}
	s.writes = nil
	i := s.items[s.group]
	for range 1 + s.random.IntN(5) {
		i.sent++
		a := s.send(fmt.Sprintf("WRITE %s %d", i.name(s.number), i.sent))
		if a.Lost || a.Silent {
			return false
		}
		if !a.Succeeded() {
			return s.send("ROLLBACK").Succeeded()
		}
		s.writes = append(s.writes, s.Last())
		time.Sleep(time.Duration(s.random.IntN(100)) * time.Millisecond)
	}
	switch s.random.IntN(12) {
	case 0:
		return s.send("ROLLBACK").Succeeded()
	case 1:
		return false
	}
	sent := time.Now()
	a := s.send("COMMIT")
	s.writes = nil
	return s.settle(a, sent)
}

// settle notes what became of the last write.
func (s *session) settle(a caller.Answer, sent time.Time) bool {
	i := s.items[s.group]
	if a.Succeeded() {
		i.acked = i.sent
		i.acknowledgedInSelf = i.sent
		s.soak.noteWrite(write{
			group: s.group,
			item:  i.name(s.number),
			value: strconv.FormatUint(i.sent, 10),
			id:    s.Last(),
			host:  s.host,
			sent:  sent,
			ended: time.Now(),
		})
		return true
	}
	if a.Unknown() {
		*i = item{generation: i.generation + 1}
		return false
	}
	return true
}

// set sets a value of the session, and reports whether that was acknowledged.
func (s *session) set(name, value string) bool {
	if !s.send("SET " + name + " " + value).Succeeded() {
		return false
	}
	s.values[name] = value
	return true
}

// send sends a statement and records it with its answer.
func (s *session) send(text string) caller.Answer {
	a := audit.Attempt{
		Text:   text,
		Key:    s.key,
		Host:   s.host,
		Sent:   time.Now(),
		Values: maps.Clone(s.values),
	}
	if text == "COMMIT" {
		a.Writes = s.writes
	}
	a.Answer = s.Do(text)
	a.ID = s.Last()
	a.Ended = time.Now()
	s.soak.noteAttempt(a)
	return a.Answer
}

func (s *soak) noteAttempt(a audit.Attempt) {
	s.mu.Lock()
	s.record.Attempts = append(s.record.Attempts, a)
	s.mu.Unlock()
	outcome := a.Code
	switch {
	case a.Silent:
		outcome = "silent"
	case a.Lost:
		outcome = "lost"
	case a.Code == "":
		s.count("done", a.Ended.Sub(a.Sent))
		return
	}
	s.count(outcome, 0)
}

// count counts an outcome, with its latency if it is a success.
func (s *soak) count(outcome string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
	if d > 0 {
		s.latencies = append(s.latencies, d)
	}
}

func (s *soak) noteWrite(w write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = append(s.acked, w)
}
