package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/legal"
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
	text   legal.Source
	items  map[*group]*item
}

// item is the item that a worker writes in one group. It takes a new one whenever the outcome
// of a write is not known, as that write may still take effect.
type item struct {
	generation         int
	sent, acked        uint64
	acknowledgedInSelf uint64 // by the present session
	name, data         string // data is what was sent last
}

// newItem returns an item of the worker that nobody has written.
func (w *worker) newItem(generation int) *item {
	return &item{
		generation: generation,
		name:       fmt.Sprintf("w%d-%d%s", w.number, generation, w.text.Name()),
	}
}

// session is one session of a worker.
type session struct {
	*worker
	*caller.Session
	host   int
	group  *group
	kind   string
	key    string
	values map[string]string // as acknowledged
	shapes map[string]string // of prepared statements, as acknowledged, by name
	writes []string          // ids of the writes of the open transaction
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
		w.items[g] = w.newItem(0)
	}
	w.items[g].acknowledgedInSelf = 0
	if w.number%4 == 0 {
		c.Pieces = w.random
	}
	return &session{
		worker:  w,
		Session: c,
		host:    h.number,
		group:   g,
		kind:    kind,
		key:     key,
		values:  make(map[string]string),
		shapes:  make(map[string]string),
	}
}

// serve sends statements until the session is lost, or for a while.
func (s *session) serve(who string) {
	if !s.set("who"+s.text.Name(), who+s.text.Text()) || !s.prepare() {
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

// prepare prepares statements in a third of the sessions, and reports whether the session goes on. Their names
// collide with those of others.
func (s *session) prepare() bool {
	if s.random.IntN(3) > 0 {
		return true
	}
	for name, kind := range map[string]string{preparedRead: "READ ", preparedWrite: "WRITE "} {
		shape := kind + s.text.Text()
		if !s.send("PREPARE " + name + " " + shape)[0].Succeeded() {
			return false
		}
		s.shapes[name] = shape
	}
	return true
}

// The names of prepared statements.
const preparedRead, preparedWrite = "r1", "w\n1"

// step sends reads and writes, one or several at once, or a transaction, and reports whether the session goes on.
func (s *session) step() bool {
	texts := make([]string, 1)
	switch n := s.random.IntN(6); {
	case n == 0:
		texts = make([]string, 2+s.random.IntN(4))
	case n > 3 && s.kind != "bounded_staleness":
		return s.transaction()
	}
	for i := range texts {
		texts[i] = s.readText()
		if s.kind != "bounded_staleness" && s.random.IntN(3) == 0 {
			texts[i] = s.writeText()
		}
	}
	return s.batch(texts...)
}

// readText returns the text of a read of the worker's item.
func (s *session) readText() string {
	i := s.items[s.group]
	if s.shapes[preparedRead] != "" && s.random.IntN(2) == 0 {
		return "EXEC " + preparedRead + " " + i.name
	}
	return "READ " + i.name
}

// writeText returns the text of the next write of the worker's item.
func (s *session) writeText() string {
	i := s.items[s.group]
	i.sent++
	i.data = strconv.FormatUint(i.sent, 10)
	if s.random.IntN(4) > 0 {
		i.data += " " + s.text.Text()
	}
	if s.shapes[preparedWrite] != "" && s.random.IntN(2) == 0 {
		return "EXEC " + preparedWrite + " " + i.name + " " + i.data
	}
	return "WRITE " + i.name + " " + i.data
}

// numberOf returns the number at the beginning of data, or 0.
func numberOf(data string) uint64 {
	first, _, _ := strings.Cut(data, " ")
	v, _ := strconv.ParseUint(first, 10, 64)
	return v
}

// batch sends reads and writes at once and checks their answers, and reports whether the session goes on.
func (s *session) batch(texts ...string) bool {
	i := s.items[s.group]
	least := i.acknowledgedInSelf
	if s.kind == "primary" {
		least = i.acked
	}
	sent := time.Now()
	answers := s.send(texts...)
	ids := s.Recent(len(texts))
	for n, a := range answers {
		if _, data, ok := strings.Cut(texts[n], " "+i.name+" "); ok {
			if !s.settle(a, sent, ids[n], data) {
				return false
			}
			if a.Succeeded() {
				least = numberOf(data)
			}
			continue
		}
		if a.Succeeded() {
			s.checkRead(a, ids[n], least)
		} else if a.Unknown() {
			return false
		}
	}
	return true
}

// checkRead checks that a read of the worker's own item is not too old.
func (s *session) checkRead(a caller.Answer, id string, least uint64) {
	i := s.items[s.group]
	v := uint64(0)
	if len(a.Rows) == 1 && a.Rows[0] != "-" {
		v = numberOf(a.Rows[0])
	}
	if len(a.Rows) != 1 || v < least || v > i.sent {
		s.soak.report("STALE: %.80q of %.80q in %s at host %d on a %s route, at least %d acknowledged, %d sent, %s", a.Rows, i.name, s.group.Name,
			s.host, s.kind, least, i.sent, id)
	}
}

// transaction sends a transaction; some are rolled back, some left open.
func (s *session) transaction() bool {
	if a := s.send("BEGIN")[0]; !a.Succeeded() {
		return !a.Unknown()
	}
	s.writes = nil
	for range 1 + s.random.IntN(5) {
		a := s.send(s.writeText())[0]
		if a.Lost || a.Silent {
			return false
		}
		if !a.Succeeded() {
			return s.send("ROLLBACK")[0].Succeeded()
		}
		s.writes = append(s.writes, s.Last())
		time.Sleep(time.Duration(s.random.IntN(100)) * time.Millisecond)
	}
	switch s.random.IntN(12) {
	case 0:
		return s.send("ROLLBACK")[0].Succeeded()
	case 1:
		return false
	}
	sent := time.Now()
	a := s.send("COMMIT")[0]
	s.writes = nil
	return s.settle(a, sent, s.Last(), s.items[s.group].data)
}

// settle notes what became of a write, or of the commit of the last one.
func (s *session) settle(a caller.Answer, sent time.Time, id, data string) bool {
	i := s.items[s.group]
	if a.Succeeded() {
		i.acked = numberOf(data)
		i.acknowledgedInSelf = i.acked
		s.soak.noteWrite(write{
			group: s.group,
			item:  i.name,
			value: data,
			id:    id,
			host:  s.host,
			sent:  sent,
			ended: time.Now(),
		})
		return true
	}
	if a.Unknown() {
		s.items[s.group] = s.newItem(i.generation + 1)
		return false
	}
	return true
}

// set sets a value of the session, and reports whether that was acknowledged.
func (s *session) set(name, value string) bool {
	if !s.send("SET " + name + " " + value)[0].Succeeded() {
		return false
	}
	s.values[name] = value
	return true
}

// send sends statements at once and records them with their answers.
func (s *session) send(texts ...string) []caller.Answer {
	sent := time.Now()
	answers := s.Batch(texts...)
	ids := s.Recent(len(texts))
	for i, text := range texts {
		a := audit.Attempt{
			Answer: answers[i],
			ID:     ids[i],
			Text:   text,
			Key:    s.key,
			Host:   s.host,
			Sent:   sent,
			Ended:  time.Now(),
			Values: maps.Clone(s.values),
		}
		if rest, ok := strings.CutPrefix(text, "EXEC "); ok {
			name, _, _ := strings.Cut(rest, " ")
			a.Shape = s.shapes[name]
		}
		if text == "COMMIT" {
			a.Writes = s.writes
		}
		s.soak.noteAttempt(a)
	}
	return answers
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
